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

    private static final double LOG = Math.log((1 + FIRST_ERROR) / (1 - FIRST_ERROR));
    /** Of each sign. */
    private static final int MOST = 1024;
    /** An entry of a tree with its boxed numbers, about. */
    private static final int ENTRY = 88;

    private final TreeMap<Integer, Long> above = new TreeMap<>();
    private final TreeMap<Integer, Long> below = new TreeMap<>();
    private long zeros;
    private long lowest;
    private long highest;
    private long nans;
    /** How often two buckets became one. */
    private int level;

    void add(double value) {
        if (value == 0) {
            zeros++;
        } else if (Double.isNaN(value)) {
            nans++;
        } else if (Double.isInfinite(value)) {
            highest += value > 0 ? 1 : 0;
            lowest += value < 0 ? 1 : 0;
        } else {
            int index = (int) Math.ceil(Math.log(Math.abs(value)) / LOG);
            for (int i = 0; i < level; i++) {
                index = up(index);
            }
            (value > 0 ? above : below).merge(index, 1L, Long::sum);
            fold();
        }
    }

    private static int up(int index) {
        return Math.floorDiv(index + 1, 2);
    }

    private void fold() {
        while (above.size() > MOST || below.size() > MOST) {
            fold(above);
            fold(below);
            level++;
        }
    }

    private static void fold(Map<Integer, Long> buckets) {
        var coarse = new TreeMap<Integer, Long>();
        buckets.forEach((index, count) -> coarse.merge(up(index), count, Long::sum));
        buckets.clear();
        buckets.putAll(coarse);
    }

    /** The other one is not used afterwards. */
    void join(QuantileBuckets other) {
        for (; level < other.level; level++) {
            fold(above);
            fold(below);
        }
        for (; other.level < level; other.level++) {
            fold(other.above);
            fold(other.below);
        }
        other.above.forEach((index, count) -> above.merge(index, count, Long::sum));
        other.below.forEach((index, count) -> below.merge(index, count, Long::sum));
        zeros += other.zeros;
        lowest += other.lowest;
        highest += other.highest;
        nans += other.nans;
        fold();
    }

    private static long sum(Map<Integer, Long> buckets) {
        return buckets.values().stream().mapToLong(Long::longValue).sum();
    }

    /** There is at least one value. */
    double quantile(double share) {
        long left = QuantileAggregator.rank(share, lowest + sum(below) + zeros + sum(above) + highest + nans) - lowest;
        if (left < 0) {
            return Double.NEGATIVE_INFINITY;
        }
        for (var bucket : below.descendingMap().entrySet()) {
            left -= bucket.getValue();
            if (left < 0) {
                return -middle(bucket.getKey());
            }
        }
        left -= zeros;
        if (left < 0) {
            return 0;
        }
        for (var bucket : above.entrySet()) {
            left -= bucket.getValue();
            if (left < 0) {
                return middle(bucket.getKey());
            }
        }
        return left < highest ? Double.POSITIVE_INFINITY : Double.NaN;
    }

    private double logarithm() {
        return Math.scalb(LOG, level);
    }

    /** What is off by the same share at both ends of the bucket. */
    private double middle(int index) {
        return Math.min(Double.MAX_VALUE, Math.exp(index * logarithm()) * (1 - error()));
    }

    /** As a share of the value: with g the ratio of a bucket's ends, (g - 1) / (g + 1). */
    double error() {
        return Math.tanh(logarithm() / 2);
    }

    long weight() {
        return 2 * Aggregator.OBJECT + (long) (above.size() + below.size()) * ENTRY;
    }
}
