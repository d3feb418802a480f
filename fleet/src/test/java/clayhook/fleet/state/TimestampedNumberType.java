package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.function.BinaryOperator;

/** A replicated type for tests: numbers with a timestamp and a configurable merge rule. */
record TimestampedNumberType(
        int typeNumber,
        double retentionSeconds,
        int maxEntries,
        boolean urgent,
        BinaryOperator<TimestampedNumberType.TimestampedNumber> mergeRule)
        implements ReplicatedType<TimestampedNumberType.TimestampedNumber> {
    record TimestampedNumber(long value, double at) {}

    /** Selects the value with the later timestamp; for equal timestamps, the greater value. */
    static final BinaryOperator<TimestampedNumber> LATEST =
            (a, b) -> a.at > b.at || (a.at == b.at && a.value >= b.value) ? a : b;
    /** Merges grow-only sets of small numbers, represented as bits. */
    static final BinaryOperator<TimestampedNumber> UNION =
            (a, b) -> new TimestampedNumber(a.value | b.value, Math.max(a.at, b.at));
    /** Selects the value that is merged last. This rule is not commutative; tests must detect the defect. */
    static final BinaryOperator<TimestampedNumber> LAST_RECEIVED = (a, b) -> b;

    @Override
    public String name() {
        return "timestamped number " + typeNumber;
    }

    @Override
    public TimestampedNumber merge(TimestampedNumber a, TimestampedNumber b) {
        return mergeRule.apply(a, b);
    }

    @Override
    public double timestamp(TimestampedNumber value) {
        return value.at;
    }

    /** Types whose values never expire are not clock-dependent. */
    @Override
    public boolean clockDependent() {
        return retentionSeconds < Double.POSITIVE_INFINITY;
    }

    @Override
    public void write(TimestampedNumber value, FieldWriter out) {
        out.writeLong(value.value).writeDouble(value.at);
    }

    @Override
    public TimestampedNumber read(FieldReader in) {
        return new TimestampedNumber(in.readLong(), in.readDouble());
    }
}
