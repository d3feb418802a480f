package clayhook;

/**
 * Decides whether a node may get a new attempt at all, as far as the endpoint list says and can be relied on. Asked
 * when a node is chosen and again before the first byte of an attempt is written.
 *
 * <p>While the lease on the list has lapsed, a node may be draining without this router knowing. Then the node has to
 * show by itself that it is not: it gets attempts only for some time after it passed a health check, and none once it
 * has rejected anything since. A draining node fails health checks at once; it may go on to execute attempts for a
 * while, so that an answered attempt proves less, and counts only where health checks are not allowed.
 *
 * <p>Pure: no clock. Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class AttemptGate {
    /**
     * Without a valid list a node gets attempts for so long after the check was sent that it passed: two thirds of the
     * time after which a change counts as notified. The rest is for nodes that are slow to notice that they drain.
     */
    private static final double CONFIRMATION_VALIDITY_SECONDS = 4;

    private final EndpointListLease lease;
    private final boolean healthChecksAllowed;

    AttemptGate(EndpointListLease lease, boolean healthChecksAllowed) {
        this.lease = lease;
        this.healthChecksAllowed = healthChecksAllowed;
    }

    /** Why the node may not get an attempt now, or {@link AttemptRefusal#NONE}. */
    AttemptRefusal refusalBy(NodeState node, double now) {
        if (node.isDrainingOrGone()) {
            return AttemptRefusal.NODE_DRAINING;
        }
        return reliesOnList(now) || isConfirmed(node, now) ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED;
    }

    private boolean isConfirmed(NodeState node, double now) {
        double since = now - CONFIRMATION_VALIDITY_SECONDS;
        return healthChecksAllowed ? node.hasPassedCheckSince(since) : node.hasAnsweredSince(since);
    }

    /** Whether the endpoint list alone says which nodes may get attempts; otherwise each node has to confirm it. */
    boolean reliesOnList(double now) {
        return lease.isValid(now);
    }

    boolean admits(NodeState node, double now) {
        return refusalBy(node, now) == AttemptRefusal.NONE;
    }
}
