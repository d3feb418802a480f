package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Comparator;

/**
 * Why a rollout is over. There is no way back from it; whoever wants the set again proposes it anew.
 *
 * @param by name of the router that said so first
 * @param at when, on that router's clock
 */
record End(What what, String reason, String by, double at) {
    /**
     * In the order in which they are told where several routers ended it at once; to the candidate they are all the
     * same.
     */
    enum What {
        HALTED,
        VETOED,
        WITHDRAWN,
        SUPERSEDED,
        EXPIRED
    }

    private static final Comparator<End> ORDER = Comparator.comparing(End::what)
            .thenComparingDouble(End::at)
            .thenComparing(End::by)
            .thenComparing(End::reason);
    /** Characters of a reason; the rest is cut off, so that the value fits its part whatever the letters. */
    private static final int LONGEST_REASON = 100;

    static End of(What what, String reason, String by, double at) {
        String cut = reason.length() <= LONGEST_REASON ? reason : reason.substring(0, LONGEST_REASON - 3) + "...";
        return new End(what, cut, by, at);
    }

    /** Which of the two is told; null is none. */
    static End join(End a, End b) {
        return a == null ? b : b == null || ORDER.compare(a, b) <= 0 ? a : b;
    }

    void write(FieldWriter out) {
        out.beginList().writeLong(what.ordinal()).writeNullableString(reason).writeNullableString(by).writeDouble(at).endList();
    }

    static End read(FieldReader in) {
        in.beginList();
        var end = new End(What.values()[in.readIntBelow(What.values().length)], in.readNullableString(), in.readNonEmptyString(), in.readDouble());
        in.endList();
        return end;
    }
}
