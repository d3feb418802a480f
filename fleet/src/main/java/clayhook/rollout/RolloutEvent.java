package clayhook.rollout;

/**
 * Something that operators are to see.
 *
 * @param type what has happened
 * @param rulesHash the candidate's hash
 * @param message details, with names and numbers
 */
public record RolloutEvent(EventType type, String rulesHash, String message) {
    /** Types of events; {@code docs/rollouts.md} says what to do about each. */
    public enum EventType {
        /** A requested rollout waits for members, for the replicated state, or for the settling time after a start. */
        WAITING,
        /** A rollout is known here. */
        PROPOSED,
        /** The rollout that this router's operator requested cannot start now. */
        REJECTED,
        /** A majority voted for the next stage. */
        ADVANCED,
        /** All sessions get the candidate, which from now on is the fleet's current rule set. */
        COMPLETED,
        /** The candidate was proven worse, or cannot go on. */
        HALTED,
        /** A router cannot run the candidate. */
        VETOED,
        /** An operator took the rollout back. */
        WITHDRAWN,
        /** Another rollout that was proposed earlier wins. */
        SUPERSEDED,
        /** The rollout did not start in time. */
        EXPIRED,
        /** Fewer than a majority of routers have fresh counters; nothing is decided. */
        COUNTERS_MISSING,
        /** A majority of routers has fresh counters again. */
        COUNTERS_RESTORED,
        /** The candidate runs at this router. */
        CANDIDATE_RUNNING,
        /** The candidate no longer runs here, as there was no contact with a majority. */
        LEASE_EXPIRED,
        /** This router does not take part, as its own current rules are not the rollout's base rules. */
        NOT_PARTICIPATING,
        /** A router that has counted requests has departed; what it counted last is lost. */
        MEMBER_DEPARTED
    }
}
