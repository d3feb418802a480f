package clayhook;

import static clayhook.NodeState.NEVER;

/**
 * What one router knows about the role of one node. A node reports its role with its answers; the endpoint list names a
 * primary too, but late, or as it was when the deployment started. So an answer counts more than the list, however old
 * the answer is.
 *
 * <ul>
 *   <li>That a node was a replica is ended only by a later answer of the node. Its removal from the list, its return
 *       and a restart of its process under the same id end nothing: a former primary that returns lags behind, and the
 *       list may go on naming it.
 *   <li>That a node was primary is ended by a later answer of the node, and by a restart of its process.
 *   <li>That the list names a node as primary is ended by any answer of the node, and by an answer of another member
 *       that is primary, given after the list began to name the node.
 * </ul>
 *
 * <p>Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class RoleEvidence {
    private double primaryClaimedAt = NEVER;
    private double replicaClaimedAt = NEVER;
    /** Whether the node has reported its role, even if that report has been ended since. */
    private boolean hasReportedRole;

    private boolean listedAsPrimary;
    /** When the list began to name the node as primary. */
    private double listedAsPrimarySince = NEVER;

    /** Records an answer or a peer's observation that shows that the node was primary at the given time. */
    void claimPrimary(double at) {
        primaryClaimedAt = Math.max(primaryClaimedAt, at);
        hasReportedRole |= at > NEVER;
    }

    /** Records an answer or a peer's observation that shows that the node was a replica at the given time. */
    void claimReplica(double at) {
        replicaClaimedAt = Math.max(replicaClaimedAt, at);
        hasReportedRole |= at > NEVER;
    }

    /** Ends a claim to be primary that an earlier process of the node made, before the given time. */
    void endPrimaryClaimBefore(double startedAt) {
        primaryClaimedAt = primaryClaimedAt < startedAt ? NEVER : primaryClaimedAt;
    }

    /** Records whether the endpoint list names the node as primary. */
    void onListed(boolean primary, double now) {
        listedAsPrimarySince = primary && !listedAsPrimary ? now : listedAsPrimarySince;
        listedAsPrimary = primary;
    }

    /** Returns the time of the newest answer that shows that the node was a replica; {@code NEVER} without one. */
    double replicaClaimedAt() {
        return replicaClaimedAt;
    }

    /** Whether this is newer evidence that a node is primary than that of another node. Answers precede the list. */
    boolean isNewerThan(RoleEvidence other) {
        return primaryClaimedAt == other.primaryClaimedAt
                ? listedAsPrimarySince > other.listedAsPrimarySince
                : primaryClaimedAt > other.primaryClaimedAt;
    }

    /** Whether the node has reported its role itself, so that its listed role does not count. */
    boolean hasReportedRole() {
        return hasReportedRole;
    }

    /**
     * Whether the node is primary according to the strongest evidence.
     *
     * @param newestPrimaryClaimAt when a member of the replica set last reported that it is primary
     */
    boolean showsPrimary(double newestPrimaryClaimAt) {
        return hasReportedRole
                ? primaryClaimedAt > replicaClaimedAt
                : listedAsPrimary && listedAsPrimarySince > newestPrimaryClaimAt;
    }
}
