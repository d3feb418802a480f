package clayhook.fleet.state;

/**
 * Bytes that may be spent: they come in at a rate, are stored for a short while, and what was spent ahead is paid off.
 */
final class TokenBucket {
    /** Seconds; a few turns, so that a late turn costs nothing. */
    private static final double BURST_SECONDS = 0.1;

    private final double bytesPerSecond;
    private double tokens;
    private double lastRefillAt;

    TokenBucket(double rate, double now) {
        this.bytesPerSecond = rate;
        tokens = rate * BURST_SECONDS;
        lastRefillAt = now;
    }

    boolean hasTokens(double now) {
        tokens = Math.min(bytesPerSecond * BURST_SECONDS, tokens + bytesPerSecond * Math.max(0, now - lastRefillAt));
        lastRefillAt = Math.max(lastRefillAt, now);
        return tokens > 0;
    }

    void consume(double bytes) {
        tokens -= bytes;
    }
}
