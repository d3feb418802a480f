package clayhook;

/** A rate per second that decays exponentially while nothing is added. Times are in seconds. Not thread-safe. */
final class DecayingRate {
    private final double decaySeconds;
    private double lastValue;
    private double lastUpdatedAt;

    /** Creates a rate of 0; without additions a rate falls to 1/e within {@code decaySeconds}. */
    DecayingRate(double decaySeconds) {
        this.decaySeconds = decaySeconds;
    }

    /** Returns the rate at the given time. */
    double value(double now) {
        return lastValue * Math.exp((lastUpdatedAt - now) / decaySeconds);
    }

    /** Adds an amount that occurred at the given time. */
    void add(double amount, double now) {
        lastValue = value(now) + amount;
        lastUpdatedAt = now;
    }
}
