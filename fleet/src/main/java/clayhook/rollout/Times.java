package clayhook.rollout;

/**
 * A histogram of times of answers as plain counts, eight steps to each doubling from 0.1 ms on: 9% wide, which is
 * enough for a 99th percentile, and small enough for one packet whatever the counts. HdrHistogram's coarsest (one
 * digit) has 12% and more counters over the same range.
 */
final class Times {
    private static final int STEPS = 8;
    /** Seconds below which all is one. */
    private static final double LEAST = 1e-4;
    /** Up to 100 s, and beyond. */
    static final int SIZE = 20 * STEPS;

    private Times() {}

    static int step(double seconds) {
        double at = Math.floor(Math.log(seconds / LEAST) / Math.log(2) * STEPS) + 1;
        return (int) Math.max(0, Math.min(SIZE - 1, at));
    }

    /** Seconds at which that step ends. */
    static double end(int step) {
        return LEAST * Math.pow(2, (double) step / STEPS);
    }

    /** Seconds that all but a hundredth do not exceed, by the step's end; NaN for no times. */
    static double slowest(long[] counts) {
        long all = 0;
        for (long count : counts) {
            all += count;
        }
        double above = all / 100.0;
        long seen = 0;
        for (int i = SIZE - 1; i >= 0 && all > 0; i--) {
            seen += counts[i];
            if (seen > above) {
                return end(i);
            }
        }
        return Double.NaN;
    }
}
