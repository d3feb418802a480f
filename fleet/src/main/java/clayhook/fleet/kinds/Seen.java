package clayhook.fleet.kinds;

import java.util.Comparator;

/** A figure that a router saw; the later sight counts, of two with one sight the larger figure. */
public record Seen(double value, Sight sight) implements Comparable<Seen> {
    private static final Comparator<Seen> ORDER =
            Comparator.comparing(Seen::sight).thenComparingDouble(Seen::value);

    public Seen {
        value = Check.within(value, Check.LATEST, "figure");
    }

    @Override
    public int compareTo(Seen other) {
        return ORDER.compare(this, other);
    }
}
