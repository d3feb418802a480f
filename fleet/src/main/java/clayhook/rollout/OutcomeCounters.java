package clayhook.rollout;

/**
 * Outcomes of the requests of one variant and request class. Requests are also counted by a hash of their session,
 * because the spread between the buckets shows how much sessions differ from each other. Not thread-safe.
 */
final class OutcomeCounters {
    /** Buckets into which sessions are hashed. */
    static final int SESSION_BUCKETS = 12;
    /** Position within a bucket: all requests. */
    static final int TOTAL = 0;
    /** Position within a bucket: failed requests. */
    static final int FAILED = 1;
    /** Position within a bucket: requests answered after their latency objective. */
    static final int LATE = 2;
    /** Position within a bucket: rejected requests. */
    static final int REJECTED = 3;
    /** Position within a bucket: answered requests for which the threshold of slowness was known. */
    static final int LATENCY_COMPARED = 4;
    /** Position within a bucket: requests above the threshold of slowness. */
    static final int SLOW = 5;
    /** Counters in a bucket, which are adjacent. */
    static final int COUNTERS_PER_BUCKET = 6;
    /** Counters in all buckets. */
    static final int SIZE = SESSION_BUCKETS * COUNTERS_PER_BUCKET;
    /** Makes the bucket independent of the hash that selects the variant of a session. */
    private static final long BUCKET_SALT = 0x9e3779b97f4a7c15L;

    /** The buckets, one after the other. */
    final long[] counts = new long[SIZE];
    /** Response times, see {@link LatencyHistogram}. */
    final long[] latencies = new long[LatencyHistogram.SIZE];

    /** Position within a bucket of the requests that a metric is a share of. */
    static int comparedOffset(GuardMetric metric) {
        return metric == GuardMetric.SLOW ? LATENCY_COMPARED : TOTAL;
    }

    /** Position within a bucket of the requests that a metric counts. */
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
     * @param seconds until the response; NaN without a response
     * @param slowThreshold seconds from which the request counts as slow; NaN while unknown
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

    /** Sum of one counter over the session buckets. */
    long sum(int offset) {
        return SequentialTest.sumBuckets(counts, 0, offset);
    }
}
