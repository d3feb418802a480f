package clayhook.lab.sharing;

/**
 * A router's own clock: it has an offset from true time and may run fast or slow. Within one incarnation of the router
 * it never jumps.
 */
final class DriftingClock {
    private double since;
    private double told;
    private double gains;

    /**
     * Creates a clock that shows true time.
     *
     * @param now true time, here and in the other methods
     */
    DriftingClock(double now) {
        set(now, 0);
    }

    double at(double now) {
        return told + (now - since) * (1 + gains);
    }

    /** Returns the true time at which this clock will show {@code own}, at its current rate. */
    double when(double own) {
        return since + (own - told) / (1 + gains);
    }

    /** Sets the clock to the given number of seconds ahead of true time. */
    void set(double now, double ahead) {
        since = now;
        told = now + ahead;
    }

    /** Sets the rate: from now on the clock gains {@code seconds} per second. */
    void gains(double now, double seconds) {
        told = at(now);
        since = now;
        gains = seconds;
    }
}
