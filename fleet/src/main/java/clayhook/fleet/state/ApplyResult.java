package clayhook.fleet.state;

/** The result of merging a value that was written by this router or received from another member. */
public enum ApplyResult {
    /** The value changed the replica. */
    CHANGED,
    /** The replica already had the value or one that includes it. */
    UNCHANGED,
    /** Rejected because the retention of the value has elapsed. */
    EXPIRED,
    /** Rejected because the timestamp of the value is at or below the eviction floor of its type. */
    BELOW_FLOOR,
    /** Rejected because the timestamp is further in the future than the maximum clock skew, or not a finite number. */
    FUTURE,
    /**
     * Rejected because the key is empty or contains an unpaired surrogate, or because the key or the entry is too long.
     */
    INVALID_ENTRY,
    /** Rejected because the value could not be decoded. */
    MALFORMED,
    /** Rejected because the type is clock-dependent and the sender's clock is off by more than the bound. */
    CLOCK_SKEWED;

    /** Whether the replica now contains the value. */
    boolean isAccepted() {
        return this == CHANGED || this == UNCHANGED;
    }

    /**
     * Whether the value was accepted or is obsolete. An expired or evicted value is obsolete: no replica has to contain
     * it.
     */
    boolean isAcceptedOrObsolete() {
        return isAccepted() || this == EXPIRED || this == BELOW_FLOOR;
    }
}
