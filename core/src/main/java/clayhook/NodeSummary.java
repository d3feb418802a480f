package clayhook;

/**
 * Builds the log line about all nodes. It contains the number of nodes, the number that responded lately and, for the
 * first nodes that are unusable or have outstanding attempts, the id, the outstanding attempts and the concurrency
 * limit, the tenths of a second since the node was last seen (-1 for never), and flags. Uses no format strings, because
 * the line is built on the event loop.
 */
final class NodeSummary {
    private final int maxDescribedNodes;
    private final StringBuilder described = new StringBuilder();
    private int nodeCount;
    private int seenLatelyCount;
    private int describedCount;
    private int omittedCount;

    /** Creates an empty summary that describes at most {@code maxDescribedNodes} nodes. */
    NodeSummary(int maxDescribedNodes) {
        this.maxDescribedNodes = maxDescribedNodes;
    }

    /** Adds a node; {@code usable} says whether it may get an attempt now. */
    void add(NodeState node, boolean stale, boolean usable, double now) {
        nodeCount++;
        seenLatelyCount += stale ? 0 : 1;
        if (usable && node.outstandingAttempts.isEmpty()) {
            return;
        }
        if (describedCount >= maxDescribedNodes) {
            omittedCount++;
            return;
        }
        describedCount++;
        described
                .append(", ")
                .append(node.node.id())
                .append(' ')
                .append(node.outstandingAttempts.size())
                .append('/')
                .append((int) node.concurrencyLimit)
                .append(' ')
                .append(node.lastSeenAt == NodeState.NEVER ? -1 : (long) (10 * (now - node.lastSeenAt)))
                .append(node.claimsPrimary() ? " primary" : "")
                .append(node.isDrainingOrGone() ? " closed" : usable ? "" : " out");
    }

    /** Returns the log line. */
    String text() {
        return nodeCount + " known, " + seenLatelyCount + " heard in the last second" + described
                + (omittedCount > 0 ? ", and " + omittedCount + " more" : "");
    }
}
