package clayhook.rollout;

/**
 * An event of a rollout that is reported to operators.
 *
 * @param type the kind of event
 * @param rulesHash hash of the candidate
 * @param message details, with names and numbers
 */
public record RolloutEvent(EventType type, String rulesHash, String message) {
    /** Types of events. {@code docs/rollouts.md} describes what operators do about each. */
    public enum EventType {
        /**
         * A requested rollout waits for members, for the replicated state, for the settling time after this router's
         * start, or for the end of a stall.
         */
        WAITING,
        /** This router has received a proposal or has made one. */
        PROPOSED,
        /** The rollout that this router's operator requested cannot be proposed now. */
        REJECTED,
        /** A majority has voted for the next stage. */
        ADVANCED,
        /** All sessions get the candidate, which is now the fleet's current rule set. */
        COMPLETED,
        /** The candidate was proven worse, or the rollout could not continue after its start. */
        HALTED,
        /** A router cannot run the candidate. */
        VETOED,
        /** An operator withdrew the rollout. */
        WITHDRAWN,
        /** Another rollout was proposed earlier. */
        SUPERSEDED,
        /** The rollout did not start in time. */
        EXPIRED,
        /** Fewer than a majority of the voters have fresh counters, so this router holds the stage. */
        COUNTERS_MISSING,
        /** A majority of the voters has fresh counters again. */
        COUNTERS_RESTORED,
        /** This router has begun to run the candidate. */
        CANDIDATE_RUNNING,
        /** This router no longer runs the candidate, because it had no contact with a majority. */
        LEASE_EXPIRED,
        /** This router does not participate, because its current rules are not the rollout's base rules. */
        NOT_PARTICIPATING,
        /**
         * A router with counters has departed. The requests that it counted after its last replicated counters are
         * lost.
         */
        MEMBER_DEPARTED
    }
}
