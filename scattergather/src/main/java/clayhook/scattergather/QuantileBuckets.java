package clayhook.scattergather;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of numbers by logarithm, so that a quantile is known up to a share of its value (DDSketch, Masson and others
 * 2019). When there are too many buckets, each two become one (UDDSketch, Epicoco and others 2020): that depends on the
 * values alone and not on their order, which is why it stands here and neither t-digest nor KLL do.
 */
final class QuantileBuckets {
    /**
     * Of the value, while numbers of a sign are within a factor of 25,000 of each other; doubled for each square of
     * that.
     */
    private static final double FIRST_ERROR = 0.005;

    private static final double LOG_RATIO = Math.log((1 + FIRST_ERROR) / (1 - FIRST_ERROR));
    /** Of each sign. */
    private static final int MAX_BUCKETS = 1024;
    /** An entry of a tree with its boxed numbers, about. */
    private static final int ENTRY_BYTES = 88;

    private final TreeMap<Integer, Long> positive = new TreeMap<>();
    private final TreeMap<Integer, Long> negative = new TreeMap<>();
    private long zeros;
    private long negativeInfinities;
    private long positiveInfinities;
    private long nans;
    /** How often two buckets became one. */
    private int level;

    void add(double value) {
        if (value == 0) {
            zeros++;
        } else if (Double.isNaN(value)) {
            nans++;
        } else if (Double.isInfinite(value)) {
            positiveInfinities += value > 0 ? 1 : 0;
            negativeInfinities += value < 0 ? 1 : 0;
        } else {
            int index = (int) Math.ceil(Math.log(Math.abs(value)) / LOG_RATIO);
            for (int i = 0; i < level; i++) {
                index = coarserIndex(index);
            }
            (value > 0 ? positive : negative).merge(index, 1L, Long::sum);
            coarsen();
        }
    }

    private static int coarserIndex(int index) {
        return Math.floorDiv(index + 1, 2);
    }

    private void coarsen() {
        while (positive.size() > MAX_BUCKETS || negative.size() > MAX_BUCKETS) {
            coarsen(positive);
            coarsen(negative);
            level++;
        }
    }

    private static void coarsen(Map<Integer, Long> buckets) {
        var coarse = new TreeMap<Integer, Long>();
        buckets.forEach((index, count) -> coarse.merge(coarserIndex(index), count, Long::sum));
        buckets.clear();
        buckets.putAll(coarse);
    }

    /** The other one is not used afterwards. */
    void merge(QuantileBuckets other) {
        for (; level < other.level; level++) {
            coarsen(positive);
            coarsen(negative);
        }
        for (; other.level < level; other.level++) {
            coarsen(other.positive);
            coarsen(other.negative);
        }
        other.positive.forEach((index, count) -> positive.merge(index, count, Long::sum));
        other.negative.forEach((index, count) -> negative.merge(index, count, Long::sum));
        zeros += other.zeros;
        negativeInfinities += other.negativeInfinities;
        positiveInfinities += other.positiveInfinities;
        nans += other.nans;
        coarsen();
    }

    private static long sum(Map<Integer, Long> buckets) {
        return buckets.values().stream().mapToLong(Long::longValue).sum();
    }

    /** There is at least one value. */
    double quantile(double share) {
        long remaining = QuantileAggregator.rank(
                        share, negativeInfinities + sum(negative) + zeros + sum(positive) + positiveInfinities + nans)
                - negativeInfinities;
        if (remaining < 0) {
            return Double.NEGATIVE_INFINITY;
        }
        for (var bucket : negative.descendingMap().entrySet()) {
            remaining -= bucket.getValue();
            if (remaining < 0) {
                return -middle(bucket.getKey());
            }
        }
        remaining -= zeros;
        if (remaining < 0) {
            return 0;
        }
        for (var bucket : positive.entrySet()) {
            remaining -= bucket.getValue();
            if (remaining < 0) {
                return middle(bucket.getKey());
            }
        }
        return remaining < positiveInfinities ? Double.POSITIVE_INFINITY : Double.NaN;
    }

    private double logRatio() {
        return Math.scalb(LOG_RATIO, level);
    }

    /** What is off by the same share at both ends of the bucket. */
    private double middle(int index) {
        return Math.min(Double.MAX_VALUE, Math.exp(index * logRatio()) * (1 - error()));
    }

    /** As a share of the value: with g the ratio of a bucket's ends, (g - 1) / (g + 1). */
    double error() {
        return Math.tanh(logRatio() / 2);
    }

    long weight() {
        return 2 * Aggregator.OBJECT_BYTES + (long) (positive.size() + negative.size()) * ENTRY_BYTES;
    }
}
