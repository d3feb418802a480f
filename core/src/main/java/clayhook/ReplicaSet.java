package clayhook;

import clayhook.RequestClass.ConsistencyLevel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What one router knows of a set of nodes that hold the same data: a primary and its replicas. Plain state owned by
 * {@link RoutingPolicy}. Not thread-safe: confined to the event loop.
 */
final class ReplicaSet {
    /** All members in the order in which they were first listed. */
    final List<NodeState> members = new ArrayList<>();

    /** The index of the member that the last read in rotation was sent to. */
    int roundRobinIndex;

    /** Load of the replicas as seen by eventual reads. */
    final LoadEstimate eventualReadLoad;

    /** Load of the replicas as seen by all other reads. */
    final LoadEstimate consistentReadLoad;

    /** Load of the primary. */
    final LoadEstimate primaryLoad;

    /** The newest position that a primary reported. */
    double newestPrimaryPosition;

    /** The newest position of a session write that is no longer remembered; every session read has to see it. */
    double forgottenWritePosition;

    /**
     * Creates an empty set.
     *
     * @param roundRobinIndex where the rotation starts
     * @param overall holds the load estimates of all replica sets, towards which those of this one decay; or null
     */
    ReplicaSet(int roundRobinIndex, LoadEstimate.Smoothing smoothing, ReplicaSet overall) {
        this.roundRobinIndex = roundRobinIndex;
        eventualReadLoad = new LoadEstimate(smoothing, overall == null ? null : overall.eventualReadLoad);
        consistentReadLoad = new LoadEstimate(smoothing, overall == null ? null : overall.consistentReadLoad);
        primaryLoad = new LoadEstimate(smoothing, overall == null ? null : overall.primaryLoad);
    }

    /** Returns the load of the replicas that counts for a class of reads. */
    LoadEstimate readLoad(RequestClass requestClass) {
        return requestClass.consistency() == ConsistencyLevel.EVENTUAL ? eventualReadLoad : consistentReadLoad;
    }

    /** Returns the member with the newest evidence that it is primary, or null. */
    NodeState primary() {
        return members.stream()
                .filter(NodeState::claimsPrimary)
                .max(Comparator.comparingDouble(member -> member.primaryClaimedAt))
                .orElse(null);
    }

    /** Returns the average load that the replicas report; 0 without replicas. */
    double averageReplicaLoad() {
        return members.stream()
                .filter(member -> !member.claimsPrimary())
                .mapToDouble(member -> member.reportedLoad)
                .average()
                .orElse(0);
    }

    /** Takes over the position of a member if it is primary. */
    void raisePrimaryPosition(NodeState member) {
        if (member.claimsPrimary()) {
            newestPrimaryPosition = Math.max(newestPrimaryPosition, member.appliedPosition);
        }
    }
}
