package clayhook;

/**
 * A moving average of recent samples of load, each from 0 to 1, that decays with time instead of with the number of
 * samples. An estimate with a parent decays towards the parent's estimate and passes each sample on to it, so that a
 * router with few samples of one replica set falls back on the estimate for all sets. Times are in seconds. Not
 * thread-safe.
 */
final class LoadEstimate {
    /**
     * The parameters of how fast an estimate follows its samples.
     *
     * @param decaySeconds the time in which the distance to the parent's estimate falls to 1/e
     * @param minSampleWeight the weight of a sample immediately after another one
     * @param maxSampleWeight the weight of a sample after a long time without samples
     */
    record Smoothing(double decaySeconds, double minSampleWeight, double maxSampleWeight) {}

    private final Smoothing smoothing;

    /** The estimate towards which this one decays, or null. */
    private final LoadEstimate parent;

    private double lastValue;
    private double lastUpdatedAt = NodeState.NEVER;

    /** Creates an estimate of 0; {@code parent} may be null. */
    LoadEstimate(Smoothing smoothing, LoadEstimate parent) {
        this.smoothing = smoothing;
        this.parent = parent;
    }

    /** Returns the estimate at the given time. */
    double value(double now) {
        double target = parent == null ? lastValue : parent.lastValue;
        return target + (lastValue - target) * remainingFraction(now);
    }

    /** Adds a sample; samples above 1 count as 1. */
    void addSample(double sample, double now) {
        double weight = Math.max(
                smoothing.minSampleWeight(), Math.min(smoothing.maxSampleWeight(), 1 - remainingFraction(now)));
        double current = value(now);
        lastValue = current + weight * (Math.min(1, sample) - current);
        lastUpdatedAt = now;
        if (parent != null) {
            parent.addSample(sample, now);
        }
    }

    /** Returns the fraction of the last value's distance to the parent that has not decayed yet. */
    private double remainingFraction(double now) {
        return Math.exp((lastUpdatedAt - now) / smoothing.decaySeconds());
    }
}
