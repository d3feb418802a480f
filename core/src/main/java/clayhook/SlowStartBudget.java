package clayhook;

import static clayhook.NodeState.NEVER;

/**
 * The budget of work that one router may send to one node in slow start: a token bucket that holds at most one token,
 * which expires. The budget grows at the router's share of the work rate that the node tolerates. While it is not
 * negative, a token for one request is available; sending the request subtracts its work.
 *
 * <p>Unused tokens expire because every router may hold one. In one overload window, all routers together may spend the
 * work that becomes available during the window and the work left from before. This is at most the sum of their rates
 * times the sum of the window and the token lifetime. With the safety factor on the rates it stays within the tolerated
 * work for any number of routers if the lifetime is at most {@code window * (1 / SAFETY_FACTOR - 1)}.
 *
 * <p>Work is in seconds of service time; times are clock times in seconds. Performs no I/O and reads no clock. Not
 * thread-safe: confined to the event loop.
 */
final class SlowStartBudget {
    /** The fraction of the tolerated work that all routers together plan to send. */
    private static final double SAFETY_FACTOR = 0.75;

    private final double tokenLifetimeSeconds;
    private double availableWork;
    private double refilledAt = NEVER;
    private double workRate;

    /**
     * Creates the budget of a node whose process has not started yet.
     *
     * @param overloadWindowSeconds the window in which overload is measured; 0 for tokens that never expire
     */
    SlowStartBudget(double overloadWindowSeconds) {
        tokenLifetimeSeconds =
                overloadWindowSeconds > 0 ? overloadWindowSeconds * (1 / SAFETY_FACTOR - 1) : Double.POSITIVE_INFINITY;
    }

    /** Whether the node's process started after the last refill, so that the budget belongs to an earlier process. */
    boolean isOlderThan(double startedAt) {
        return refilledAt < startedAt;
    }

    /** Resets the budget for a newly started process: without a token, and with a debt that must be refilled first. */
    void restart(double debt, double now) {
        availableWork = -debt;
        refilledAt = now;
        workRate = 0;
    }

    /**
     * Adds the work that the node has tolerated since the last refill, and removes an expired token.
     *
     * @param toleratedWorkRate the work per second that the node tolerates from this router
     * @param requestWork the work of the request that needs a token
     */
    void refill(double toleratedWorkRate, double requestWork, double now) {
        workRate = toleratedWorkRate * SAFETY_FACTOR;
        availableWork += workRate * (now - refilledAt);
        refilledAt = now;
        double workInLifetime = workRate * tokenLifetimeSeconds;
        if (workInLifetime >= requestWork) {
            availableWork = Math.min(0, availableWork); // the next token is available before this one expires
        } else if (availableWork > workInLifetime) {
            double expiredTokens = Math.ceil((availableWork - workInLifetime) / requestWork);
            availableWork -= expiredTokens * requestWork;
        }
    }

    /** Whether a token is available as of the last refill, so that a request may be sent. */
    boolean hasToken() {
        return availableWork >= 0;
    }

    /** Spends the token on a request: subtracts the request's work, and returns when the token expires. */
    double spend(double requestWork) {
        double unusedSeconds = workRate > 0 ? availableWork / workRate : 0;
        availableWork -= requestWork;
        return refilledAt + tokenLifetimeSeconds - unusedSeconds;
    }
}
