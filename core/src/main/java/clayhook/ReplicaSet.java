package clayhook;

import clayhook.RequestClass.ConsistencyLevel;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one replica set, a primary and replicas that hold the same data, as observed by one router. Owned by
 * {@link RoutingPolicy}. Not thread-safe: confined to the event loop.
 */
final class ReplicaSet {
    /** All members, in the order of their first appearance in the endpoint list. */
    final List<NodeState> members = new ArrayList<>();

    /** The index of the member that got the last read by round robin. */
    int roundRobinIndex;

    /** The load of the replicas, estimated from the latency of eventual reads. */
    final LoadEstimate eventualReadLoad;

    /** The load of the replicas, estimated from the latency of all other reads. */
    final LoadEstimate consistentReadLoad;

    /** The load of the primary, estimated from the latency of all its requests. */
    final LoadEstimate primaryLoad;

    /** The newest log position that a primary reported. */
    double newestPrimaryPosition;

    /** The newest position of a session write that was evicted; every session read has to see it. */
    double evictedWritePosition;

    /** When a member last reported that it is primary. A listed role counts only if it was listed after that. */
    private double newestPrimaryClaimAt = NodeState.NEVER;

    /**
     * Creates an empty set.
     *
     * @param roundRobinIndex the index after which the rotation starts
     * @param overall the load estimates of all replica sets, towards which those of this set decay; or null
     */
    ReplicaSet(int roundRobinIndex, LoadEstimate.Smoothing smoothing, ReplicaSet overall) {
        this.roundRobinIndex = roundRobinIndex;
        eventualReadLoad = new LoadEstimate(smoothing, overall == null ? null : overall.eventualReadLoad);
        consistentReadLoad = new LoadEstimate(smoothing, overall == null ? null : overall.consistentReadLoad);
        primaryLoad = new LoadEstimate(smoothing, overall == null ? null : overall.primaryLoad);
    }

    /** Returns when a member last reported that it is primary; infinite if listed roles do not count at all. */
    double newestPrimaryClaimAt() {
        return newestPrimaryClaimAt;
    }

    /** Records that a member reported that it was primary at the given time. */
    void onPrimaryClaim(double at) {
        newestPrimaryClaimAt = Math.max(newestPrimaryClaimAt, at);
    }

    /** Ignores listed roles from now on, as the role that a member reported was forgotten. */
    void ignoreListedRoles() {
        newestPrimaryClaimAt = Double.POSITIVE_INFINITY;
    }

    /** Returns the load estimate of the replicas for the consistency level of a class of reads. */
    LoadEstimate readLoad(RequestClass requestClass) {
        return requestClass.consistency() == ConsistencyLevel.EVENTUAL ? eventualReadLoad : consistentReadLoad;
    }

    /** Returns the member with the newest evidence that it is primary, or null. Reported roles precede listed ones. */
    NodeState primary() {
        NodeState newest = null;
        for (NodeState member : members) {
            boolean newer = newest == null || member.roles.isNewerThan(newest.roles);
            newest = newer && member.claimsPrimary() ? member : newest;
        }
        return newest;
    }

    /** Returns the average reported load of the replicas; 0 without replicas. */
    double averageReplicaLoad() {
        return members.stream()
                .filter(member -> !member.claimsPrimary())
                .mapToDouble(member -> member.reportedLoad)
                .average()
                .orElse(0);
    }

    /** Raises the newest primary position to that of a member if the member is primary. */
    void raisePrimaryPosition(NodeState member) {
        if (member.claimsPrimary()) {
            newestPrimaryPosition = Math.max(newestPrimaryPosition, member.appliedPosition);
        }
    }
}
