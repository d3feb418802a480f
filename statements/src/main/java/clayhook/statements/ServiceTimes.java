package clayhook.statements;

import org.HdrHistogram.ShortCountsHistogram;

/** Recent service times of the statements of one shape, in two rotating histograms that expire old values. */
final class ServiceTimes {
    /** The measured size in bytes of both histograms, with their bounds and precision, including this object. */
    static final int WEIGHT = 2200;
    /** Bounds of recorded times in microseconds; a time beyond a bound is recorded as the bound. */
    private static final long LEAST = 64, MOST = 100_000_000;
    /** The number of answers after which the histograms are rotated; it keeps counts far below the range of a short. */
    private static final int TURN = 256;
    /** The number of answers that the initial estimate counts for in the mean. */
    private static final int GUESS = 3;
    /** The number of answers between updates of the percentile, because one update takes some hundred steps. */
    private static final int REFRESH = 16;
    /** The reported percentile. */
    private static final double HIGH = 95;

    private ShortCountsHistogram current = new ShortCountsHistogram(LEAST, MOST, 1);
    private ShortCountsHistogram previous = new ShortCountsHistogram(LEAST, MOST, 1);
    private double currentSum;
    private double previousSum;
    private double high;
    private int sinceRefresh;

    void add(double seconds) {
        if (current.getTotalCount() >= TURN) {
            ShortCountsHistogram oldest = previous;
            previous = current;
            previousSum = currentSum;
            current = oldest;
            current.reset();
            currentSum = 0;
        }
        current.recordValue(Math.max(LEAST, Math.min(MOST, (long) (seconds * 1e6))));
        currentSum += seconds;
        if (++sinceRefresh >= REFRESH || count() < REFRESH) {
            sinceRefresh = 0;
            boolean few = current.getTotalCount() < previous.getTotalCount() / 4;
            high = (few ? previous : current).getValueAtPercentile(HIGH) / 1e6;
        }
    }

    long count() {
        return current.getTotalCount() + previous.getTotalCount();
    }

    /** The mean in seconds, in which the initial estimate counts as much as a few answers. */
    double mean(double guess) {
        return (GUESS * guess + currentSum + previousSum) / (GUESS + count());
    }

    /** The 95th percentile in seconds. */
    double high() {
        return high;
    }
}
