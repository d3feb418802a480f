package clayhook.fleet.members;

/**
 * Estimates the offset of another member's clock from this router's clock, as an interval that contains the true
 * offset.
 *
 * <p>The timestamps of one ping and its ack bound the offset to half the round-trip time in either direction, however
 * asymmetric the network path is (RFC 5905, section 8). The interval of earlier measurements is widened by the possible
 * clock drift and intersected with that of each new measurement. Not thread-safe.
 */
final class ClockSkew {
    /**
     * Maximum drift between two clocks, in seconds per second. A process slews its clock towards the wall clock by at
     * most 1 in 200.
     */
    private static final double MAX_DRIFT_RATE = 0.01;
    /** Maximum usable round-trip time; acks with a longer one give bounds that are too wide. */
    private static final double MAX_ROUND_TRIP_SECONDS = 10;

    private static final double CLOCK_RESOLUTION_SECONDS = 1e-4;

    private double offset = Double.NaN;
    private double errorBound;
    private double measuredAt;

    /**
     * Adds a measurement: the timestamps of one ping and its ack, all in seconds since 1970. Ignores implausible
     * timestamps and round-trip times that are too long.
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
        double midpoint = receivedAt - (sentAt + now) / 2;
        double halfWidth = roundTrip / 2 + CLOCK_RESOLUTION_SECONDS;
        double previousError = errorBound(now);
        double low = Math.max(midpoint - halfWidth, offset - previousError);
        double high = Math.min(midpoint + halfWidth, offset + previousError);
        // The intervals are disjoint if one of the clocks was set. Before the first measurement, the comparison with
        // NaN is false.
        boolean overlaps = low <= high;
        offset = overlaps ? (low + high) / 2 : midpoint;
        errorBound = overlaps ? (high - low) / 2 : halfWidth;
        measuredAt = now;
    }

    /**
     * Returns the estimated offset in seconds, positive if the member's clock is ahead; NaN before the first
     * measurement.
     */
    double offset() {
        return offset;
    }

    /** Returns the maximum error of {@link #offset()} at the time {@code now}, in seconds. */
    double errorBound(double now) {
        return errorBound + MAX_DRIFT_RATE * Math.max(0, now - measuredAt);
    }
}
