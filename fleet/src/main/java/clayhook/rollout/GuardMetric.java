package clayhook.rollout;

/**
 * What a guard watches: the share of requests that end in a certain way. The ordinals are written to the wire, so
 * constants may only be added at the end.
 */
public enum GuardMetric {
    /** Ended in an error that is not the statement's own. */
    FAILED("failed"),
    /** Answered after their latency objective. */
    LATE("late"),
    /** Rejected by the router. */
    REJECTED("throttled"),
    /**
     * Slower than the baseline's 99th percentile at the same router; shown and limited as the 99th percentile in
     * seconds.
     */
    SLOW("slow");

    private final String key;

    GuardMetric(String key) {
        this.key = key;
    }

    /** The word for the metric in the operator's file and in the reason of a halt, which other routers receive. */
    public String key() {
        return key;
    }
}
