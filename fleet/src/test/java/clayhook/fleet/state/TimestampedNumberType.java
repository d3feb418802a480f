package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.function.BinaryOperator;

/** A replicated type for tests: numbers with a timestamp, and a merge rule of choice. */
record TimestampedNumberType(
        int typeNumber,
        double retentionSeconds,
        int maxEntries,
        boolean urgent,
        BinaryOperator<TimestampedNumberType.TimestampedNumber> mergeRule)
        implements ReplicatedType<TimestampedNumberType.TimestampedNumber> {
    record TimestampedNumber(long value, double at) {}

    /** The later value wins, and of two with the same timestamp the greater one. */
    static final BinaryOperator<TimestampedNumber> LATEST =
            (a, b) -> a.at > b.at || (a.at == b.at && a.value >= b.value) ? a : b;
    /** A set of small numbers that only grows, as bits. */
    static final BinaryOperator<TimestampedNumber> UNION =
            (a, b) -> new TimestampedNumber(a.value | b.value, Math.max(a.at, b.at));
    /** Not commutative: the value that arrives last wins. Tests must detect this defect. */
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

    /** Values that never expire need no clock. */
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
