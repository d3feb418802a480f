package clayhook.scattergather;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of numbers in logarithmic buckets, which give a quantile with a bounded relative error (DDSketch, Masson et
 * al. 2019). When there are too many buckets, each pair is merged (UDDSketch, Epicoco et al. 2020). Unlike t-digest and
 * KLL, the result depends only on the values and not on their order.
 */
final class QuantileBuckets {
    /**
     * Initial relative error. It holds while numbers of the same sign are within a factor of 25,000 of each other, and
     * doubles each time that factor is squared.
     */
    private static final double FIRST_ERROR = 0.005;

    private static final double LOG_RATIO = Math.log((1 + FIRST_ERROR) / (1 - FIRST_ERROR));
    /** Maximum number of buckets for each sign. */
    private static final int MAX_BUCKETS = 1024;
    /** Approximate bytes of a tree entry with its boxed numbers. */
    private static final int ENTRY_BYTES = 88;

    private final TreeMap<Integer, Long> positive = new TreeMap<>();
    private final TreeMap<Integer, Long> negative = new TreeMap<>();
    private long zeros;
    private long negativeInfinities;
    private long positiveInfinities;
    private long nans;
    /** Number of times that pairs of buckets have been merged. */
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

    /** Merges the other buckets, which must not be used afterwards. */
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

    /** The quantile; requires at least one value. */
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

    /** Value with the same relative error at both ends of the bucket. */
    private double middle(int index) {
        return Math.min(Double.MAX_VALUE, Math.exp(index * logRatio()) * (1 - error()));
    }

    /** Relative error: (g - 1) / (g + 1), where g is the ratio of the bounds of a bucket. */
    double error() {
        return Math.tanh(logRatio() / 2);
    }

    long weight() {
        return 2 * Aggregator.OBJECT_BYTES + (long) (positive.size() + negative.size()) * ENTRY_BYTES;
    }
}
