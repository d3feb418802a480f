package clayhook.fleet.state;

import clayhook.fleet.Kind;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;
import java.util.function.BinaryOperator;

/** A kind for tests: numbers with a time, and a join of choice. */
record Plain(int number, double keep, int most, boolean urgent, BinaryOperator<Plain.Stamped> rule)
        implements Kind<Plain.Stamped> {
    record Stamped(long value, double at) {}

    /** The later one, of two of one time the greater one. */
    static final BinaryOperator<Stamped> LATEST = (a, b) -> a.at > b.at || a.at == b.at && a.value >= b.value ? a : b;
    /** A set of small numbers that only grows. */
    static final BinaryOperator<Stamped> UNION = (a, b) -> new Stamped(a.value | b.value, Math.max(a.at, b.at));
    /** The defect that tests must find: whoever is heard last wins. */
    static final BinaryOperator<Stamped> LAST_HEARD = (a, b) -> b;

    @Override
    public String name() {
        return "plain " + number;
    }

    @Override
    public Stamped join(Stamped a, Stamped b) {
        return rule.apply(a, b);
    }

    @Override
    public double at(Stamped value) {
        return value.at;
    }

    /** What is kept for ever needs no clock. */
    @Override
    public boolean timed() {
        return keep < Double.POSITIVE_INFINITY;
    }

    @Override
    public void write(Stamped value, Writer out) {
        out.whole(value.value).number(value.at);
    }

    @Override
    public Stamped read(Reader in) {
        return new Stamped(in.whole(), in.number());
    }
}
