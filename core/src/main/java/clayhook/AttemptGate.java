package clayhook;

/**
 * Decides whether a node may get a new attempt at all, as far as the endpoint list says and can be relied on. Asked
 * when a node is chosen and again before the first byte of an attempt is written.
 *
 * <p>While the lease on the list has lapsed, a node may be draining without this router knowing. Draining nodes reject
 * attempts some time after the list says so; a node that was lately executing requests has therefore not been draining
 * for long, and goes on to get attempts for as long as that shows. Where no member of a replica set executes anything,
 * the ones that are alive are tried as a last resort.
 *
 * <p>Pure: no clock. Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class AttemptGate {
    /**
     * Without a valid list a node gets attempts for so long after it was known to execute requests: two thirds of the
     * time after which a change counts as notified. The rest is for nodes that go on to execute while they drain.
     */
    private static final double EXECUTION_VALIDITY_SECONDS = 4;

    /** A health check or an attempt that was answered shows for so long that a node is alive. */
    private static final double SEEN_VALIDITY_SECONDS = 1;

    private final EndpointListLease lease;

    AttemptGate(EndpointListLease lease) {
        this.lease = lease;
    }

    /** Why the node may not get an attempt now, or {@link AttemptRefusal#NONE}. */
    AttemptRefusal refusalBy(NodeState node, double now) {
        if (node.isDrainingOrGone()) {
            return AttemptRefusal.NODE_DRAINING;
        }
        boolean admitted = lease.isValid(now) || isExecuting(node, now) || isLastResort(node, now);
        return admitted ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED;
    }

    private static boolean isExecuting(NodeState node, double now) {
        return node.wasExecutingAfter(now - EXECUTION_VALIDITY_SECONDS);
    }

    /**
     * Whether all members of the replica set are idle, so that nothing can show which of them drain, and this one is
     * alive and has rejected nothing. Without this an idle router would serve nothing until discovery answers again.
     */
    private static boolean isLastResort(NodeState node, double now) {
        return now < node.lastSeenAt + SEEN_VALIDITY_SECONDS
                && node.lastSeenAt > node.rejectedAt
                && node.replicaSet.members.stream().noneMatch(member -> isExecuting(member, now));
    }

    boolean admits(NodeState node, double now) {
        return refusalBy(node, now) == AttemptRefusal.NONE;
    }
}
