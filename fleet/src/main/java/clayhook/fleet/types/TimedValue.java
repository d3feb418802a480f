package clayhook.fleet.types;

import java.util.Comparator;

/** A figure that a router saw; the later sight counts, of two with one sight the larger figure. */
public record TimedValue(double value, ObservationSource source) implements Comparable<TimedValue> {
    private static final Comparator<TimedValue> ORDER =
            Comparator.comparing(TimedValue::source).thenComparingDouble(TimedValue::value);

    public TimedValue {
        value = FieldValidation.requireWithin(value, FieldValidation.MAX_TIME, "figure");
    }

    @Override
    public int compareTo(TimedValue other) {
        return ORDER.compare(this, other);
    }
}
