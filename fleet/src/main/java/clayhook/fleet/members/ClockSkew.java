package clayhook.fleet.members;

/**
 * Estimates how far another member's clock is ahead of this router's, as an interval that contains the true offset.
 *
 * <p>The four timestamps of one ping bound the offset by half the round trip to either side, however asymmetric the
 * path is (RFC 5905, section 8). Successive intervals are widened by the possible drift and intersected. Not
 * thread-safe.
 */
final class ClockSkew {
    /**
     * Seconds a second by which two clocks may drift apart; a process slews its clock towards the wall clock by at most
     * 1 in 200.
     */
    private static final double MAX_DRIFT_RATE = 0.01;
    /** Acks that took longer give bounds too wide to be useful. */
    private static final double MAX_ROUND_TRIP_SECONDS = 10;

    private static final double CLOCK_RESOLUTION_SECONDS = 1e-4;

    private double offset = Double.NaN;
    private double errorBound;
    private double measuredAt;

    /**
     * Adds the timestamps of one ping and its ack.
     *
     * @param sentAt when the ping was sent, on this router's clock
     * @param receivedAt when the ping arrived, on the member's clock
     * @param now when the ack arrived, on this router's clock
     */
    void addMeasurement(double sentAt, double receivedAt, double now) {
        double roundTrip = now - sentAt;
        boolean usable = roundTrip >= 0 && roundTrip <= MAX_ROUND_TRIP_SECONDS && !Double.isInfinite(receivedAt);
        if (!usable) {
            return;
        }
        double middle = receivedAt - (sentAt + now) / 2;
        double half = roundTrip / 2 + CLOCK_RESOLUTION_SECONDS;
        double oldError = errorBound(now);
        double low = Math.max(middle - half, offset - oldError);
        double high = Math.min(middle + half, offset + oldError);
        // The intervals are disjoint when one of the clocks was set; without an earlier measurement the comparison with
        // NaN fails.
        boolean overlaps = low <= high;
        offset = overlaps ? (low + high) / 2 : middle;
        errorBound = overlaps ? (high - low) / 2 : half;
        measuredAt = now;
    }

    /**
     * Returns the estimated offset in seconds, positive when the member's clock is ahead; NaN before the first
     * measurement.
     */
    double offset() {
        return offset;
    }

    /** Returns by how many seconds {@link #offset()} may be wrong at that time. */
    double errorBound(double now) {
        return errorBound + MAX_DRIFT_RATE * Math.max(0, now - measuredAt);
    }
}
