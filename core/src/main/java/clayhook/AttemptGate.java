package clayhook;

/**
 * Admits or refuses new attempts on a node according to the endpoint list and the lease on it. The policy consults the
 * gate when it chooses a node and again before the first byte of an attempt is written.
 *
 * <p>After the lease has expired, a node may be draining without this router being notified. A node then gets attempts
 * only for a limited time after it passed a health check, and none if it has rejected anything since that check was
 * sent. A draining node fails health checks at once but may execute attempts for a while, so an answered attempt is
 * weaker evidence and counts only where health checks are not allowed.
 *
 * <p>A node that has answered a health check that it drains gets no attempts, however valid the lease is, until it
 * passes a later one or a new process has started.
 *
 * <p>Reads no clock; all times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class AttemptGate {
    private final EndpointListLease lease;
    private final boolean healthChecksAllowed;

    AttemptGate(EndpointListLease lease, boolean healthChecksAllowed) {
        this.lease = lease;
        this.healthChecksAllowed = healthChecksAllowed;
    }

    /**
     * Whether the node itself has reported that it drains, which the list may show later. Only a health check can show
     * the end of that; where none are allowed, a report is not relied on.
     */
    boolean reportsDraining(NodeState node) {
        return healthChecksAllowed && node.reportsDraining();
    }

    /** Returns the reason why the node may not get an attempt now, or {@link AttemptRefusal#NONE}. */
    AttemptRefusal refusalFor(NodeState node, double now) {
        if (node.isDrainingOrGone()) {
            return AttemptRefusal.NODE_DRAINING;
        }
        boolean listSuffices = isListValid(now) && !reportsDraining(node);
        return listSuffices || isConfirmed(node, now) ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED;
    }

    private boolean isConfirmed(NodeState node, double now) {
        double since = now - lease.confirmationSeconds();
        return healthChecksAllowed ? node.hasPassedCheckSince(since) : node.hasAnsweredSince(since);
    }

    /** Whether the lease on the endpoint list is valid; if not, each node needs a recent confirmation of its own. */
    boolean isListValid(double now) {
        return lease.isValid(now);
    }

    /** Whether the node may get an attempt now. */
    boolean admits(NodeState node, double now) {
        return refusalFor(node, now) == AttemptRefusal.NONE;
    }
}
