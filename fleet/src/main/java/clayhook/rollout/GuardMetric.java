package clayhook.rollout;

/** What a guard watches: the share of commands that end so. */
public enum GuardMetric {
    /** Ended in an error that is not the statement's own. */
    FAILED,
    /** Answered past their response target. */
    LATE,
    /** Turned away. */
    THROTTLED,
    /**
     * Slower than the old version's 99th percentile at that router; shown and bounded as the 99th percentile in
     * seconds.
     */
    SLOW
}
