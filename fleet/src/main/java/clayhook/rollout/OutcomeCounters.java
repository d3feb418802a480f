package clayhook.rollout;

/**
 * Outcome counters and response times of one variant and request class. Requests are counted in buckets by a hash of
 * their session, because the variance between buckets shows how much sessions differ from each other. Not thread-safe.
 */
final class OutcomeCounters {
    /** Number of buckets into which sessions are hashed. */
    static final int SESSION_BUCKETS = 12;
    /** Offset within a bucket: all requests. */
    static final int TOTAL = 0;
    /** Offset within a bucket: failed requests. */
    static final int FAILED = 1;
    /** Offset within a bucket: requests whose response came after their latency objective. */
    static final int LATE = 2;
    /** Offset within a bucket: rejected requests. */
    static final int REJECTED = 3;
    /** Offset within a bucket: requests with a response that were compared with a known slow threshold. */
    static final int LATENCY_COMPARED = 4;
    /** Offset within a bucket: requests whose response time reached the slow threshold. */
    static final int SLOW = 5;
    /** Number of counters in a bucket; they are adjacent. */
    static final int COUNTERS_PER_BUCKET = 6;
    /** Number of counters in all buckets. */
    static final int SIZE = SESSION_BUCKETS * COUNTERS_PER_BUCKET;
    /** Makes the bucket of a session independent of the hash that selects the session's variant. */
    private static final long BUCKET_SALT = 0x9e3779b97f4a7c15L;

    /** The counters of all buckets, bucket by bucket. */
    final long[] counts = new long[SIZE];
    /** {@link LatencyHistogram} of the response times. */
    final long[] latencies = new long[LatencyHistogram.SIZE];

    /** Offset within a bucket of the requests that form the denominator of a metric's share. */
    static int comparedOffset(GuardMetric metric) {
        return metric == GuardMetric.SLOW ? LATENCY_COMPARED : TOTAL;
    }

    /** Offset within a bucket of the requests that a metric counts as bad. */
    static int badOffset(GuardMetric metric) {
        return switch (metric) {
            case FAILED -> FAILED;
            case LATE -> LATE;
            case REJECTED -> REJECTED;
            case SLOW -> SLOW;
        };
    }

    /**
     * Counts one request.
     *
     * @param session hash of the session
     * @param seconds response time in seconds; NaN without a response
     * @param slowThreshold response time in seconds from which the request counts as slow; NaN while unknown
     */
    void add(long session, boolean failed, boolean late, boolean rejected, double seconds, double slowThreshold) {
        int bucket = (int) Long.remainderUnsigned(TrafficSplit.mixHash(session + BUCKET_SALT), SESSION_BUCKETS);
        int start = bucket * COUNTERS_PER_BUCKET;
        counts[start + TOTAL]++;
        counts[start + FAILED] += failed ? 1 : 0;
        counts[start + LATE] += late ? 1 : 0;
        counts[start + REJECTED] += rejected ? 1 : 0;
        if (!Double.isNaN(seconds)) {
            latencies[LatencyHistogram.bucketOf(seconds)]++;
            counts[start + LATENCY_COMPARED] += Double.isNaN(slowThreshold) ? 0 : 1;
            counts[start + SLOW] += seconds >= slowThreshold ? 1 : 0;
        }
    }

    /** Adds all counters of another instance. */
    void add(OutcomeCounters other) {
        for (int i = 0; i < SIZE; i++) {
            counts[i] += other.counts[i];
        }
        for (int i = 0; i < LatencyHistogram.SIZE; i++) {
            latencies[i] += other.latencies[i];
        }
    }

    /** Sum of the counter at an offset over all buckets. */
    long sum(int offset) {
        return SequentialTest.sumBuckets(counts, 0, offset);
    }
}
