package clayhook.peers;

import clayhook.Endpoint;
import clayhook.PeerObservation;
import clayhook.discovery.EndpointList;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.PeerObservations;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Publishes this router's observations of nodes, and delivers the observations of peers to the event loop. Confined to
 * the gossip thread.
 */
final class ObservationSharing {
    /** A node of this router's endpoint list; {@code startedAt} is in seconds since 1970, 0 if long ago. */
    private record KnownNode(String id, double startedAt) {}

    private final ReplicatedStore store;
    private final NodeObservations ownObservations;
    private final PeerObservations peerObservations;
    private final ConflatingQueue<String, PeerObservation> toEventLoop;
    /** Nodes by observation key; bounded by the endpoint list. */
    private final Map<String, KnownNode> knownNodes = new HashMap<>();
    /** Keys of nodes of which peers have published an observation since the last tick. */
    private final Set<String> changedNodeKeys = new LinkedHashSet<>();
    /** Whether own observations are being merged into the store; these are not delivered back to the event loop. */
    private boolean publishing;

    ObservationSharing(
            ReplicatedStore store,
            MembershipView membership,
            SplittableRandom random,
            Executor eventLoop,
            Consumer<Map<String, PeerObservation>> listener) {
        this.store = store;
        toEventLoop = new ConflatingQueue<>(eventLoop, listener);
        ownObservations = new NodeObservations(membership, random);
        peerObservations = new PeerObservations(store, membership);
        store.addListener(NodeObservation.TYPE, (key, value, now) -> {
            if (!publishing) {
                changedNodeKeys.add(key);
            }
        });
    }

    void record(LocalEvent.AttemptFinished event) {
        ownObservations.recordResult(NodeObservation.key(event.node().id()), event.result(), event.finishedAt());
    }

    /** Replaces the known nodes by those of a complete list, or applies the changes of a partial one. */
    void updateKnownNodes(EndpointList list) {
        if (list.complete()) {
            knownNodes.clear();
        }
        for (EndpointList.DiscoveredEndpoint endpoint : list.endpoints()) {
            String key = NodeObservation.key(endpoint.id());
            if (endpoint.state() == Endpoint.State.GONE) {
                knownNodes.remove(key);
            } else {
                knownNodes.put(key, new KnownNode(endpoint.id(), endpoint.startedAt()));
            }
        }
        ownObservations.retainNodes(knownNodes.keySet());
    }

    /**
     * Publishes own observations that are due and delivers those of peers; returns when to call this method next, in
     * seconds since 1970.
     */
    double tick(double now) {
        publishing = true;
        double next = ownObservations.publish(store, this::startedAt, now);
        publishing = false;
        deliverChanges(now);
        return next;
    }

    private double startedAt(String key) {
        KnownNode node = knownNodes.get(key);
        return node == null ? 0 : node.startedAt();
    }

    private void deliverChanges(double now) {
        for (String key : changedNodeKeys) {
            KnownNode node = knownNodes.get(key);
            PeerObservations.NodeSummary summary =
                    node == null ? null : peerObservations.summarize(node.id(), node.startedAt(), now);
            if (summary != null) {
                toEventLoop.put(node.id(), toPeerObservation(summary));
            }
        }
        changedNodeKeys.clear();
    }

    private static PeerObservation toPeerObservation(PeerObservations.NodeSummary summary) {
        return new PeerObservation(
                summary.incarnationStartedAt(),
                summary.appliedPosition(),
                summary.appliedPositionAt(),
                summary.lagSeconds(),
                summary.lagMeasuredAt(),
                summary.primaryClaimedAt(),
                summary.replicaClaimedAt(),
                summary.lastSeenAt(),
                summary.lastFailureAt(),
                summary.failedRouterCount(),
                summary.latencyRatio(),
                summary.latencyRatioWeight(),
                summary.load(),
                summary.loadWeight());
    }
}
