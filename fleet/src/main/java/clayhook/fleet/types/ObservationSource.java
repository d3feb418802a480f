package clayhook.fleet.types;

import java.util.Comparator;

/**
 * Who saw something, and when.
 *
 * @param at seconds since 1970 on the clock of the router that saw it; never moved by passing it on
 * @param by that router's name, as {@link #of} cuts it
 */
public record ObservationSource(double observedAt, String router) implements Comparable<ObservationSource> {
    private static final Comparator<ObservationSource> ORDER =
            Comparator.comparingDouble(ObservationSource::observedAt).thenComparing(ObservationSource::router);

    public ObservationSource {
        observedAt = FieldValidation.requireTime(observedAt);
        FieldValidation.requireText(router, ReplicatedKeys.MAX_NAME_BYTES, "name of a router");
    }

    /** Of a router of any name. */
    public static ObservationSource of(double at, String router) {
        return new ObservationSource(at, ReplicatedKeys.truncateName(router));
    }

    @Override
    public int compareTo(ObservationSource other) {
        return ORDER.compare(this, other);
    }

    /** The later one, of two at one time that of the later name; null for never. */
    static <T extends Comparable<T>> T later(T a, T b) {
        return a == null || b != null && b.compareTo(a) > 0 ? b : a;
    }
}
