package clayhook.fleet.state;

/**
 * A limit on bandwidth. Tokens are bytes; they accrue at a fixed rate up to a small burst. The bucket may go below
 * zero, and then yields nothing until the debt is paid off. Not thread-safe.
 */
final class TokenBucket {
    /** Tokens of that time can be stored: a few ticks, so that a late tick costs no bandwidth. */
    private static final double BURST_SECONDS = 0.1;

    private final double bytesPerSecond;
    private double tokens;
    private double lastRefillAt;

    TokenBucket(double bytesPerSecond, double now) {
        this.bytesPerSecond = bytesPerSecond;
        tokens = bytesPerSecond * BURST_SECONDS;
        lastRefillAt = now;
    }

    /** Adds the tokens that have accrued since the last call; returns whether there are any. */
    boolean hasTokens(double now) {
        tokens = Math.min(bytesPerSecond * BURST_SECONDS, tokens + bytesPerSecond * Math.max(0, now - lastRefillAt));
        lastRefillAt = Math.max(lastRefillAt, now);
        return tokens > 0;
    }

    void consume(double bytes) {
        tokens -= bytes;
    }
}
