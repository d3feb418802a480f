package clayhook.fleet.state;

/** What came of a value that was put in or heard. */
public enum ApplyResult {
    /** It changed the copy. */
    CHANGED,
    /** The copy had it, or more. */
    UNCHANGED,
    /** It is past its time. */
    EXPIRED,
    /** It is at or below the floor of its kind. */
    BELOW_FLOOR,
    /** It is from further in the future than clocks may be off. */
    FUTURE,
    /** Its key is empty or no text, or key and value together are too long. */
    UNFIT,
    /** It could not be read. */
    MALFORMED,
    /** Its kind goes by clocks, and that of the router that told it is off. */
    CLOCK_SKEWED;

    boolean isAccepted() {
        return this == CHANGED || this == UNCHANGED;
    }

    /**
     * Whether the copy lacks nothing that it should hold: what is past its time or below the floor is missing rightly.
     */
    boolean isSettled() {
        return isAccepted() || this == EXPIRED || this == BELOW_FLOOR;
    }
}
