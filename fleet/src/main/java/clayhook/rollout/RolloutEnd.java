package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Arrays;
import java.util.Comparator;

/**
 * The end of a rollout and its cause. An end is permanent; the same rule set can only be proposed again with a higher
 * attempt number.
 *
 * @param cause the kind of end
 * @param reason reason for operators, truncated to 100 characters
 * @param endedBy name of the router that ended the rollout
 * @param endedAt time of the end, in seconds since 1970 on that router's clock
 */
record RolloutEnd(EndCause cause, String reason, String endedBy, double endedAt) {
    /** Kinds of ends. If several routers end a rollout at once, the first of these constants is reported. */
    enum EndCause {
        /** The counters proved that the candidate is worse, or the rollout could not continue after its start. */
        HALTED(0),
        /** A router cannot run the candidate. */
        VETOED(1),
        /** An operator withdrew the rollout. */
        WITHDRAWN(2),
        /** Another rollout was proposed earlier. */
        SUPERSEDED(3),
        /** The rollout did not start in time. */
        EXPIRED(4);

        private final int code;

        EndCause(int code) {
            this.code = code;
        }

        /** The number on the wire. Codes are contiguous from 0 and never change. */
        int code() {
            return code;
        }

        /** The cause with the given code; throws IllegalArgumentException if there is none. */
        static EndCause ofCode(int code) {
            return Arrays.stream(values())
                    .filter(cause -> cause.code == code)
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("no cause " + code));
        }
    }

    private static final Comparator<RolloutEnd> ORDER = Comparator.comparing(RolloutEnd::cause)
            .thenComparingDouble(RolloutEnd::endedAt)
            .thenComparing(RolloutEnd::endedBy)
            .thenComparing(RolloutEnd::reason);
    /**
     * Maximum number of characters of a reason, so that the encoded value fits in a message whatever the characters
     * are.
     */
    private static final int MAX_REASON_LENGTH = 100;

    private static final String ELLIPSIS = "...";

    /** Creates an end and truncates its reason to the maximum length. */
    static RolloutEnd of(EndCause cause, String reason, String endedBy, double endedAt) {
        String shortened = reason.length() <= MAX_REASON_LENGTH
                ? reason
                : reason.substring(0, MAX_REASON_LENGTH - ELLIPSIS.length()) + ELLIPSIS;
        return new RolloutEnd(cause, shortened, endedBy, endedAt);
    }

    /** The one of two ends that is reported; null stands for no end. Commutative, associative and idempotent. */
    static RolloutEnd merge(RolloutEnd a, RolloutEnd b) {
        if (a == null) {
            return b;
        }
        return b == null || ORDER.compare(a, b) <= 0 ? a : b;
    }

    /** Encodes the end as one list. */
    void write(FieldWriter out) {
        out.beginList()
                .writeLong(cause.code())
                .writeNullableString(reason)
                .writeNullableString(endedBy)
                .writeDouble(endedAt)
                .endList();
    }

    /** Decodes the list that {@link #write} encodes; throws IllegalArgumentException for malformed fields. */
    static RolloutEnd read(FieldReader in) {
        in.beginList();
        EndCause cause = EndCause.ofCode(in.readIntBelow(EndCause.values().length));
        var end = new RolloutEnd(cause, in.readNullableString(), in.readNonEmptyString(), in.readDouble());
        in.endList();
        return end;
    }
}
