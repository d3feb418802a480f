package clayhook.lab.sharing;

/**
 * A router's own clock: it has an offset from true time and may run fast or slow. Within one incarnation of the router
 * it never jumps.
 */
final class DriftingClock {
    private double changedAt;
    private double shownAtChange;
    private double drift;

    /**
     * Creates a clock that shows true time.
     *
     * @param trueTime true time in seconds, here and in the other methods
     */
    DriftingClock(double trueTime) {
        setAhead(trueTime, 0);
    }

    double now(double trueTime) {
        return shownAtChange + (trueTime - changedAt) * (1 + drift);
    }

    /** Returns the true time at which this clock will show {@code ownTime}, at its current rate. */
    double trueTimeOf(double ownTime) {
        return changedAt + (ownTime - shownAtChange) / (1 + drift);
    }

    /** Sets the clock to the given number of seconds ahead of true time. */
    void setAhead(double trueTime, double secondsAhead) {
        changedAt = trueTime;
        shownAtChange = trueTime + secondsAhead;
    }

    /** Sets the rate: from now on the clock gains {@code secondsPerSecond}. */
    void setDrift(double trueTime, double secondsPerSecond) {
        shownAtChange = now(trueTime);
        changedAt = trueTime;
        drift = secondsPerSecond;
    }
}
