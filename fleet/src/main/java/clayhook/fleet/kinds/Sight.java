package clayhook.fleet.kinds;

import java.util.Comparator;

/**
 * Who saw something, and when.
 *
 * @param at seconds since 1970 on the clock of the router that saw it; never moved by passing it on
 * @param by that router's name, as {@link #of} cuts it
 */
public record Sight(double at, String by) implements Comparable<Sight> {
    private static final Comparator<Sight> ORDER =
            Comparator.comparingDouble(Sight::at).thenComparing(Sight::by);

    public Sight {
        at = Check.time(at);
        Check.text(by, Keys.LONGEST_NAME, "name of a router");
    }

    /** Of a router of any name. */
    public static Sight of(double at, String router) {
        return new Sight(at, Keys.name(router));
    }

    @Override
    public int compareTo(Sight other) {
        return ORDER.compare(this, other);
    }

    /** The later one, of two at one time that of the later name; null for never. */
    static <T extends Comparable<T>> T later(T a, T b) {
        return a == null || b != null && b.compareTo(a) > 0 ? b : a;
    }
}
