package clayhook.peers;

import clayhook.Endpoint;
import clayhook.PeerObservation;
import clayhook.discovery.EndpointList;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.EndpointListMerge;
import clayhook.fleet.types.FleetQuota;
import clayhook.fleet.types.ListedEndpoint;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.PeerObservations;
import clayhook.fleet.types.QuotaUsage;
import clayhook.fleet.types.SessionConsistency;
import clayhook.fleet.types.SessionWrite;
import clayhook.fleet.types.WriteOutcome;
import clayhook.fleet.types.WriteOutcomes;
import clayhook.log.Log;
import clayhook.serve.PeerSharing;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Puts what this router's loop tells into what routers share, and takes from there what the loop is to know. On the
 * peers' thread, but for {@link #requiredPosition} and {@link #remainingQuota}.
 */
public final class StateBridge implements ProtocolHandler {
    /**
     * Seconds between two snapshots of marks, and two puttings in: short beside the time in which a session comes to
     * another router. Guards against a session that writes all the time, whose marks would come in faster than news of
     * them goes round.
     */
    private static final double PUBLISH_INTERVAL = 0.05;
    /** Seconds between two reckonings of shares, and looks at what is to be put in again. */
    private static final double SLOW_INTERVAL = 0.25;
    /** Bytes and characters; a longer id is cut in a key, so that nobody could tell which node is meant. */
    private static final int MAX_ID_LENGTH = 100;
    /** What a hundred routers may store in all, as one alone may; and the time over which that counts, in seconds. */
    private static final double FLEET_RETRIES = 90, HEALTH_CHECKS_PER_ROUTER = 15, QUOTA_WINDOW = 10;

    /** What this router's copy holds; each is null where the operator has turned it off. */
    public record EnabledTypes(
            boolean observations,
            boolean endpointLists,
            boolean sessionWrites,
            ReplicatedType<WriteOutcome> writeOutcomes,
            boolean quotas) {
        public List<ReplicatedType<?>> types() {
            var kinds = new ArrayList<ReplicatedType<?>>();
            if (observations) {
                kinds.add(NodeObservation.TYPE);
            }
            if (endpointLists) {
                kinds.add(ListedEndpoint.TYPE);
            }
            if (sessionWrites) {
                kinds.add(SessionWrite.TYPE);
            }
            if (writeOutcomes != null) {
                kinds.add(writeOutcomes);
            }
            if (quotas) {
                kinds.add(QuotaUsage.TYPE);
            }
            return kinds;
        }
    }

    /** A node that this router's list has. */
    private record KnownNode(String id, double startedAt) {}

    private final ReplicatedStore store;
    private final MembershipView membership;
    private final EnabledTypes enabledTypes;
    private final ConflatingQueue<String, PeerObservation> observationQueue;
    private final ConflatingQueue<String, EndpointList> endpointQueue;
    // null where that kind is off
    private NodeObservations ownObservations;
    private PeerObservations peerObservations;
    private EndpointListMerge listMerge;
    private SessionConsistency sessionNeeds;
    private InDoubtWrites inDoubtWrites;
    private WriteOutcomes writeOutcomes;
    private FleetQuota fleetQuota;
    private final Map<PeerSharing.SharedQuota, FleetQuota.Quota> quotas = new EnumMap<>(PeerSharing.SharedQuota.class);
    private final Map<String, KnownNode> knownNodes = new HashMap<>();
    /** Keys of nodes on which others have put in something; emptied each turn. */
    private final Set<String> changedNodeKeys = new LinkedHashSet<>();
    /** Marks of this router's own writes; emptied with each snapshot, before which there are few. */
    private final Map<String, SessionWrite> pendingSessionWrites = new LinkedHashMap<>();
    /** What this router itself puts in is no news to it. */
    private boolean publishing;

    private double nextPublishAt, nextSlowTickAt;
    /** A list came that could not be told whole, or a value that cannot be. */
    private long rejectedValues;

    private volatile Map<PeerSharing.SharedQuota, Double> remainingQuota = Map.of();

    public StateBridge(
            EnabledTypes kinds,
            double roam,
            int routers,
            String source,
            ReplicatedStore shared,
            MembershipView roster,
            SplittableRandom chance,
            Executor loop,
            PeerSharing.PeerListener listener) {
        this.enabledTypes = kinds;
        this.store = shared;
        this.membership = roster;
        observationQueue = new ConflatingQueue<>(loop, listener::onPeerUpdate);
        endpointQueue = new ConflatingQueue<>(loop, news -> listener.onPeerUpdate(news.values()));
        if (kinds.observations()) {
            ownObservations = new NodeObservations(roster, chance);
            peerObservations = new PeerObservations(shared, roster);
            shared.addListener(NodeObservation.TYPE, (key, value, now) -> {
                if (!publishing) {
                    changedNodeKeys.add(key);
                }
            });
        }
        listMerge = kinds.endpointLists() ? new EndpointListMerge(source, shared) : null;
        sessionNeeds = kinds.sessionWrites() ? new SessionConsistency(shared, roam) : null;
        if (kinds.writeOutcomes() != null) {
            inDoubtWrites = new InDoubtWrites(shared, kinds.writeOutcomes());
            writeOutcomes = new WriteOutcomes(shared, kinds.writeOutcomes());
        }
        if (kinds.quotas()) {
            fleetQuota = new FleetQuota(shared, roster, routers);
            quotas.put(
                    PeerSharing.SharedQuota.FURTHER_ATTEMPTS,
                    new FleetQuota.Quota(QuotaUsage.RETRIES, FLEET_RETRIES, QUOTA_WINDOW));
            quotas.put(
                    PeerSharing.SharedQuota.HEALTH_CHECKS,
                    new FleetQuota.Quota(QuotaUsage.HEALTH_CHECKS, HEALTH_CHECKS_PER_ROUTER * routers, QUOTA_WINDOW));
        }
    }

    // ---- from the loop ----

    /** Takes what the loop tells; what no value may hold is counted and dropped. */
    public void accept(LocalEvent news, double now) {
        try {
            apply(news, now);
        } catch (IllegalArgumentException e) {
            rejectedValues++; // an id or a time that no value may have
        }
    }

    private void apply(LocalEvent news, double now) {
        if (news instanceof LocalEvent.AttemptFinished looked) {
            if (ownObservations != null) {
                ownObservations.recordResult(
                        NodeObservation.key(looked.node().id()), looked.result(), looked.finishedAt());
            }
        } else if (news instanceof LocalEvent.EndpointListReceived listed) {
            onEndpointList(listed.source(), listed.list(), now);
        } else if (news instanceof LocalEvent.DiscoveryMoved moved) {
            if (listMerge != null) {
                listMerge.onSourceChanged(moved.source());
            }
        } else if (news instanceof LocalEvent.SessionWriteCommitted wrote) {
            if (sessionNeeds != null) {
                pendingSessionWrites.merge(
                        SessionWrite.key(wrote.session()),
                        new SessionWrite(wrote.position(), wrote.replicaSet()),
                        SessionWrite.TYPE::merge);
            }
        } else if (news instanceof LocalEvent.WriteFinished written) {
            if (inDoubtWrites != null) {
                inDoubtWrites.recordOutcome(WriteOutcome.key(written.writeKey()), writeOutcome(written), now);
            }
        } else if (news instanceof LocalEvent.QuotaUsed used && fleetQuota != null) {
            fleetQuota.recordUse(quotas.get(used.limit()), used.units(), now);
        }
    }

    private WriteOutcome writeOutcome(LocalEvent.WriteFinished written) {
        var first = WriteOutcome.SentWrite.of(written.sentAt(), written.replicaSet(), written.requestClass(), null);
        return written.executed()
                ? WriteOutcome.ran(
                        first,
                        WriteOutcome.OutcomeWitness.of(
                                written.finishedAt(), membership.self().member().name(), written.nodeId()))
                : WriteOutcome.unknown(first);
    }

    /** This router knows those nodes; what it only remembers of them is not put in as news of discovery. */
    public void updateKnownNodes(EndpointList list) {
        if (list.complete()) {
            knownNodes.clear();
        }
        for (EndpointList.DiscoveredEndpoint entry : list.endpoints()) {
            String key = NodeObservation.key(entry.id());
            if (entry.state() == Endpoint.State.GONE) {
                knownNodes.remove(key);
            } else {
                knownNodes.put(key, new KnownNode(entry.id(), entry.startedAt()));
            }
        }
        if (ownObservations != null) {
            ownObservations.retainNodes(knownNodes.keySet());
        }
    }

    private void onEndpointList(String source, EndpointList list, double now) {
        updateKnownNodes(list);
        if (listMerge == null) {
            return;
        }
        var entries = new ArrayList<EndpointListMerge.EndpointUpdate>();
        boolean fits = true;
        for (EndpointList.DiscoveredEndpoint entry : list.endpoints()) {
            try {
                entries.add(toListEntry(entry, list.version(), now));
            } catch (IllegalArgumentException e) {
                fits = false;
                rejectedValues++;
            }
        }
        // Guards against calling a node gone that only could not be told: what is left out of a whole list is gone.
        listMerge.onDiscoveryUpdate(source, list.version(), list.complete() && fits, entries, now);
        Set<String> heard =
                entries.stream().map(EndpointListMerge.EndpointUpdate::id).collect(Collectors.toSet());
        // The loop has heard the same from discovery itself.
        listMerge.takeChanges().stream()
                .filter(change -> change.endpoint().revision() != list.version()
                        || !(list.complete() || heard.contains(change.id())))
                .forEach(this::deliver);
    }

    private static EndpointListMerge.EndpointUpdate toListEntry(
            EndpointList.DiscoveredEndpoint entry, long revision, double now) {
        if (entry.id().length() > MAX_ID_LENGTH) {
            throw new IllegalArgumentException("a long id");
        }
        return new EndpointListMerge.EndpointUpdate(
                entry.id(),
                new ListedEndpoint(
                        revision,
                        ListedEndpoint.EndpointState.valueOf(entry.state().name()),
                        entry.startedAt(),
                        entry.primary(),
                        entry.zone(),
                        entry.replicaSetId(),
                        entry.address().getAddress().getHostAddress(),
                        entry.address().getPort(),
                        now));
    }

    // ---- to the loop ----

    @Override
    public double tick(double now, Outbox out) {
        double next = now + SLOW_INTERVAL;
        if (ownObservations != null) {
            publishing = true;
            next = ownObservations.publish(
                    store,
                    key -> knownNodes.containsKey(key) ? knownNodes.get(key).startedAt() : 0,
                    now);
            publishing = false;
            deliver(now);
        }
        if (inDoubtWrites != null) {
            inDoubtWrites.publishResolved(now);
            writeOutcomes
                    .takeNewConflicts()
                    .forEach(row -> Log.warn(
                            "sharing conflict",
                            "sharing: command " + row.key() + " has run, says "
                                    + row.outcome().ran().source().router() + ", and has not, says "
                                    + row.outcome().notRun().source().router()));
        }
        if (now >= nextSlowTickAt) {
            nextSlowTickAt = now + SLOW_INTERVAL;
            slowTick(now);
        }
        if (listMerge != null) {
            listMerge.takeChanges().forEach(this::deliver);
        }
        if (sessionNeeds != null && now >= nextPublishAt) {
            nextPublishAt = now + PUBLISH_INTERVAL;
            pendingSessionWrites.forEach((session, mark) -> store.merge(SessionWrite.TYPE, session, mark, now));
            pendingSessionWrites.clear();
            sessionNeeds.publish(now);
        }
        return sessionNeeds == null ? next : Math.min(next, nextPublishAt);
    }

    /** All that came is put in at the next turn. */
    void publishOnNextTick() {
        nextPublishAt = Double.NEGATIVE_INFINITY;
    }

    private void slowTick(double now) {
        if (listMerge != null) {
            listMerge.renew(now);
        }
        if (fleetQuota != null) {
            fleetQuota.publish(now);
            var fresh = new EnumMap<PeerSharing.SharedQuota, Double>(PeerSharing.SharedQuota.class);
            quotas.forEach((limit, shared) -> fresh.put(limit, fleetQuota.remaining(shared, now)));
            remainingQuota = fresh;
        }
    }

    private void deliver(double now) {
        for (String key : changedNodeKeys) {
            KnownNode node = knownNodes.get(key);
            PeerObservations.NodeSummary word =
                    node == null ? null : peerObservations.summarize(node.id(), node.startedAt(), now);
            if (word != null) {
                observationQueue.put(
                        node.id(),
                        new PeerObservation(
                                word.incarnationStartedAt(),
                                word.appliedPosition(),
                                word.appliedPositionAt(),
                                word.lagSeconds(),
                                word.lagMeasuredAt(),
                                word.primaryClaimedAt(),
                                word.replicaClaimedAt(),
                                word.lastSeenAt(),
                                word.lastFailureAt(),
                                word.failedRouterCount(),
                                word.latencyRatio(),
                                word.latencyRatioWeight(),
                                word.load(),
                                word.loadWeight()));
            }
        }
        changedNodeKeys.clear();
    }

    private void deliver(EndpointListMerge.EndpointUpdate change) {
        ListedEndpoint word = change.endpoint();
        InetSocketAddress address = EndpointList.parseAddress(word.host() + ":" + word.port());
        if (address == null || word.zone().isEmpty()) {
            rejectedValues++;
            return;
        }
        endpointQueue.put(
                change.id(),
                new EndpointList(
                        word.revision(),
                        false,
                        List.of(new EndpointList.DiscoveredEndpoint(
                                change.id(),
                                address,
                                word.zone(),
                                word.replicaSet(),
                                Endpoint.State.valueOf(word.state().name()),
                                word.primary(),
                                word.incarnationStartedAt()))));
    }

    /** The position that a read of that session must cover; 0 for none. For any thread. */
    public double requiredPosition(String session, double now) {
        return sessionNeeds == null || session == null
                ? 0
                : Math.max(0, sessionNeeds.requiredPosition(SessionWrite.key(session), now));
    }

    /** For any thread. */
    double remainingQuota(PeerSharing.SharedQuota limit) {
        return remainingQuota.getOrDefault(limit, Double.POSITIVE_INFINITY);
    }

    // ---- for the log ----

    /** Each kind with its digest and how many entries there are, and how certain the copy is. */
    String summary(double now) {
        var text = new StringBuilder("digests");
        for (ReplicatedType<?> kind : enabledTypes.types()) {
            text.append(' ')
                    .append(kind.name())
                    .append('=')
                    .append(Long.toHexString(store.digest(kind, now)))
                    .append('/')
                    .append(store.size(kind));
        }
        double certain = store.completeUpTo(now);
        text.append(
                certain == Double.NEGATIVE_INFINITY
                        ? ", not certain"
                        : ", certain " + roundToTenths(now - certain) + " s ago");
        if (listMerge != null) {
            text.append(", list behind ").append(listMerge.revisionsBehind());
        }
        if (writeOutcomes != null) {
            text.append(", fates ").append(writeOutcomes.counts());
        }
        if (fleetQuota != null) {
            text.append(fleetQuota.isPartitioned(now) ? ", cut off" : "");
        }
        return text.append(", senseless ").append(rejectedValues).toString();
    }

    private static double roundToTenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    // ---- nothing comes for it ----

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of();
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        throw new IllegalArgumentException("no part is read for this");
    }
}
