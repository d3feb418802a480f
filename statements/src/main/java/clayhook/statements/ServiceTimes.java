package clayhook.statements;

import org.HdrHistogram.ShortCountsHistogram;

/** How long statements of one shape took lately: two histograms take turns, so that what is old leaves with one. */
final class ServiceTimes {
    /** Bytes that both histograms take with what is around them; measured with the figures above them. */
    static final int WEIGHT = 2200;
    /** Microseconds; a shorter time than the first, or a longer than the second, is taken for it. */
    private static final long LEAST = 64, MOST = 100_000_000;
    /** Answers that one histogram counts before the other takes over; their counts stay far within a short. */
    private static final int TURN = 256;
    /** Answers that weigh as much as the guess they replace. */
    private static final int GUESS = 3;
    /** Quantiles are read anew after so many answers: reading takes some hundred steps. */
    private static final int REFRESH = 16;
    /** The part of answers that the spread covers. */
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

    /** The mean in seconds; {@code guess} counts as much as a few answers. */
    double mean(double guess) {
        return (GUESS * guess + currentSum + previousSum) / (GUESS + count());
    }

    /** What all but one in twenty stayed under, in seconds. */
    double high() {
        return high;
    }
}
