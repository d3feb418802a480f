package clayhook.fleet.members;

/**
 * By how much another clock is ahead of this one: an interval that holds the truth. An exchange of four times gives one
 * of half its round trip to either side, however unlike the two ways were (RFC 5905, section 8); intervals are cut with
 * each other.
 */
final class ClockSkew {
    /**
     * Seconds a second by which two clocks may drift apart: a process's clock is led to the wall's by at most one in
     * 200.
     */
    private static final double MAX_DRIFT_RATE = 0.01;
    /** Seconds; answers that took longer tell nothing worth having. */
    private static final double MAX_ROUND_TRIP_SECONDS = 10;
    /** Seconds; reading a clock is no more exact. */
    private static final double CLOCK_RESOLUTION_SECONDS = 1e-4;

    private double offset = Double.NaN;
    private double errorBound;
    private double measuredAt;

    /** @param there when the probe was there on its clock; {@code sent} and {@code now} on ours */
    void addMeasurement(double sent, double there, double now) {
        double trip = now - sent;
        if (!(trip >= 0 && trip <= MAX_ROUND_TRIP_SECONDS) || Double.isInfinite(there)) {
            return;
        }
        double middle = there - (sent + now) / 2;
        double half = trip / 2 + CLOCK_RESOLUTION_SECONDS;
        double before = errorBound(now);
        double low = Math.max(middle - half, offset - before);
        double high = Math.min(middle + half, offset + before);
        boolean fits = low <= high; // false for the first one, and when one of the clocks was set
        offset = fits ? (low + high) / 2 : middle;
        errorBound = fits ? (high - low) / 2 : half;
        measuredAt = now;
    }

    /** Seconds; NaN while nothing was measured. */
    double offset() {
        return offset;
    }

    /** Seconds by which {@link #offset()} may be wrong. */
    double errorBound(double now) {
        return errorBound + MAX_DRIFT_RATE * Math.max(0, now - measuredAt);
    }
}
