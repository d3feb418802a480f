package clayhook;

import java.util.random.RandomGenerator;

/**
 * Spaces the polls of a watch on the endpoint list while changes follow each other closely, as during a release. The
 * service handles the calls of all routers in turn; a fleet that polls again after each of several changes a second
 * keeps its queue full, so that a router without a list gets none. Several changes in one answer cost the service
 * little more than one.
 *
 * <p>Pure: no clock. Not thread-safe: confined to the event loop.
 */
public final class WatchPollPacing {
    /** Between two answers at least: with the two seconds that the service may queue a call well under six. */
    private static final double MIN_INTERVAL_SECONDS = 2.5;

    /** Random part added to each delay, so that routers do not all poll together. */
    private static final double JITTER_FRACTION = 0.2;

    private final RandomGenerator random;
    private double lastAnswerAt = Double.NEGATIVE_INFINITY;

    /** {@code random} spreads the polls of many routers. */
    public WatchPollPacing(RandomGenerator random) {
        this.random = random;
    }

    /** An answer with a list came; returns the seconds until the next poll, 0 after a quiet time. */
    public double secondsUntilNextPoll(double now) {
        double missing = MIN_INTERVAL_SECONDS - (now - lastAnswerAt);
        lastAnswerAt = now;
        return missing <= 0 ? 0 : missing * (1 + JITTER_FRACTION * random.nextDouble());
    }
}
