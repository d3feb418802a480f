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
record RolloutEnd(EndCause cause, String reason, String endedBy, double endedAt) {
    /**
     * In the order in which they are told where several routers ended it at once; to the candidate they are all the
     * same.
     */
    enum EndCause {
        HALTED,
        VETOED,
        WITHDRAWN,
        SUPERSEDED,
        EXPIRED
    }

    private static final Comparator<RolloutEnd> ORDER = Comparator.comparing(RolloutEnd::cause)
            .thenComparingDouble(RolloutEnd::endedAt)
            .thenComparing(RolloutEnd::endedBy)
            .thenComparing(RolloutEnd::reason);
    /** Characters of a reason; the rest is cut off, so that the value fits its part whatever the letters. */
    private static final int MAX_REASON_LENGTH = 100;

    static RolloutEnd of(EndCause what, String reason, String by, double at) {
        String cut = reason.length() <= MAX_REASON_LENGTH ? reason : reason.substring(0, MAX_REASON_LENGTH - 3) + "...";
        return new RolloutEnd(what, cut, by, at);
    }

    /** Which of the two is told; null is none. */
    static RolloutEnd merge(RolloutEnd a, RolloutEnd b) {
        return a == null ? b : b == null || ORDER.compare(a, b) <= 0 ? a : b;
    }

    void write(FieldWriter out) {
        out.beginList()
                .writeLong(cause.ordinal())
                .writeNullableString(reason)
                .writeNullableString(endedBy)
                .writeDouble(endedAt)
                .endList();
    }

    static RolloutEnd read(FieldReader in) {
        in.beginList();
        var end = new RolloutEnd(
                EndCause.values()[in.readIntBelow(EndCause.values().length)],
                in.readNullableString(),
                in.readNonEmptyString(),
                in.readDouble());
        in.endList();
        return end;
    }
}
