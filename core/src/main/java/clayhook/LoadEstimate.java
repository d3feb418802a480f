package clayhook;

/**
 * A moving average of recent samples of load, each from 0 to 1, that decays with time instead of with the number of
 * samples. An estimate with a parent decays towards the parent's estimate and passes each sample on, so that a router
 * that rarely hears of one replica set falls back on what it knows of all. Times are seconds. Not thread-safe.
 */
final class LoadEstimate {
    /**
     * How fast an estimate follows its samples.
     *
     * @param decaySeconds the time in which the distance to the parent's estimate falls to 1/e
     * @param minSampleWeight the weight of a sample that follows immediately on another one
     * @param maxSampleWeight the weight of a sample after a long silence
     */
    record Smoothing(double decaySeconds, double minSampleWeight, double maxSampleWeight) {}

    private final Smoothing smoothing;

    /** The estimate that this one decays towards, or null. */
    private final LoadEstimate parent;

    private double lastValue;
    private double lastUpdatedAt = NodeState.NEVER;

    /** Creates an estimate of 0; {@code parent} may be null. */
    LoadEstimate(Smoothing smoothing, LoadEstimate parent) {
        this.smoothing = smoothing;
        this.parent = parent;
    }

    /** Returns the estimate at a time. */
    double value(double now) {
        double target = parent == null ? lastValue : parent.lastValue;
        return target + (lastValue - target) * remaining(now);
    }

    /** Adds a sample; one above 1 counts as 1. */
    void addSample(double sample, double now) {
        double weight =
                Math.max(smoothing.minSampleWeight(), Math.min(smoothing.maxSampleWeight(), 1 - remaining(now)));
        double current = value(now);
        lastValue = current + weight * (Math.min(1, sample) - current);
        lastUpdatedAt = now;
        if (parent != null) {
            parent.addSample(sample, now);
        }
    }

    /** The part of the last value's distance to the parent that is left after the time since. */
    private double remaining(double now) {
        return Math.exp((lastUpdatedAt - now) / smoothing.decaySeconds());
    }
}
