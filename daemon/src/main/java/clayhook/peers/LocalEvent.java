package clayhook.peers;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.sharing.PeerSharing;
import java.util.List;

/**
 * An event that the event loop reports to the gossip thread. Times are seconds since 1970 on the event loop's clock.
 */
public sealed interface LocalEvent {
    /** An attempt or a health check has finished. Replaceable: the next result of the same node supersedes it. */
    record AttemptFinished(Node node, AttemptResult result, double finishedAt) implements LocalEvent {}

    /**
     * Discovery has sent a complete endpoint list or changes of it.
     *
     * @param source host and port of the discovery service
     */
    record EndpointListReceived(String source, EndpointList list) implements LocalEvent {}

    /**
     * The router has switched to another discovery service.
     *
     * @param source host and port of the discovery service
     */
    record DiscoveryMoved(String source) implements LocalEvent {}

    /** A write of a session was committed at a log position of a replica set. */
    record SessionWriteCommitted(String session, int replicaSet, double position) implements LocalEvent {}

    /**
     * A write has its final answer.
     *
     * @param sentAt when its first attempt was sent
     * @param executed whether the write is known to have been executed; if false, it may have been
     * @param nodeId the id of the node that executed the write; empty if unknown
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

    /** This router has used units of a fleet-wide quota. Replaceable: a lost event only makes the usage too low. */
    record QuotaUsed(PeerSharing.SharedQuota quota, double units) implements LocalEvent {}

    /** The operator's file was reloaded and contains these seeds. */
    record SeedsChanged(List<Address> seeds) implements LocalEvent {}
}
