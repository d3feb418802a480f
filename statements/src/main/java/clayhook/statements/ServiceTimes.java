package clayhook.statements;

import org.HdrHistogram.ShortCountsHistogram;

/** Recent service times of the statements of one shape, in two rotating histograms that expire old values. */
final class ServiceTimes {
    /** The measured size in bytes of both histograms, with their bounds and precision, including this object. */
    static final int ESTIMATED_BYTES = 2200;
    /** Bounds of recorded times in microseconds; a time beyond a bound is recorded as the bound. */
    private static final long MIN_MICROS = 64, MAX_MICROS = 100_000_000;
    /** The number of answers after which the histograms are rotated; it keeps counts far below the range of a short. */
    private static final int ANSWERS_PER_HISTOGRAM = 256;
    /** The number of answers that the initial estimate counts for in the mean. */
    private static final int ESTIMATE_WEIGHT = 3;
    /** The number of answers between updates of the percentile, because one update takes some hundred steps. */
    private static final int PERCENTILE_UPDATE_INTERVAL = 16;
    /** The reported percentile. */
    private static final double HIGH_PERCENTILE = 95;

    private ShortCountsHistogram current = new ShortCountsHistogram(MIN_MICROS, MAX_MICROS, 1);
    private ShortCountsHistogram previous = new ShortCountsHistogram(MIN_MICROS, MAX_MICROS, 1);
    private double currentSum;
    private double previousSum;
    private double highPercentile;
    private int answersSinceUpdate;

    void add(double seconds) {
        if (current.getTotalCount() >= ANSWERS_PER_HISTOGRAM) {
            ShortCountsHistogram oldest = previous;
            previous = current;
            previousSum = currentSum;
            current = oldest;
            current.reset();
            currentSum = 0;
        }
        current.recordValue(Math.max(MIN_MICROS, Math.min(MAX_MICROS, (long) (seconds * 1e6))));
        currentSum += seconds;
        if (++answersSinceUpdate >= PERCENTILE_UPDATE_INTERVAL || count() < PERCENTILE_UPDATE_INTERVAL) {
            answersSinceUpdate = 0;
            boolean currentHasFew = current.getTotalCount() < previous.getTotalCount() / 4;
            highPercentile = (currentHasFew ? previous : current).getValueAtPercentile(HIGH_PERCENTILE) / 1e6;
        }
    }

    long count() {
        return current.getTotalCount() + previous.getTotalCount();
    }

    /** The mean in seconds, in which the initial estimate counts as much as a few answers. */
    double mean(double estimate) {
        return (ESTIMATE_WEIGHT * estimate + currentSum + previousSum) / (ESTIMATE_WEIGHT + count());
    }

    /** The 95th percentile in seconds. */
    double highPercentile() {
        return highPercentile;
    }
}
