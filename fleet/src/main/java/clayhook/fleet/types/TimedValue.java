package clayhook.fleet.types;

import java.util.Comparator;

/** A number that a router observed. Ordered by source, then by value, so that a merge keeps the latest observation. */
public record TimedValue(double value, ObservationSource source) implements Comparable<TimedValue> {
    private static final Comparator<TimedValue> ORDER =
            Comparator.comparing(TimedValue::source).thenComparingDouble(TimedValue::value);

    /** @throws IllegalArgumentException for a value out of range */
    public TimedValue {
        value = FieldValidation.requireWithin(value, FieldValidation.MAX_TIME, "observed value");
    }

    @Override
    public int compareTo(TimedValue other) {
        return ORDER.compare(this, other);
    }
}
