package clayhook.peers;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.serve.PeerSharing;
import java.util.List;

/** What the router's loop tells the peers' thread; times in seconds since 1970 on the loop's clock. */
public sealed interface LocalEvent {
    /** A dispatch or a probe came back. The next one tells as much, so that one may be lost. */
    record AttemptFinished(Node node, AttemptResult result, double finishedAt) implements LocalEvent {}

    /** @param source where discovery is, as a text of host and port */
    record EndpointListReceived(String source, EndpointList list) implements LocalEvent {}

    record DiscoveryMoved(String source) implements LocalEvent {}

    record SessionWriteCommitted(String session, int replicaSet, double position) implements LocalEvent {}

    /** A write has run at that node, or for all that is known it may have. */
    record WriteFinished(
            String writeKey,
            double sentAt,
            int replicaSet,
            String requestClass,
            boolean executed,
            String nodeId,
            double finishedAt)
            implements LocalEvent {}

    record QuotaUsed(PeerSharing.SharedQuota limit, double units) implements LocalEvent {}

    record SeedsChanged(List<Address> seeds) implements LocalEvent {}
}
