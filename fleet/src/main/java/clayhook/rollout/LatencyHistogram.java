package clayhook.rollout;

/**
 * A histogram of times of answers as plain counts, eight steps to each doubling from 0.1 ms on: 9% wide, which is
 * enough for a 99th percentile, and small enough for one packet whatever the counts. HdrHistogram's coarsest (one
 * digit) has 12% and more counters over the same range.
 */
final class LatencyHistogram {
    private static final int BUCKETS_PER_DOUBLING = 8;
    /** Seconds below which all is one. */
    private static final double MIN_SECONDS = 1e-4;
    /** Up to 100 s, and beyond. */
    static final int SIZE = 20 * BUCKETS_PER_DOUBLING;

    private LatencyHistogram() {}

    static int bucketOf(double seconds) {
        double at = Math.floor(Math.log(seconds / MIN_SECONDS) / Math.log(2) * BUCKETS_PER_DOUBLING) + 1;
        return (int) Math.max(0, Math.min(SIZE - 1, at));
    }

    /** Seconds at which that step ends. */
    static double upperBound(int step) {
        return MIN_SECONDS * Math.pow(2, (double) step / BUCKETS_PER_DOUBLING);
    }

    /** Seconds that all but a hundredth do not exceed, by the step's end; NaN for no times. */
    static double percentile99(long[] counts) {
        long all = 0;
        for (long count : counts) {
            all += count;
        }
        double above = all / 100.0;
        long seen = 0;
        for (int i = SIZE - 1; i >= 0 && all > 0; i--) {
            seen += counts[i];
            if (seen > above) {
                return upperBound(i);
            }
        }
        return Double.NaN;
    }
}
