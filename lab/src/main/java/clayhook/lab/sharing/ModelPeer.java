package clayhook.lab.sharing;

import clayhook.AttemptResult;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.Request;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.Peer;
import clayhook.fleet.members.Membership;
import clayhook.fleet.members.MembershipListener;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import clayhook.fleet.types.WriteOutcome;
import clayhook.lab.model.PeerLink;
import clayhook.lab.model.PeerObservationListener;
import clayhook.lab.model.Scheduler;
import clayhook.peers.LocalEvent;
import clayhook.peers.StateBridge;
import clayhook.sharing.PeerSharing;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The peer side of a router of the model: publishes what the router learns and delivers what its peers know, with the
 * production code. While the peer side is dead or frozen it publishes and receives nothing; the router itself continues
 * to serve.
 */
final class ModelPeer implements PeerLink, PeerSharing.PeerListener, RouterIncarnation.Factory {
    /** Address of the discovery service, which all routers of the model share. */
    private static final String SOURCE = "10.0.0.1:1";
    /** Address of every node; nothing is sent to it. */
    private static final InetSocketAddress ADDRESS = EndpointList.parseAddress("10.0.0.2:1");

    private final Scheduler scheduler;
    private final PeerObservationListener router;
    private final int routers;
    private final boolean sharesWritePositions;
    private final double roam;
    /** Endpoint list that the router received; passed first to each new incarnation. */
    private final Map<String, EndpointList.DiscoveredEndpoint> listedEndpoints = new LinkedHashMap<>();

    private long revision;
    private PeeredRouter peer;
    private StateBridge bridge;

    /** @param sharesWritePositions whether clients carry no last-write positions, so that routers must share them */
    ModelPeer(
            Scheduler scheduler,
            PeerObservationListener router,
            int routers,
            boolean sharesWritePositions,
            double roam) {
        this.scheduler = scheduler;
        this.router = router;
        this.routers = routers;
        this.sharesWritePositions = sharesWritePositions;
        this.roam = roam;
    }

    void attach(PeeredRouter peeredRouter) {
        peer = peeredRouter;
    }

    @Override
    public RouterIncarnation create(Peer self, List<Address> seeds, long seed, double now) {
        var random = new SplittableRandom(seed);
        var membership = new Membership(
                MembershipSettings.DEFAULT, self, seeds, random.nextLong(), now, new MembershipListener() {});
        var enabledTypes = new StateBridge.EnabledTypes(true, true, sharesWritePositions, WriteOutcome.TYPE, true);
        var state =
                new ReplicatedState(membership, enabledTypes.types(), StateSettings.DEFAULT, random.nextLong(), now);
        bridge = new StateBridge(
                enabledTypes,
                roam,
                routers,
                SOURCE,
                state,
                membership,
                random.split(),
                task -> scheduler.scheduleAfter(0, task),
                this);
        if (!listedEndpoints.isEmpty()) {
            bridge.accept(
                    new LocalEvent.EndpointListReceived(
                            SOURCE, new EndpointList(revision, true, List.copyOf(listedEndpoints.values()))),
                    now);
        }
        return new RouterIncarnation(membership, state, List.of(membership, bridge, state));
    }

    private void publish(LocalEvent event) {
        if (peer.awake()) {
            bridge.accept(event, peer.now());
            peer.scheduleEventTick();
        }
    }

    // ---- from the router ----

    @Override
    public void onEndpointList(List<Endpoint> entries, boolean complete, long listRevision) {
        List<EndpointList.DiscoveredEndpoint> endpoints =
                entries.stream().map(ModelPeer::toDiscoveredEndpoint).toList();
        endpoints.forEach(entry -> listedEndpoints.put(entry.id(), entry));
        revision = listRevision;
        publish(new LocalEvent.EndpointListReceived(SOURCE, new EndpointList(listRevision, complete, endpoints)));
    }

    private static EndpointList.DiscoveredEndpoint toDiscoveredEndpoint(Endpoint endpoint) {
        Node node = endpoint.node();
        return new EndpointList.DiscoveredEndpoint(
                node.id(),
                ADDRESS,
                node.zone(),
                node.replicaSetId(),
                endpoint.state(),
                endpoint.primary(),
                endpoint.startedAt());
    }

    @Override
    public void onAttemptResult(Node node, AttemptResult result) {
        publish(new LocalEvent.AttemptFinished(node, result, peer.now()));
    }

    @Override
    public void onSessionWrite(Request request, double position) {
        if (sharesWritePositions) {
            publish(new LocalEvent.SessionWriteCommitted(request.sessionId, request.replicaSetId, position));
        }
    }

    @Override
    public void onWriteOutcome(Request request, String writeId, Node ranAt) {
        publish(new LocalEvent.WriteFinished(
                writeId,
                request.attempts.get(0).sentAt,
                request.replicaSetId,
                request.requestClass.name(),
                ranAt != null,
                ranAt == null ? "" : ranAt.id(),
                peer.now()));
    }

    @Override
    public void onQuotaUsed(int healthChecks, int furtherAttempts) {
        if (healthChecks > 0) {
            publish(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.HEALTH_CHECKS, healthChecks));
        }
        if (furtherAttempts > 0) {
            publish(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, furtherAttempts));
        }
    }

    /** If the peer side is down, the session may have written anything up to now, so the required position is now. */
    @Override
    public double requiredPosition(String session) {
        return !sharesWritePositions
                ? 0
                : peer.awake() ? bridge.requiredPosition(session, peer.now()) : scheduler.now();
    }

    // ---- to the router ----

    @Override
    public void onPeerUpdate(Map<String, PeerObservation> observations) {
        observations.forEach(router::onPeerObservation);
    }

    @Override
    public void onPeerUpdate(Collection<EndpointList> changes) {
        changes.forEach(change -> change.endpoints()
                .forEach(entry -> router.onPeerEndpoint(
                        new Endpoint(
                                new Node(entry.id(), entry.zone(), entry.replicaSetId()),
                                entry.state(),
                                entry.primary(),
                                entry.startedAt()),
                        change.version())));
    }
}
