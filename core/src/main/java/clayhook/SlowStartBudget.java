package clayhook;

import static clayhook.NodeState.NEVER;

/**
 * The work that one router may send to one node in slow start: a token bucket with at most one token, which expires.
 * The budget grows at the router's part of what the node can take. While it is not negative there is a token for one
 * request, whose work is then subtracted.
 *
 * <p>A token that is not used expires, as every router may hold one. All routers together may spend in one overload
 * window what becomes available in it and what is left from before, which is the sum of their rates times the window
 * and the lifetime of a token. With the safety factor on the rates this stays within what the node can take, for any
 * number of routers, if the lifetime is at most {@code window * (1 / SAFETY_FACTOR - 1)}.
 *
 * <p>Work is in seconds of service time, times are clock times in seconds. Pure; confined to the event loop.
 */
final class SlowStartBudget {
    /** The part of the work which the node tolerates that all routers together plan to send. */
    private static final double SAFETY_FACTOR = 0.75;

    private final double tokenLifetimeSeconds;
    private double availableWork;
    private double refilledAt = NEVER;
    private double workRate;

    /**
     * Creates the budget of a node that has not started yet.
     *
     * @param overloadWindowSeconds the time over which overload is measured; tokens do not expire where it is 0
     */
    SlowStartBudget(double overloadWindowSeconds) {
        tokenLifetimeSeconds =
                overloadWindowSeconds > 0 ? overloadWindowSeconds * (1 / SAFETY_FACTOR - 1) : Double.POSITIVE_INFINITY;
    }

    /** Whether the node has started since the last refill, so that the budget belongs to an earlier process. */
    boolean isOlderThan(double startedAt) {
        return refilledAt < startedAt;
    }

    /** Begins anew for a process that has started: without a token, and with a debt to be worked off first. */
    void restart(double debt, double now) {
        availableWork = -debt;
        refilledAt = now;
        workRate = 0;
    }

    /**
     * Lets the budget grow by what the node can take since the last refill, and drops a token that has expired.
     *
     * @param toleratedWorkRate the work per second of this router that the node tolerates
     * @param requestWork the work of the request that asks
     */
    void refill(double toleratedWorkRate, double requestWork, double now) {
        workRate = toleratedWorkRate * SAFETY_FACTOR;
        availableWork += workRate * (now - refilledAt);
        refilledAt = now;
        double workInLifetime = workRate * tokenLifetimeSeconds;
        if (workInLifetime >= requestWork) {
            availableWork = Math.min(0, availableWork); // the next token is there before this one expires
        } else if (availableWork > workInLifetime) {
            double expiredTokens = Math.ceil((availableWork - workInLifetime) / requestWork);
            availableWork -= expiredTokens * requestWork;
        }
    }

    /** Whether a request may be sent now; to be asked right after a refill. */
    boolean hasToken() {
        return availableWork >= 0;
    }

    /** Subtracts the work of a request that is sent, and returns when its token expires. */
    double spend(double requestWork) {
        double unusedSeconds = workRate > 0 ? availableWork / workRate : 0;
        availableWork -= requestWork;
        return refilledAt + tokenLifetimeSeconds - unusedSeconds;
    }
}
