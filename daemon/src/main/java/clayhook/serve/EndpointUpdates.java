package clayhook.serve;

import clayhook.Endpoint;
import clayhook.Node;
import clayhook.RoutingPolicy;
import clayhook.backend.BackendClient;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.discovery.EndpointWatcher;
import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;

/**
 * Owns the watch on the discovery service and applies endpoint lists, its own and those of peers, to the routing
 * policy. Event loop only after construction.
 */
final class EndpointUpdates implements EndpointWatcher.Listener {
    private static final long NO_VERSION = -1;

    private final EventInbox inbox;
    private final RoutingPolicy policy;
    private final BackendClient backend;
    private final PeerReporter peers;
    private final EndpointWatcher watcher;
    /** The newest version that discovery has sent to this router itself. */
    private long ownVersion = NO_VERSION;

    /** Starts from the endpoints that the configuration knows; {@code now} is the clock time in seconds. */
    EndpointUpdates(
            Transport transport,
            RouterConfiguration configuration,
            EventInbox inbox,
            RoutingPolicy policy,
            BackendClient backend,
            PeerReporter peers,
            double now) {
        this.inbox = inbox;
        this.policy = policy;
        this.backend = backend;
        this.peers = peers;
        EndpointList known = configuration.knownEndpoints();
        watcher = new EndpointWatcher(
                transport,
                configuration.discovery(),
                known.version(),
                policy.nextWatchTimeoutSeconds(),
                new Random(configuration.seed()),
                this);
        policy.onEndpointList(endpoints(known), true, now);
    }

    @Override
    public void onEndpointList(EndpointList list) {
        ownVersion = Math.max(ownVersion, list.version());
        peers.onEndpointList(watcher.lastAnsweredBy(), list);
        inbox.addEndpointEvent(now -> policy.onEndpointList(endpoints(list), list.complete(), now));
    }

    @Override
    public void onEndpointListFailed() {
        inbox.addEndpointEvent(policy::onEndpointListFailed);
    }

    @Override
    public void onEndpointListLate() {
        inbox.addEndpointEvent(policy::onEndpointListLate);
    }

    /** A change that this router's own discovery has superseded is applied only where it closes nodes. */
    void onPeerLists(Collection<EndpointList> changes) {
        inbox.addEndpointEvent(now -> {
            var changed = new ArrayList<Endpoint>();
            for (EndpointList change : changes) {
                if (closesAll(change) || change.version() >= ownVersion) {
                    changed.addAll(endpoints(change));
                }
            }
            policy.onEndpointList(changed, false, now);
            // A peer's list must not count as a sign that this router's own watch is alive.
            policy.onEndpointListFailed(now);
        });
    }

    private static boolean closesAll(EndpointList list) {
        return list.endpoints().stream().allMatch(endpoint -> endpoint.state() != Endpoint.State.READY);
    }

    private List<Endpoint> endpoints(EndpointList list) {
        var endpoints = new ArrayList<Endpoint>();
        for (EndpointList.DiscoveredEndpoint found : list.endpoints()) {
            Node node = backend.registerNode(found.id(), found.zone(), found.replicaSetId(), found.address());
            endpoints.add(new Endpoint(node, found.state(), found.primary(), found.startedAt()));
        }
        return endpoints;
    }

    /** Watches for changes from now on, if it does not yet. */
    void ensureWatching() {
        watcher.ensureWatching();
    }

    /** Follows the discovery service to another address, whose versions may start anew. */
    void moveTo(InetSocketAddress discovery) {
        watcher.moveTo(discovery);
        ownVersion = NO_VERSION;
        peers.onDiscoveryMoved(discovery);
    }

    void close() {
        watcher.close();
    }
}
