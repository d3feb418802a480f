package clayhook.discovery;

import java.util.random.RandomGenerator;

/**
 * When to look whether the watch still tells all: pure. A watch that has fallen silent looks like one that has nothing
 * to tell, and what it misses counts as told after six seconds; a call beside it, which does not wait, finds out.
 */
final class Checks {
    /**
     * Seconds between a good answer and the next check: two of them, each with its turn, fit into what may be missed.
     */
    private static final double LEAST = 2;
    /** Above the time of a watch, which asks anew by itself: then hardly any check comes between. */
    private static final double MOST = 12;
    /** A check that was cut off or stayed silent is made again after this, twice as long each time; and at the most. */
    private static final double AGAIN = 0.3, AGAIN_MOST = 1.2;
    /** Chance adds up to this part. Guards against all routers asking together after each change. */
    private static final double SPREAD = 0.2;
    /** Seconds for an answer: most of the turn that a crowded service grants before it turns calls away. */
    private static final double CROWDED = 1.4;
    /** Many routers leave room for the calls that open watches: fast when one was turned away, slowly back. */
    private static final double TURNED_AWAY = 3, SLOWER = 1.5, FASTER = 0.9;
    /** Of the best answer: longer, and the service has a line of calls. */
    private static final double QUICK = 2;

    private final RandomGenerator random;
    private double every = LEAST;
    private double again = AGAIN;
    private double best = Double.POSITIVE_INFINITY;

    Checks(RandomGenerator random) {
        this.random = random;
    }

    /** Seconds from a good answer to the next check. */
    double next() {
        return spread(every);
    }

    /** The same after a check that got no answer. */
    double again() {
        double now = again;
        again = Math.min(AGAIN_MOST, 2 * again);
        return spread(now);
    }

    /** A check was answered after so many seconds. */
    void answered(double took) {
        again = AGAIN;
        best = Math.min(best, took);
        double factor = took <= QUICK * best ? FASTER : took > CROWDED ? SLOWER : 1;
        every = Math.max(LEAST + took, Math.min(MOST, every * factor));
    }

    /** The service turned a call away. */
    void turnedAway() {
        every = Math.min(MOST, every * TURNED_AWAY);
    }

    private double spread(double seconds) {
        return seconds * (1 + SPREAD * random.nextDouble());
    }
}
