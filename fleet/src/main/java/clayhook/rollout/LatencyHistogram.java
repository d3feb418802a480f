package clayhook.rollout;

/**
 * A histogram of response times as plain counts that can be added: eight buckets to each doubling from 0.1 ms on, each
 * 9% wide. That is enough for a 99th percentile and small enough for one packet whatever the counts; HdrHistogram with
 * one digit would have 12% and more counters over the same range. The buckets are part of the wire format.
 */
final class LatencyHistogram {
    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int DOUBLINGS = 20;
    /** Seconds up to which all times are in the first bucket. */
    private static final double MIN_SECONDS = 1e-4;
    /** Number of buckets; the last one holds everything from about 100 s on. */
    static final int SIZE = DOUBLINGS * BUCKETS_PER_DOUBLING;

    private static final double HUNDREDTHS = 100.0;

    private LatencyHistogram() {}

    /** The bucket of a time in seconds. */
    static int bucketOf(double seconds) {
        double bucket = Math.floor(Math.log(seconds / MIN_SECONDS) / Math.log(2) * BUCKETS_PER_DOUBLING) + 1;
        return (int) Math.max(0, Math.min(SIZE - 1, bucket));
    }

    /** The upper bound of a bucket in seconds. */
    static double upperBound(int bucket) {
        return MIN_SECONDS * Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /** Number of times in the histogram. */
    static long total(long[] counts) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }

    /** The upper bound in seconds of the bucket with the 99th percentile; NaN for an empty histogram. */
    static double percentile99(long[] counts) {
        long total = total(counts);
        double above = total / HUNDREDTHS;
        long seen = 0;
        for (int i = SIZE - 1; i >= 0 && total > 0; i--) {
            seen += counts[i];
            if (seen > above) {
                return upperBound(i);
            }
        }
        return Double.NaN;
    }
}
