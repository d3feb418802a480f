package clayhook.peers;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.sharing.PeerSharing;
import java.util.List;

/** What the event loop reports to the gossip thread. Times are seconds since 1970 on the event loop's clock. */
public sealed interface LocalEvent {
    /** An attempt or a health check has finished. Replaceable: the next one of the same node tells as much. */
    record AttemptFinished(Node node, AttemptResult result, double finishedAt) implements LocalEvent {}

    /**
     * Discovery has sent an endpoint list or a change of it.
     *
     * @param source host and port of the discovery service
     */
    record EndpointListReceived(String source, EndpointList list) implements LocalEvent {}

    /**
     * The router reads from another discovery service from now on.
     *
     * @param source host and port of the discovery service
     */
    record DiscoveryMoved(String source) implements LocalEvent {}

    /** A write of that session was committed at that log position of its replica set. */
    record SessionWriteCommitted(String session, int replicaSet, double position) implements LocalEvent {}

    /**
     * A write has got its final answer.
     *
     * @param sentAt when its first attempt was sent
     * @param executed whether it is known to have been executed; otherwise it may have been
     * @param nodeId where it was executed; empty if unknown
     */
    record WriteFinished(
            String writeKey,
            double sentAt,
            int replicaSet,
            String requestClass,
            boolean executed,
            String nodeId,
            double finishedAt)
            implements LocalEvent {}

    /** This router has used units of a fleet-wide quota. Replaceable: a lost one makes the usage too low. */
    record QuotaUsed(PeerSharing.SharedQuota limit, double units) implements LocalEvent {}

    /** The operator's file was reloaded and names these seeds. */
    record SeedsChanged(List<Address> seeds) implements LocalEvent {}
}
