package clayhook.fleet.state;

import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.state.AntiEntropyRequest.RangeRequest;
import clayhook.fleet.state.AntiEntropyRequest.RootDigestsRequest;
import clayhook.fleet.state.AntiEntropyRequest.TreeNodeRequest;
import clayhook.fleet.state.AntiEntropyRequest.VersionVectorRequest;
import clayhook.fleet.state.AntiEntropyResponse.ChildDigest;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntries;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntry;
import clayhook.fleet.state.AntiEntropyResponse.RootDigestsResponse;
import clayhook.fleet.state.AntiEntropyResponse.TreeNodeResponse;
import clayhook.fleet.state.AntiEntropyResponse.VersionVectorUpdate;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Answers requests of other members' anti-entropy sessions within a bandwidth limit. Keeps no session state, only a
 * queue of requests that wait for bandwidth. Not thread-safe.
 */
final class AntiEntropyResponder {
    /** Maximum number of requests that wait for bandwidth. Requests beyond it are dropped; their senders retry them. */
    private static final int MAX_QUEUED_REQUESTS = 256;
    /**
     * Maximum number of responses per tick, which bounds the duration of a tick; a response contains about 30 entries.
     */
    private static final int MAX_RESPONSES_PER_TICK = 32;

    private record QueuedRequest(Peer from, AntiEntropyRequest request) {}

    private final Replica replica;
    private final VersionVector versionVector;
    private final BootstrapStatus bootstrap;
    private final StateSettings settings;
    private final StateCounters counters;
    private final TokenBucket byteBudget;
    /**
     * Requests that wait for bandwidth, at most {@link #MAX_QUEUED_REQUESTS}; {@link #tick} removes those that it
     * answers.
     */
    private final ArrayDeque<QueuedRequest> queuedRequests = new ArrayDeque<>();

    AntiEntropyResponder(
            Replica replica,
            VersionVector versionVector,
            BootstrapStatus bootstrap,
            StateSettings settings,
            StateCounters counters,
            double now) {
        this.replica = replica;
        this.versionVector = versionVector;
        this.bootstrap = bootstrap;
        this.settings = settings;
        this.counters = counters;
        byteBudget = new TokenBucket(settings.catchUpBytesPerSecond(), now);
    }

    /** Whether no request waits for bandwidth. */
    boolean isIdle() {
        return queuedRequests.isEmpty();
    }

    /**
     * Answers a request immediately if bandwidth is available and no earlier request waits; otherwise queues it, or
     * drops it if the queue is full.
     */
    void onRequest(Peer from, AntiEntropyRequest request, double now, Outbox outbox) {
        if (queuedRequests.isEmpty() && byteBudget.hasTokens(now)) {
            respond(from, request, now, outbox);
        } else if (queuedRequests.size() < MAX_QUEUED_REQUESTS) {
            queuedRequests.add(new QueuedRequest(from, request));
        } else {
            counters.requestsDropped++;
        }
    }

    /** Answers queued requests as far as bandwidth and {@link #MAX_RESPONSES_PER_TICK} allow. */
    void tick(double now, Outbox outbox) {
        int responses = 0;
        while (responses < MAX_RESPONSES_PER_TICK && !queuedRequests.isEmpty() && byteBudget.hasTokens(now)) {
            QueuedRequest queued = queuedRequests.poll();
            respond(queued.from, queued.request, now, outbox);
            responses++;
        }
    }

    private void respond(Peer from, AntiEntropyRequest request, double now, Outbox outbox) {
        if (request instanceof VersionVectorRequest versions) {
            send(from, versionVector(versions, now), outbox);
        } else if (request instanceof RootDigestsRequest roots) {
            send(from, rootDigests(from, roots, now), outbox);
        } else if (request instanceof TreeNodeRequest node && replica.table(node.replicatedType()) != null) {
            send(from, treeNode(node, replica.table(node.replicatedType()), now), outbox);
        } else if (request instanceof RangeRequest range && replica.table(range.replicatedType()) != null) {
            send(from, rangeEntries(range, replica.table(range.replicatedType())), outbox);
        }
    }

    private void send(Peer to, AntiEntropyResponse response, Outbox outbox) {
        int bytes = response.maxEncodedBytes();
        byteBudget.consume(bytes);
        counters.antiEntropyBytes += bytes;
        outbox.add(to.address(), response);
    }

    private VersionVectorUpdate versionVector(VersionVectorRequest request, double now) {
        List<OriginVersion> versions = versionVector.knownVersions(request.originIds(), now);
        return new VersionVectorUpdate(request.sessionId(), request.requestId(), now, versions);
    }

    /**
     * Returns the root digests of the types that both replicas have. Clock-dependent types are left out if the
     * requester's clock is off by more than the bound.
     */
    private RootDigestsResponse rootDigests(Peer from, RootDigestsRequest request, double now) {
        var roots = new ArrayList<RootDigest>();
        for (RootDigest root : request.roots()) {
            EntryTable<?> table = replica.table(root.replicatedType());
            if (table != null && replica.accepts(from.member(), table)) {
                replica.adoptBounds(from.member(), table, root.digestCutoff(), root.evictionFloor(), now);
                roots.add(table.rootDigest());
            }
        }
        return new RootDigestsResponse(request.sessionId(), request.requestId(), bootstrap.isBootstrapped(now), roots);
    }

    private TreeNodeResponse treeNode(TreeNodeRequest request, EntryTable<?> table, double now) {
        table.raiseCutoff(request.digestCutoff(), now, settings.maxSweptEntries());
        HashTree tree = table.hashTree();
        int level = request.level() + 1;
        var children = new ArrayList<ChildDigest>(HashTree.FANOUT);
        for (int child = 0; child < HashTree.FANOUT; child++) {
            int index = request.index() * HashTree.FANOUT + child;
            children.add(new ChildDigest(tree.hashSum(level, index), tree.entryCount(level, index)));
        }
        return new TreeNodeResponse(
                request.sessionId(), request.requestId(), table.digestCutoff(), table.evictionFloor(), children);
    }

    /** Returns the entries of the range that the requester does not have, as many as fit into one message. */
    private static RangeEntries rangeEntries(RangeRequest request, EntryTable<?> table) {
        var entries = new ArrayList<RangeEntry>();
        int bytesLeft = Packet.MAX_MESSAGE_BYTES - EncodedSizes.HEADER_BYTES;
        long presentMask = 0;
        long coveredTo = request.lastHash();
        for (int slot = table.firstDigestedSlot(request.firstHash(), request.lastHash());
                slot >= 0;
                slot = table.nextDigestedSlot(slot, request.lastHash())) {
            int fingerprint = StableHash.fingerprint(table.entryHash(slot), request.sessionId());
            int index = request.fingerprints().indexOf(fingerprint);
            if (index >= 0) {
                presentMask |= 1L << index;
            } else if (bytesLeft >= 0) {
                var entry = new RangeEntry(table.key(slot), table.encodedValue(slot));
                bytesLeft -= entry.maxEncodedBytes();
                if (bytesLeft >= 0) {
                    entries.add(entry);
                } else {
                    coveredTo = table.keyHash(slot) - 1;
                }
            }
        }
        return new RangeEntries(
                request.sessionId(),
                request.requestId(),
                request.replicatedType(),
                table.evictionFloor(),
                coveredTo,
                presentMask,
                entries);
    }
}
