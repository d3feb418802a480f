package clayhook;

/**
 * Builds the log line on all nodes: how many there are and how many were seen lately, and of the first ones that are
 * unusable or have attempts outstanding: id, outstanding attempts of the concurrency limit, tenths of a second since
 * the node was seen (-1 for never), and flags. Free of format strings, as it is built on the event loop.
 */
final class NodeSummary {
    private final int maxDescribedNodes;
    private final StringBuilder described = new StringBuilder();
    private int nodeCount;
    private int seenLatelyCount;
    private int describedCount;
    private int omittedCount;

    /** Creates an empty summary that describes at most so many nodes. */
    NodeSummary(int maxDescribedNodes) {
        this.maxDescribedNodes = maxDescribedNodes;
    }

    /** Adds a node; {@code usable}: it may get an attempt now. */
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

    /** Returns the line. */
    String text() {
        return nodeCount + " known, " + seenLatelyCount + " heard in the last second" + described
                + (omittedCount > 0 ? ", and " + omittedCount + " more" : "");
    }
}
