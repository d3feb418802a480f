package clayhook.lab.sharing;

/** A router's own clock: off by something from its start on, and fast or slow. Within one life it never jumps. */
final class DriftingClock {
    private double since;
    private double told;
    private double gains;

    /** Right at first; {@code now} is the true time, as it is everywhere here. */
    DriftingClock(double now) {
        set(now, 0);
    }

    double at(double now) {
        return told + (now - since) * (1 + gains);
    }

    /** The true time at which this clock will tell that, as it goes now. */
    double when(double own) {
        return since + (own - told) / (1 + gains);
    }

    /** From now on, so many seconds ahead of the true time. */
    void set(double now, double ahead) {
        since = now;
        told = now + ahead;
    }

    /** From now on it gains so many seconds a second. */
    void gains(double now, double seconds) {
        told = at(now);
        since = now;
        gains = seconds;
    }
}
