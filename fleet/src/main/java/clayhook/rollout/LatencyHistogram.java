package clayhook.rollout;

/**
 * A histogram of response times as an array of counts, so that histograms can be added. Each doubling of the time from
 * 0.1 ms up has eight buckets, each 9% wide. That is precise enough for a 99th percentile, and the array fits in one
 * packet whatever the counts are; HdrHistogram with one digit would have a precision of 12% and more counters over the
 * same range. The buckets are part of the wire format.
 */
final class LatencyHistogram {
    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int DOUBLINGS = 20;
    /** Upper bound of the first bucket in seconds. */
    private static final double MIN_SECONDS = 1e-4;
    /** Number of buckets; the last one holds all times from about 100 s up. */
    static final int SIZE = DOUBLINGS * BUCKETS_PER_DOUBLING;

    private static final double PERCENT = 100.0;

    private LatencyHistogram() {}

    /** Index of the bucket that holds a time in seconds. */
    static int bucketOf(double seconds) {
        double bucket = Math.floor(Math.log(seconds / MIN_SECONDS) / Math.log(2) * BUCKETS_PER_DOUBLING) + 1;
        return (int) Math.max(0, Math.min(SIZE - 1, bucket));
    }

    /** The upper bound of a bucket in seconds. */
    static double upperBound(int bucket) {
        return MIN_SECONDS * Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /** Number of response times in the histogram. */
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
        double onePercent = total / PERCENT;
        long cumulative = 0;
        for (int i = SIZE - 1; i >= 0 && total > 0; i--) {
            cumulative += counts[i];
            if (cumulative > onePercent) {
                return upperBound(i);
            }
        }
        return Double.NaN;
    }
}
