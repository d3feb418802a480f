package clayhook;

/**
 * Decides whether a node may get a new attempt at all, as far as the endpoint list says and can be relied on. Asked
 * when a node is chosen and again before the first byte of an attempt is written.
 *
 * <p>While the lease on the list has lapsed, a node may be draining without this router knowing. Draining nodes reject
 * attempts some time after the list says so; a node that was lately executing requests has therefore not been draining
 * for long, and goes on to get attempts for as long as that shows.
 *
 * <p>Pure: no clock. Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class AttemptGate {
    /**
     * Without a valid list a node gets attempts for so long after it was known to execute requests: two thirds of the
     * time after which a change counts as notified. The rest is for nodes that go on to execute while they drain.
     */
    private static final double EXECUTION_VALIDITY_SECONDS = 4;

    private final EndpointListLease lease;

    AttemptGate(EndpointListLease lease) {
        this.lease = lease;
    }

    /** Why the node may not get an attempt now, or {@link AttemptRefusal#NONE}. */
    AttemptRefusal refusalBy(NodeState node, double now) {
        if (node.isDrainingOrGone()) {
            return AttemptRefusal.NODE_DRAINING;
        }
        boolean confirmed = lease.isValid(now) || node.wasExecutingAfter(now - EXECUTION_VALIDITY_SECONDS);
        return confirmed ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED;
    }

    boolean admits(NodeState node, double now) {
        return refusalBy(node, now) == AttemptRefusal.NONE;
    }
}
