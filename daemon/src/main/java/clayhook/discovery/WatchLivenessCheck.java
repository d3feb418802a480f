package clayhook.discovery;

import java.util.random.RandomGenerator;

/**
 * Schedule of the liveness checks of a watch, without I/O or a clock of its own. A dead watch is indistinguishable from
 * one without changes, and a change counts as missed after six seconds; a check is a separate poll that does not wait
 * and therefore detects a dead watch. Confined to the event loop.
 */
final class WatchLivenessCheck {
    /**
     * Shortest time between a successful answer and the next check; a check and its retry, both queued by the service,
     * then fit into the time after which a change counts as missed.
     */
    private static final double MIN_INTERVAL_SECONDS = 2;

    /**
     * Longest time between a successful answer and the next check. Longer than a long poll, after which the watch polls
     * again by itself, so that hardly any check is sent in between.
     */
    private static final double MAX_INTERVAL_SECONDS = 12;

    /** Delay before the first retry of a failed check. */
    private static final double MIN_RETRY_SECONDS = 0.3;

    /** Longest delay before a retry of a failed check. */
    private static final double MAX_RETRY_SECONDS = 1.2;

    /**
     * Wait of a long poll after an outage. Including jitter and the time in the service's queue, it is shorter than the
     * time after which a change counts as notified.
     */
    private static final double RECOVERY_WAIT_SECONDS = 3;

    /** Consecutive rejections that count as an outage; an overloaded service rejects a few calls without one. */
    private static final int OUTAGE_REJECTIONS = 2;

    private static final double RETRY_BACKOFF_FACTOR = 2;

    /** Largest jitter as a fraction of the delay; keeps routers from polling all at once after each change. */
    private static final double JITTER_FRACTION = 0.2;

    /**
     * Time in seconds above which an answer is slow. It is most of the time for which an overloaded service queues a
     * call before rejecting it.
     */
    private static final double SLOW_ANSWER_SECONDS = 1.4;

    /**
     * Factor on the interval after a rejection, by which many routers together leave capacity for the polls that open
     * watches.
     */
    private static final double REJECTED_FACTOR = 3;

    /** Factor on the interval after a slow answer. */
    private static final double SLOW_ANSWER_FACTOR = 1.5;

    /** Factor on the interval after a fast answer. */
    private static final double FAST_ANSWER_FACTOR = 0.7;

    /** Answers within this multiple of the fastest one are fast; slower ones show that the service queues calls. */
    private static final double FAST_ANSWER_MULTIPLE = 2;

    /** Longest time that a call may have waited in the service's queue before it was rejected. */
    private static final double REJECTED_CALL_SECONDS = 2;

    /** Factor by which the recorded duration of a slow call decreases with each faster call after it. */
    private static final double CALL_DECAY_FACTOR = 0.5;

    private final RandomGenerator random;
    private double intervalSeconds = MIN_INTERVAL_SECONDS;
    private double retrySeconds = MIN_RETRY_SECONDS;
    private double fastestAnswerSeconds = Double.POSITIVE_INFINITY;
    /** Recent duration of a call to the service; infinite before the first check was answered. */
    private double callSeconds = Double.POSITIVE_INFINITY;

    WatchLivenessCheck(RandomGenerator random) {
        this.random = random;
    }

    /** Seconds from a successful answer to the next check, including jitter. */
    double nextIntervalSeconds() {
        return withJitter(intervalSeconds);
    }

    /**
     * Upper bound on the wait of the next long poll in seconds, including jitter. After several consecutive rejections
     * the list is out of date, so the next watch has to confirm it soon; its answer costs an overloaded service less
     * than an additional check.
     *
     * @param rejectedWatchPolls the number of polls of the watch that were rejected since the last list was received
     */
    double nextWatchWaitSeconds(int rejectedWatchPolls) {
        return rejectedWatchPolls < OUTAGE_REJECTIONS ? Double.POSITIVE_INFINITY : withJitter(RECOVERY_WAIT_SECONDS);
    }

    /** Seconds from the failure of a check to its retry: exponential backoff with jitter. */
    double nextRetrySeconds() {
        double delay = retrySeconds;
        retrySeconds = Math.min(MAX_RETRY_SECONDS, RETRY_BACKOFF_FACTOR * retrySeconds);
        return withJitter(delay);
    }

    /** Records the answer to a check and adapts the interval to its duration. */
    void onAnswered(double elapsedSeconds) {
        retrySeconds = MIN_RETRY_SECONDS;
        boolean first = callSeconds == Double.POSITIVE_INFINITY;
        callSeconds = first ? elapsedSeconds : Math.max(elapsedSeconds, CALL_DECAY_FACTOR * callSeconds);
        fastestAnswerSeconds = Math.min(fastestAnswerSeconds, elapsedSeconds);
        double scaled = Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * intervalFactor(elapsedSeconds));
        intervalSeconds = Math.max(MIN_INTERVAL_SECONDS + elapsedSeconds, scaled);
    }

    private double intervalFactor(double elapsedSeconds) {
        if (elapsedSeconds <= FAST_ANSWER_MULTIPLE * fastestAnswerSeconds) {
            return FAST_ANSWER_FACTOR;
        }
        return elapsedSeconds > SLOW_ANSWER_SECONDS ? SLOW_ANSWER_FACTOR : 1;
    }

    /** Recent duration of a service call in seconds, measured by the checks; infinite if none was answered yet. */
    double callSeconds() {
        return callSeconds;
    }

    /** Records a rejected poll and lengthens the interval. */
    void onRejected() {
        callSeconds = Math.max(callSeconds, REJECTED_CALL_SECONDS);
        intervalSeconds = Math.min(MAX_INTERVAL_SECONDS, intervalSeconds * REJECTED_FACTOR);
    }

    private double withJitter(double seconds) {
        return seconds * (1 + JITTER_FRACTION * random.nextDouble());
    }
}
