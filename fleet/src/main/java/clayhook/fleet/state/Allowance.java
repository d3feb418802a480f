package clayhook.fleet.state;

/**
 * Bytes that may be spent: they come in at a rate, are stored for a short while, and what was spent ahead is paid off.
 */
final class Allowance {
    /** Seconds; a few turns, so that a late turn costs nothing. */
    private static final double STORED = 0.1;

    private final double rate;
    private double left;
    private double at;

    Allowance(double rate, double now) {
        this.rate = rate;
        left = rate * STORED;
        at = now;
    }

    boolean open(double now) {
        left = Math.min(rate * STORED, left + rate * Math.max(0, now - at));
        at = Math.max(at, now);
        return left > 0;
    }

    void spend(double bytes) {
        left -= bytes;
    }
}
