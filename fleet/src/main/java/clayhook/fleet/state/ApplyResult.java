package clayhook.fleet.state;

/** What became of a value that was written here or received from another member. */
public enum ApplyResult {
    /** It changed the replica. */
    CHANGED,
    /** The replica held it, or a value that includes it, already. */
    UNCHANGED,
    /** Rejected: its retention is over. */
    EXPIRED,
    /** Rejected: it is at or below the eviction floor of its type. */
    BELOW_FLOOR,
    /** Rejected: its timestamp is further in the future than clocks may be off, or is no finite number. */
    FUTURE,
    /** Rejected: its key is empty or no valid text, or the key or the entry is too long. */
    INVALID_ENTRY,
    /** Rejected: it could not be decoded. */
    MALFORMED,
    /** Rejected: its type depends on clocks, and the clock of the member that sent it is off. */
    CLOCK_SKEWED;

    /** Whether the replica holds the value now. */
    boolean isAccepted() {
        return this == CHANGED || this == UNCHANGED;
    }

    /**
     * Whether the replica lacks nothing that it should hold: a value that expired or was evicted belongs to no replica.
     */
    boolean isSettled() {
        return isAccepted() || this == EXPIRED || this == BELOW_FLOOR;
    }
}
