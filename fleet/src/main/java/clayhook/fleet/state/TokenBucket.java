package clayhook.fleet.state;

/**
 * A bandwidth limit. Tokens are bytes; they accrue at a fixed rate up to a small burst. The number of tokens may become
 * negative; the bucket then has no tokens until enough have accrued. Not thread-safe.
 */
final class TokenBucket {
    /**
     * Time in seconds in which the maximum number of tokens accrues. It covers a few ticks, so that a late tick does
     * not waste bandwidth.
     */
    private static final double BURST_SECONDS = 0.1;

    private final double bytesPerSecond;
    private double tokens;
    private double lastRefillAt;

    TokenBucket(double bytesPerSecond, double now) {
        this.bytesPerSecond = bytesPerSecond;
        tokens = bytesPerSecond * BURST_SECONDS;
        lastRefillAt = now;
    }

    /** Adds the tokens that have accrued since the last call. Returns whether tokens are available. */
    boolean hasTokens(double now) {
        tokens = Math.min(bytesPerSecond * BURST_SECONDS, tokens + bytesPerSecond * Math.max(0, now - lastRefillAt));
        lastRefillAt = Math.max(lastRefillAt, now);
        return tokens > 0;
    }

    void consume(double bytes) {
        tokens -= bytes;
    }
}
