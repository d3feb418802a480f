package clayhook.fleet.types;

import java.util.Comparator;

/**
 * The router that observed something, and when. Ordered by time, then by name.
 *
 * @param observedAt in seconds since 1970 on the clock of the observing router; never changed by passing it on
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

    /** Creates a source for a router name of any length. */
    public static ObservationSource of(double observedAt, String router) {
        return new ObservationSource(observedAt, ReplicatedKeys.truncateName(router));
    }

    @Override
    public int compareTo(ObservationSource other) {
        return ORDER.compare(this, other);
    }

    /** Returns the greater of two values, where null is less than any. */
    static <T extends Comparable<T>> T later(T a, T b) {
        return a == null || (b != null && b.compareTo(a) > 0) ? b : a;
    }
}
