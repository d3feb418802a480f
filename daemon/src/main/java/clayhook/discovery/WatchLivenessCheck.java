package clayhook.discovery;

import java.util.random.RandomGenerator;

/**
 * When to check whether the watch still reports everything; no I/O and no clock. A watch that has fallen silent looks
 * like one that has nothing to report, and a change counts as missed after six seconds; a poll beside it, which does
 * not wait, finds out. Event loop only.
 */
final class WatchLivenessCheck {
    /** Between a good answer and the next check: a check and its retry, each queued, fit into what may be missed. */
    private static final double MIN_INTERVAL_SECONDS = 2;

    /** Above the time of a watch, which polls anew by itself: then hardly any check comes between. */
    private static final double MAX_INTERVAL_SECONDS = 12;

    /** Before the first retry of a check that was not answered. */
    private static final double MIN_RETRY_SECONDS = 0.3;

    /** Before any further retry at most. */
    private static final double MAX_RETRY_SECONDS = 1.2;

    /** With jitter and the time in a queue, less than after which a change counts as notified. */
    private static final double RECOVERY_WAIT_SECONDS = 3;

    /** So many rejections in a row are an outage; a crowded service rejects a few calls without one. */
    private static final int OUTAGE_REJECTIONS = 2;

    private static final double RETRY_BACKOFF_FACTOR = 2;

    /** Random part added to each delay, so that routers do not all poll together after each change. */
    private static final double JITTER_FRACTION = 0.2;

    /** Most of the time that a crowded service queues a call before it rejects it. */
    private static final double SLOW_ANSWER_SECONDS = 1.4;

    /** Lengthens the interval after a rejection: many routers leave capacity for the polls that open watches. */
    private static final double REJECTED_FACTOR = 3;

    /** Lengthens the interval after a slow answer. */
    private static final double SLOW_ANSWER_FACTOR = 1.5;

    /** Shortens the interval after a fast answer. */
    private static final double FAST_ANSWER_FACTOR = 0.7;

    /** Answers that took at most this multiple of the fastest one are fast; longer, and the service queues calls. */
    private static final double FAST_ANSWER_MULTIPLE = 2;

    /** A call that the service rejects may have waited that long in its queue. */
    private static final double REJECTED_CALL_SECONDS = 2;

    /** By which a slow call counts less with each faster one after it. */
    private static final double CALL_DECAY_FACTOR = 0.5;

    private final RandomGenerator random;
    private double intervalSeconds = MIN_INTERVAL_SECONDS;
    private double retrySeconds = MIN_RETRY_SECONDS;
    private double bestAnswerSeconds = Double.POSITIVE_INFINITY;
    /** Infinite before the first check has ended. */
    private double callSeconds = Double.POSITIVE_INFINITY;

    WatchLivenessCheck(RandomGenerator random) {
        this.random = random;
    }

    /** Seconds from a good answer to the next check, with jitter. */
    double nextIntervalSeconds() {
        return withJitter(intervalSeconds);
    }

    /**
     * Seconds that a watch waits at most, with jitter. After several rejections in a row the list is out of date, and a
     * watch that is opened then is to confirm it soon: its answer costs a crowded service less than a check beside it.
     *
     * @param rejectedWatches polls of the watch that were rejected since anything was answered
     */
    double nextWatchWaitSeconds(int rejectedWatches) {
        return rejectedWatches < OUTAGE_REJECTIONS ? Double.POSITIVE_INFINITY : withJitter(RECOVERY_WAIT_SECONDS);
    }

    /** Seconds from the failure of a check to its retry, with exponential backoff and jitter. */
    double nextRetrySeconds() {
        double delay = retrySeconds;
        retrySeconds = Math.min(MAX_RETRY_SECONDS, RETRY_BACKOFF_FACTOR * retrySeconds);
        return withJitter(delay);
    }

    /** A check was answered. */
    void onAnswered(double elapsedSeconds) {
        retrySeconds = MIN_RETRY_SECONDS;
        boolean first = callSeconds == Double.POSITIVE_INFINITY;
        callSeconds = first ? elapsedSeconds : Math.max(elapsedSeconds, CALL_DECAY_FACTOR * callSeconds);
        bestAnswerSeconds = Math.min(bestAnswerSeconds, elapsedSeconds);
        double scaled = Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * intervalFactor(elapsedSeconds));
        intervalSeconds = Math.max(MIN_INTERVAL_SECONDS + elapsedSeconds, scaled);
    }

    private double intervalFactor(double elapsedSeconds) {
        if (elapsedSeconds <= FAST_ANSWER_MULTIPLE * bestAnswerSeconds) {
            return FAST_ANSWER_FACTOR;
        }
        return elapsedSeconds > SLOW_ANSWER_SECONDS ? SLOW_ANSWER_FACTOR : 1;
    }

    /** How long the service takes for a call, as the checks show; infinite where none has been answered yet. */
    double callSeconds() {
        return callSeconds;
    }

    /** The service rejected a poll. */
    void onRejected() {
        callSeconds = Math.max(callSeconds, REJECTED_CALL_SECONDS);
        intervalSeconds = Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * REJECTED_FACTOR);
    }

    private double withJitter(double seconds) {
        return seconds * (1 + JITTER_FRACTION * random.nextDouble());
    }
}
