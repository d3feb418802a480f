package clayhook.rollout;

import java.util.Arrays;

/** What a guard watches: the share of requests that end in a certain way. */
public enum GuardMetric {
    /** Ended in an error that is not the statement's own. */
    FAILED(0, "failed"),
    /** Answered after their latency objective. */
    LATE(1, "late"),
    /** Rejected by the router. */
    REJECTED(2, "throttled"),
    /**
     * Slower than the baseline's 99th percentile at the same router; shown and limited as the 99th percentile in
     * seconds.
     */
    SLOW(3, "slow");

    private final int code;
    private final String key;

    GuardMetric(int code, String key) {
        this.code = code;
        this.key = key;
    }

    /** The number on the wire, from 0 without gaps; also the position in replicated counters. Never changes. */
    int code() {
        return code;
    }

    /** The metric with that code; throws IllegalArgumentException for none. */
    static GuardMetric ofCode(int code) {
        return Arrays.stream(values())
                .filter(metric -> metric.code == code)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no metric " + code));
    }

    /** The name of the metric in the operator's file and in the reason of a halt, which other routers receive. */
    public String key() {
        return key;
    }
}
