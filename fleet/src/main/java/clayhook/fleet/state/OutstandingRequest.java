package clayhook.fleet.state;

import java.util.List;

/** An anti-entropy request that has not been answered yet, with its retry timer. */
final class OutstandingRequest {
    /** Maximum number of times that the retry timeout doubles; it doubles with each attempt. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final SyncStep step;
    private final AntiEntropyRequest message;
    private final List<String> fingerprintedKeys;
    private int attempts;
    private double retryAt;

    /** @param fingerprintedKeys keys of the entries whose fingerprints the request contains, in the same order */
    OutstandingRequest(SyncStep step, AntiEntropyRequest message, List<String> fingerprintedKeys) {
        this.step = step;
        this.message = message;
        this.fingerprintedKeys = fingerprintedKeys;
    }

    SyncStep step() {
        return step;
    }

    AntiEntropyRequest message() {
        return message;
    }

    List<String> fingerprintedKeys() {
        return fingerprintedKeys;
    }

    boolean isRetryDue(double now) {
        return retryAt <= now;
    }

    /**
     * Starts the timer of the next retry with exponential backoff; the first timeout is {@code retryTimeout} seconds.
     */
    void onSent(double retryTimeout, double now) {
        retryAt = now + retryTimeout * (1 << Math.min(attempts, MAX_BACKOFF_DOUBLINGS));
        attempts++;
    }
}
