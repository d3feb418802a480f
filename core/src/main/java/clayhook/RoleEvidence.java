package clayhook;

import static clayhook.NodeState.NEVER;

/**
 * What one router was told about the role of one node. A node tells its role with its answers; the endpoint list names
 * a primary too, but late, or as it was when the deployment started. So an answer counts more than the list, however
 * old the answer is.
 *
 * <p>What a node told is ended only by what it tells later. Its removal from the list, its return and a restart of its
 * process under the same id end nothing: a former primary that returns lags behind, and the list may go on naming it.
 *
 * <p>Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class RoleEvidence {
    private double primaryClaimedAt = NEVER;
    private double replicaClaimedAt = NEVER;

    /** Records an answer or a peer's observation that shows that the node was primary at the given time. */
    void claimPrimary(double at) {
        primaryClaimedAt = Math.max(primaryClaimedAt, at);
    }

    /** Records an answer or a peer's observation that shows that the node was a replica at the given time. */
    void claimReplica(double at) {
        replicaClaimedAt = Math.max(replicaClaimedAt, at);
    }

    /** Returns the time of the newest answer that shows that the node was primary; {@code NEVER} without one. */
    double primaryClaimedAt() {
        return primaryClaimedAt;
    }

    /**
     * Whether the node is primary according to the strongest evidence.
     *
     * @param listedAsPrimary whether the endpoint list names the node as primary
     */
    boolean showsPrimary(boolean listedAsPrimary) {
        boolean told = primaryClaimedAt > NEVER || replicaClaimedAt > NEVER;
        return told ? primaryClaimedAt > replicaClaimedAt : listedAsPrimary;
    }
}
