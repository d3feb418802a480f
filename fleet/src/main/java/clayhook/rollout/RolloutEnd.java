package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Why a rollout has ended. An end is never taken back; the same rule set can only be proposed again, with a higher
 * attempt.
 *
 * @param cause what kind of end
 * @param reason text for operators, shortened to 100 characters
 * @param endedBy name of the router that ended it first
 * @param endedAt when, in seconds since 1970 on that router's clock
 */
record RolloutEnd(EndCause cause, String reason, String endedBy, double endedAt) {
    /** Kinds of ends, in the order in which one is reported where several routers end a rollout at once. */
    enum EndCause {
        /** The counters proved that the candidate is worse, or it could not go on. */
        HALTED(0),
        /** A router cannot run the candidate. */
        VETOED(1),
        /** An operator took it back. */
        WITHDRAWN(2),
        /** Another rollout that was proposed earlier wins. */
        SUPERSEDED(3),
        /** It did not start in time. */
        EXPIRED(4);

        private final int code;

        EndCause(int code) {
            this.code = code;
        }

        /** The number on the wire, from 0 without gaps. Never changes. */
        int code() {
            return code;
        }

        /** The cause with that code; throws IllegalArgumentException for none. */
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
    /** Keeps the encoded value within the size of a message, whatever the characters. */
    private static final int MAX_REASON_LENGTH = 100;

    private static final String ELLIPSIS = "...";

    /** Creates an end whose reason is shortened to the maximum length. */
    static RolloutEnd of(EndCause cause, String reason, String endedBy, double endedAt) {
        String shortened = reason.length() <= MAX_REASON_LENGTH
                ? reason
                : reason.substring(0, MAX_REASON_LENGTH - ELLIPSIS.length()) + ELLIPSIS;
        return new RolloutEnd(cause, shortened, endedBy, endedAt);
    }

    /** Which of two ends is reported; null stands for none. Commutative, associative and idempotent. */
    static RolloutEnd merge(RolloutEnd a, RolloutEnd b) {
        if (a == null) {
            return b;
        }
        return b == null || ORDER.compare(a, b) <= 0 ? a : b;
    }

    /** Encodes the end as a list of its own. */
    void write(FieldWriter out) {
        out.beginList()
                .writeLong(cause.code())
                .writeNullableString(reason)
                .writeNullableString(endedBy)
                .writeDouble(endedAt)
                .endList();
    }

    /** Decodes what {@link #write} encoded; throws IllegalArgumentException for malformed fields. */
    static RolloutEnd read(FieldReader in) {
        in.beginList();
        EndCause cause = EndCause.ofCode(in.readIntBelow(EndCause.values().length));
        var end = new RolloutEnd(cause, in.readNullableString(), in.readNonEmptyString(), in.readDouble());
        in.endList();
        return end;
    }
}
