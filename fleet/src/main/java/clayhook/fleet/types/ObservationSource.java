package clayhook.fleet.types;

import java.util.Comparator;

/**
 * The router that made an observation, and the time. Ordered by time, then by router name.
 *
 * @param observedAt the time in seconds since 1970 on the clock of the observing router; unchanged when the observation
 *     is forwarded
 * @param router the name of that router, truncated as by {@link #of}
 */
public record ObservationSource(double observedAt, String router) implements Comparable<ObservationSource> {
    private static final Comparator<ObservationSource> ORDER =
            Comparator.comparingDouble(ObservationSource::observedAt).thenComparing(ObservationSource::router);

    /** @throws IllegalArgumentException for a time or name out of range */
    public ObservationSource {
        observedAt = FieldValidation.requireTime(observedAt);
        FieldValidation.requireText(router, ReplicatedKeys.MAX_NAME_BYTES, "name of a router");
    }

    /** Creates a source; the router name may have any length and is truncated. */
    public static ObservationSource of(double observedAt, String router) {
        return new ObservationSource(observedAt, ReplicatedKeys.truncateName(router));
    }

    @Override
    public int compareTo(ObservationSource other) {
        return ORDER.compare(this, other);
    }

    /** Returns the greater of two values; null is less than any other value. */
    static <T extends Comparable<T>> T later(T a, T b) {
        return a == null || (b != null && b.compareTo(a) > 0) ? b : a;
    }
}
