package clayhook.rollout;

import java.util.Arrays;

/** The metric that a guard watches: the share of requests that end in a certain way. */
public enum GuardMetric {
    /** Requests that ended in an error that the statement itself did not cause. */
    FAILED(0, "failed"),
    /** Requests whose response came after their latency objective. */
    LATE(1, "late"),
    /** Requests that the router rejected. */
    REJECTED(2, "throttled"),
    /**
     * Requests that were slower than the baseline's 99th percentile at the same router. Guard limits and reports use
     * the 99th percentile in seconds instead of the share.
     */
    SLOW(3, "slow");

    private final int code;
    private final String key;

    GuardMetric(int code, String key) {
        this.code = code;
        this.key = key;
    }

    /** The number on the wire and the position in replicated counters. Codes are contiguous from 0 and never change. */
    int code() {
        return code;
    }

    /** The metric with the given code; throws IllegalArgumentException if there is none. */
    static GuardMetric ofCode(int code) {
        return Arrays.stream(values())
                .filter(metric -> metric.code == code)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no metric " + code));
    }

    /**
     * The name of the metric in the operator's file and in the reason for a halt, which is replicated to other routers.
     */
    public String key() {
        return key;
    }
}
