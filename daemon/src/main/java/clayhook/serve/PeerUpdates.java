package clayhook.serve;

import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.RoutingPolicy;
import clayhook.backend.BackendClient;
import clayhook.discovery.EndpointList;
import clayhook.metrics.EventCounters;
import clayhook.sharing.PeerSharing;
import java.util.Collection;
import java.util.Map;

/** Applies the observations of nodes and the endpoint lists that peers share. Event loop only. */
final class PeerUpdates implements PeerSharing.PeerListener {
    private final EventInbox inbox;
    private final RoutingPolicy policy;
    private final BackendClient backend;
    private final EndpointUpdates endpoints;
    private final EventCounters counters;

    PeerUpdates(
            EventInbox inbox,
            RoutingPolicy policy,
            BackendClient backend,
            EndpointUpdates endpoints,
            EventCounters counters) {
        this.inbox = inbox;
        this.policy = policy;
        this.backend = backend;
        this.endpoints = endpoints;
        this.counters = counters;
    }

    @Override
    public void onPeerUpdate(Collection<EndpointList> changes) {
        counters.increment("peer endpoint list");
        endpoints.onPeerLists(changes);
    }

    /** Applies observations of peers; drops those of nodes that are not registered at this router. */
    @Override
    public void onPeerUpdate(Map<String, PeerObservation> observations) {
        counters.increment("peer observations");
        inbox.add(now -> observations.forEach((id, observation) -> {
            Node node = backend.findNode(id);
            if (node != null) {
                policy.onPeerObservation(node, observation, now);
            }
        }));
    }
}
