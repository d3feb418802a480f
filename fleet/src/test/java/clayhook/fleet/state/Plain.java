package clayhook.fleet.state;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.function.BinaryOperator;

/** A kind for tests: numbers with a time, and a join of choice. */
record Plain(int typeNumber, double retentionSeconds, int maxEntries, boolean urgent, BinaryOperator<Plain.Stamped> rule)
        implements ReplicatedType<Plain.Stamped> {
    record Stamped(long value, double at) {}

    /** The later one, of two of one time the greater one. */
    static final BinaryOperator<Stamped> LATEST = (a, b) -> a.at > b.at || a.at == b.at && a.value >= b.value ? a : b;
    /** A set of small numbers that only grows. */
    static final BinaryOperator<Stamped> UNION = (a, b) -> new Stamped(a.value | b.value, Math.max(a.at, b.at));
    /** The defect that tests must find: whoever is heard last wins. */
    static final BinaryOperator<Stamped> LAST_HEARD = (a, b) -> b;

    @Override
    public String name() {
        return "plain " + typeNumber;
    }

    @Override
    public Stamped merge(Stamped a, Stamped b) {
        return rule.apply(a, b);
    }

    @Override
    public double timestamp(Stamped value) {
        return value.at;
    }

    /** What is kept for ever needs no clock. */
    @Override
    public boolean clockDependent() {
        return retentionSeconds < Double.POSITIVE_INFINITY;
    }

    @Override
    public void write(Stamped value, FieldWriter out) {
        out.writeLong(value.value).writeDouble(value.at);
    }

    @Override
    public Stamped read(FieldReader in) {
        return new Stamped(in.readLong(), in.readDouble());
    }
}
