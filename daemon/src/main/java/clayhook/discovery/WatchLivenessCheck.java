package clayhook.discovery;

import java.util.random.RandomGenerator;

/**
 * When to look whether the watch still tells all: pure. A watch that has fallen silent looks like one that has nothing
 * to tell, and what it misses counts as told after six seconds; a call beside it, which does not wait, finds out.
 */
final class WatchLivenessCheck {
    /**
     * Seconds between a good answer and the next check: two of them, each with its turn, fit into what may be missed.
     */
    private static final double MIN_INTERVAL_SECONDS = 2;
    /** Above the time of a watch, which asks anew by itself: then hardly any check comes between. */
    private static final double MAX_INTERVAL_SECONDS = 12;
    /** A check that was cut off or stayed silent is made again after this, twice as long each time; and at the most. */
    private static final double MIN_RETRY_SECONDS = 0.3, MAX_RETRY_SECONDS = 1.2;
    /** Chance adds up to this part. Guards against all routers asking together after each change. */
    private static final double JITTER_FRACTION = 0.2;
    /** Seconds for an answer: most of the turn that a crowded service grants before it turns calls away. */
    private static final double SLOW_ANSWER_SECONDS = 1.4;
    /** Many routers leave room for the calls that open watches: fast when one was turned away, slowly back. */
    private static final double REJECTED_FACTOR = 3, SLOW_ANSWER_FACTOR = 1.5, FAST_ANSWER_FACTOR = 0.9;
    /** Of the best answer: longer, and the service has a line of calls. */
    private static final double FAST_ANSWER_MULTIPLE = 2;

    private final RandomGenerator random;
    private double intervalSeconds = MIN_INTERVAL_SECONDS;
    private double retrySeconds = MIN_RETRY_SECONDS;
    private double bestAnswerSeconds = Double.POSITIVE_INFINITY;

    WatchLivenessCheck(RandomGenerator random) {
        this.random = random;
    }

    /** Seconds from a good answer to the next check. */
    double nextIntervalSeconds() {
        return withJitter(intervalSeconds);
    }

    /** The same after a check that got no answer. */
    double nextRetrySeconds() {
        double now = retrySeconds;
        retrySeconds = Math.min(MAX_RETRY_SECONDS, 2 * retrySeconds);
        return withJitter(now);
    }

    /** A check was answered after so many seconds. */
    void onAnswered(double took) {
        retrySeconds = MIN_RETRY_SECONDS;
        bestAnswerSeconds = Math.min(bestAnswerSeconds, took);
        double factor = took <= FAST_ANSWER_MULTIPLE * bestAnswerSeconds
                ? FAST_ANSWER_FACTOR
                : took > SLOW_ANSWER_SECONDS ? SLOW_ANSWER_FACTOR : 1;
        intervalSeconds =
                Math.max(MIN_INTERVAL_SECONDS + took, Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * factor));
    }

    /** The service turned a call away. */
    void onRejected() {
        intervalSeconds = Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * REJECTED_FACTOR);
    }

    private double withJitter(double seconds) {
        return seconds * (1 + JITTER_FRACTION * random.nextDouble());
    }
}
