package clayhook.fleet.state;

/** What came of a value that was put in or heard. */
public enum Fate {
    /** It changed the copy. */
    CHANGED,
    /** The copy had it, or more. */
    SAME,
    /** It is past its time. */
    EXPIRED,
    /** It is at or below the floor of its kind. */
    FLOORED,
    /** It is from further in the future than clocks may be off. */
    FUTURE,
    /** Its key is empty or no text, or key and value together are too long. */
    UNFIT,
    /** It could not be read. */
    UNREADABLE,
    /** Its kind goes by clocks, and that of the router that told it is off. */
    UNTIMELY;

    boolean taken() {
        return this == CHANGED || this == SAME;
    }

    /**
     * Whether the copy lacks nothing that it should hold: what is past its time or below the floor is missing rightly.
     */
    boolean settled() {
        return taken() || this == EXPIRED || this == FLOORED;
    }
}
