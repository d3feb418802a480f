package clayhook.rollout;

/**
 * What operators are told.
 *
 * @param rules hash of the candidate
 * @param text with names and figures
 */
public record News(What what, String rules, String text) {
    /** Kinds of news; {@code docs/rollouts.md} says what to do about each. */
    public enum What {
        /** A proposal waits for members, for its copy, or for its settling. */
        WAITING,
        /** A rollout is known here. */
        PROPOSED,
        /** This router's operator asked for what cannot be done now. */
        REFUSED,
        /** A majority went on to another stage. */
        ADVANCED,
        /** All sessions get the candidate, which is what the fleet stands on from now on. */
        DONE,
        HALTED,
        VETOED,
        WITHDRAWN,
        SUPERSEDED,
        EXPIRED,
        /** The figures do not show enough routers; nothing is decided. */
        BLIND,
        /** They do again. */
        SEEING,
        /** The candidate runs at this router. */
        RUNS,
        /** It does not any more, as there was no contact with a majority. */
        CUT_OFF,
        /** This router cannot take part: it stands on other rules, or could not read these. */
        SITS_OUT,
        /** A router that died has counted something; what it counted last is lost. */
        FIGURES_END
    }
}
