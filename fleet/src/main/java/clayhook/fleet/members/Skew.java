package clayhook.fleet.members;

/**
 * By how much another clock is ahead of this one: an interval that holds the truth. An exchange of four times gives one
 * of half its round trip to either side, however unlike the two ways were (RFC 5905, section 8); intervals are cut with
 * each other.
 */
final class Skew {
    /**
     * Seconds a second by which two clocks may drift apart: a process's clock is led to the wall's by at most one in
     * 200.
     */
    private static final double DRIFT = 0.01;
    /** Seconds; answers that took longer tell nothing worth having. */
    private static final double LONGEST_TRIP = 10;
    /** Seconds; reading a clock is no more exact. */
    private static final double GRAIN = 1e-4;

    private double ahead = Double.NaN;
    private double error;
    private double at;

    /** @param there when the probe was there on its clock; {@code sent} and {@code now} on ours */
    void measured(double sent, double there, double now) {
        double trip = now - sent;
        if (!(trip >= 0 && trip <= LONGEST_TRIP) || Double.isInfinite(there)) {
            return;
        }
        double middle = there - (sent + now) / 2;
        double half = trip / 2 + GRAIN;
        double before = error(now);
        double low = Math.max(middle - half, ahead - before);
        double high = Math.min(middle + half, ahead + before);
        boolean fits = low <= high; // false for the first one, and when one of the clocks was set
        ahead = fits ? (low + high) / 2 : middle;
        error = fits ? (high - low) / 2 : half;
        at = now;
    }

    /** Seconds; NaN while nothing was measured. */
    double ahead() {
        return ahead;
    }

    /** Seconds by which {@link #ahead()} may be wrong. */
    double error(double now) {
        return error + DRIFT * Math.max(0, now - at);
    }
}
