package clayhook.rollout;

/**
 * What operators are told.
 *
 * @param rules hash of the candidate
 * @param text with names and figures
 */
public record RolloutEvent(EventType type, String rulesHash, String message) {
    /** Kinds of news; {@code docs/rollouts.md} says what to do about each. */
    public enum EventType {
        /** A proposal waits for members, for its copy, or for its settling. */
        WAITING,
        /** A rollout is known here. */
        PROPOSED,
        /** This router's operator asked for what cannot be done now. */
        REJECTED,
        /** A majority went on to another stage. */
        ADVANCED,
        /** All sessions get the candidate, which is what the fleet stands on from now on. */
        COMPLETED,
        HALTED,
        VETOED,
        WITHDRAWN,
        SUPERSEDED,
        EXPIRED,
        /** The figures do not show enough routers; nothing is decided. */
        COUNTERS_MISSING,
        /** They do again. */
        COUNTERS_RESTORED,
        /** The candidate runs at this router. */
        CANDIDATE_RUNNING,
        /** It does not any more, as there was no contact with a majority. */
        LEASE_EXPIRED,
        /** This router cannot take part: it stands on other rules, or could not read these. */
        NOT_PARTICIPATING,
        /** A router that died has counted something; what it counted last is lost. */
        MEMBER_DEPARTED
    }
}
