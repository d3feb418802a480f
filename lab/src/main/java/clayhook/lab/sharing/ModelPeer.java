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
    private final boolean marks;
    private final double roam;
    /** Endpoint list that the router received; passed first to each new incarnation. */
    private final Map<String, EndpointList.DiscoveredEndpoint> listed = new LinkedHashMap<>();

    private long revision;
    private PeeredRouter peer;
    private StateBridge exchange;

    /** @param marks whether clients carry no last-write positions, so that routers must share them */
    ModelPeer(Scheduler scheduler, PeerObservationListener router, int routers, boolean marks, double roam) {
        this.scheduler = scheduler;
        this.router = router;
        this.routers = routers;
        this.marks = marks;
        this.roam = roam;
    }

    void at(PeeredRouter place) {
        peer = place;
    }

    @Override
    public RouterIncarnation begin(Peer self, List<Address> seeds, long seed, double now) {
        var chance = new SplittableRandom(seed);
        var members = new Membership(
                MembershipSettings.DEFAULT, self, seeds, chance.nextLong(), now, new MembershipListener() {});
        var kinds = new StateBridge.EnabledTypes(true, true, marks, WriteOutcome.TYPE, true);
        var state = new ReplicatedState(members, kinds.types(), StateSettings.DEFAULT, chance.nextLong(), now);
        exchange = new StateBridge(
                kinds, roam, routers, SOURCE, state, members, chance.split(), what -> scheduler.scheduleAfter(0, what), this);
        if (!listed.isEmpty()) {
            exchange.accept(
                    new LocalEvent.EndpointListReceived(
                            SOURCE, new EndpointList(revision, true, List.copyOf(listed.values()))),
                    now);
        }
        return new RouterIncarnation(members, state, List.of(members, exchange, state));
    }

    private void tell(LocalEvent news) {
        if (peer.awake()) {
            exchange.accept(news, peer.now());
            peer.stir();
        }
    }

    // ---- from the router ----

    @Override
    public void listed(List<Endpoint> entries, boolean whole, long as) {
        List<EndpointList.DiscoveredEndpoint> told =
                entries.stream().map(ModelPeer::entry).toList();
        told.forEach(entry -> listed.put(entry.id(), entry));
        revision = as;
        tell(new LocalEvent.EndpointListReceived(SOURCE, new EndpointList(as, whole, told)));
    }

    private static EndpointList.DiscoveredEndpoint entry(Endpoint listing) {
        Node node = listing.node();
        return new EndpointList.DiscoveredEndpoint(
                node.id(),
                ADDRESS,
                node.zone(),
                node.replicaSetId(),
                listing.state(),
                listing.primary(),
                listing.startedAt());
    }

    @Override
    public void looked(Node node, AttemptResult reply) {
        tell(new LocalEvent.AttemptFinished(node, reply, peer.now()));
    }

    @Override
    public void wrote(Request command, double position) {
        if (marks) {
            tell(new LocalEvent.SessionWriteCommitted(command.sessionId, command.replicaSetId, position));
        }
    }

    @Override
    public void written(Request command, String mark, Node ranAt) {
        tell(new LocalEvent.WriteFinished(
                mark,
                command.attempts.get(0).sentAt,
                command.replicaSetId,
                command.requestClass.name(),
                ranAt != null,
                ranAt == null ? "" : ranAt.id(),
                peer.now()));
    }

    @Override
    public void used(int probes, int repeats) {
        if (probes > 0) {
            tell(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.HEALTH_CHECKS, probes));
        }
        if (repeats > 0) {
            tell(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, repeats));
        }
    }

    /** If the peer side is down, the session may have written anything up to now, so the required position is now. */
    @Override
    public double needs(String session) {
        return !marks ? 0 : peer.awake() ? exchange.requiredPosition(session, peer.now()) : scheduler.now();
    }

    // ---- to the router ----

    @Override
    public void onPeerUpdate(Map<String, PeerObservation> told) {
        told.forEach(router::told);
    }

    @Override
    public void onPeerUpdate(Collection<EndpointList> changes) {
        changes.forEach(change -> change.endpoints()
                .forEach(entry -> router.told(
                        new Endpoint(
                                new Node(entry.id(), entry.zone(), entry.replicaSetId()),
                                entry.state(),
                                entry.primary(),
                                entry.startedAt()),
                        change.version())));
    }
}
