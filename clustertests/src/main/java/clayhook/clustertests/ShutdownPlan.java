package clayhook.clustertests;

import java.util.List;
import java.util.Random;

/**
 * The events of a shutdown in addition to SIGTERM.
 *
 * @param clientsOfEachKind number of clients of each kind at each router
 * @param linkDelaySeconds delay between clients and routers in each direction; 0 for no relay between them
 * @param signals signals that are sent to each router, in the order of their times
 * @param hungNodes numbers of the nodes that hang during the whole shutdown
 */
record ShutdownPlan(
        int clientsOfEachKind, double linkDelaySeconds, List<TimedSignal> signals, List<Integer> hungNodes) {
    /**
     * A signal that is sent to routers.
     *
     * @param after seconds after SIGTERM at which it is sent; negative for a signal before SIGTERM
     * @param name name of the signal, as the command {@code kill} accepts it
     */
    record TimedSignal(double after, String name) {}

    private static final double MAX_LINK_DELAY_SECONDS = 0.1;
    /** Longest time in seconds between SIGHUP and SIGTERM, in either order. */
    private static final double RELOAD_WITHIN_SECONDS = 0.1;

    private static final double MIN_STALL_SECONDS = 0.1;
    private static final double MAX_STALL_SECONDS = 1;
    /** Longest stall of a router in seconds during which all rules still apply, by the operators' rules. */
    private static final double ALLOWED_STALL_SECONDS = 0.15;

    private static final int SIGNAL_SERIES_COUNT = 6;

    /** Returns a plan without additional events. */
    static ShutdownPlan plain(int clientsOfEachKind) {
        return new ShutdownPlan(clientsOfEachKind, 0, List.of(), List.of());
    }

    /**
     * Returns a plan with random signals, link delay and hung nodes.
     *
     * @param killSeconds seconds from SIGTERM to the earliest SIGKILL
     */
    static ShutdownPlan random(int clientsOfEachKind, double killSeconds, int nodes, Random random) {
        double delay = random.nextBoolean() ? 0 : MAX_LINK_DELAY_SECONDS * random.nextDouble();
        List<Integer> hung = random.nextInt(3) > 0
                ? List.of()
                : random.ints(1 + random.nextInt(nodes / 2), 1, nodes)
                        .distinct()
                        .boxed()
                        .toList();
        return new ShutdownPlan(clientsOfEachKind, delay, randomSignals(killSeconds, random), hung);
    }

    private static List<TimedSignal> randomSignals(double killSeconds, Random random) {
        double at = killSeconds * random.nextDouble();
        return switch (random.nextInt(SIGNAL_SERIES_COUNT)) {
            case 0 -> List.of(new TimedSignal(at, "TERM"));
            case 1 -> List.of(new TimedSignal(RELOAD_WITHIN_SECONDS * (2 * random.nextDouble() - 1), "HUP"));
            case 2 -> {
                double seconds = MIN_STALL_SECONDS + (MAX_STALL_SECONDS - MIN_STALL_SECONDS) * random.nextDouble();
                yield List.of(new TimedSignal(at, "STOP"), new TimedSignal(at + seconds, "CONT"));
            }
            case 3 -> List.of(new TimedSignal(at, "KILL"));
            default -> List.of();
        };
    }

    /**
     * Seconds for which routers are stalled, or 0 if that is within what the rules allow for; answers and the ends of
     * processes may be late by this time.
     */
    double excessStallSeconds() {
        double stalled = 0;
        double stoppedAt = 0;
        for (TimedSignal signal : signals) {
            if (signal.name().equals("STOP")) {
                stoppedAt = signal.after();
            } else if (signal.name().equals("CONT")) {
                stalled += signal.after() - stoppedAt;
            }
        }
        return stalled > ALLOWED_STALL_SECONDS ? stalled : 0;
    }
}
