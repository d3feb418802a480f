package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.state.AntiEntropyRequest.RangeRequest;
import clayhook.fleet.state.AntiEntropyRequest.RootDigestsRequest;
import clayhook.fleet.state.AntiEntropyRequest.TreeNodeRequest;
import clayhook.fleet.state.AntiEntropyRequest.VersionVectorRequest;
import clayhook.fleet.state.AntiEntropyResponse.ChildDigest;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntries;
import clayhook.fleet.state.AntiEntropyResponse.RootDigestsResponse;
import clayhook.fleet.state.AntiEntropyResponse.TreeNodeResponse;
import clayhook.fleet.state.AntiEntropyResponse.VersionVectorUpdate;
import clayhook.fleet.state.SyncStep.CompareRoots;
import clayhook.fleet.state.SyncStep.CompareTreeNode;
import clayhook.fleet.state.SyncStep.FetchRange;
import clayhook.fleet.state.SyncStep.FetchVersions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One comparison of this replica with that of a peer, from the root digests down to the entries that differ. After a
 * complete session this replica has all entries that the peer had at its start. Several requests are outstanding at a
 * time. Each is retried until it is answered, and each response can be applied independently, so late, duplicated or
 * reordered responses are harmless. Entries fetched by an abandoned session are kept, so that the next session, with
 * any peer, does not fetch them again. Not thread-safe.
 */
final class AntiEntropySession {
    /**
     * Maximum number of entries on either side of a range that is fetched instead of compared on the next tree level.
     */
    private static final int SMALL_RANGE_ENTRIES = 24;

    final Peer peer;
    private final long sessionId;
    private final Replica replica;
    private final StateSettings settings;
    private final StateCounters counters;
    private final TokenBucket byteBudget;
    /**
     * Steps that still have to be done, last in, first out, so that at most a few ranges of each tree level are queued.
     */
    private final Deque<SyncStep> pendingSteps = new ArrayDeque<>();

    private final RequestWindow requests;
    private final EntryPusher pusher;
    /** The peer's versions of the origins with missing updates, received before the root digests were compared. */
    private final List<OriginVersion> peerVersions = new ArrayList<>();

    private boolean rootsRequested;
    private boolean peerBootstrapped;
    /**
     * Whether all types were compared and no fetched entry was rejected, except expired entries and entries at or below
     * the eviction floor.
     */
    private boolean complete = true;

    private boolean done;
    private double transferredBytes;

    /**
     * @param sessionId session id; not 0
     * @param incompleteMembers members some of whose updates are missing in this replica
     * @param byteBudget bandwidth limit, shared by consecutive sessions
     */
    AntiEntropySession(
            Peer peer,
            long sessionId,
            List<Member> incompleteMembers,
            Replica replica,
            StateSettings settings,
            StateCounters counters,
            TokenBucket byteBudget,
            double now) {
        this.peer = peer;
        this.sessionId = sessionId;
        this.replica = replica;
        this.settings = settings;
        this.counters = counters;
        this.byteBudget = byteBudget;
        requests = new RequestWindow(settings, counters, now);
        pusher = new EntryPusher(settings.maxPushBytes());
        queueVersionSteps(incompleteMembers);
    }

    private void queueVersionSteps(List<Member> members) {
        for (int from = 0; from < members.size(); from += VersionVectorRequest.MAX_REQUESTED_ORIGINS) {
            int to = Math.min(members.size(), from + VersionVectorRequest.MAX_REQUESTED_ORIGINS);
            pendingSteps.push(new FetchVersions(members.subList(from, to)));
        }
    }

    boolean isDone() {
        return done;
    }

    /** Whether the session is done and this replica has all entries that the peer had. */
    boolean isComplete() {
        return done && complete;
    }

    /** Whether the peer reported that its replica is bootstrapped. */
    boolean isPeerBootstrapped() {
        return peerBootstrapped;
    }

    /**
     * The peer's versions at the start of the session. This replica has their updates too once the session is complete.
     */
    List<OriginVersion> peerVersions() {
        return peerVersions;
    }

    /** The number of bytes sent and received by this session. */
    double transferredBytes() {
        return transferredBytes;
    }

    /** Whether the peer has not answered for {@link StateSettings#peerTimeout}. */
    boolean isTimedOut(double now) {
        return requests.isTimedOut(now);
    }

    // ---- requests ----

    /**
     * Retries requests whose retry timeout has elapsed and sends new ones as far as the request window and the
     * bandwidth allow.
     */
    void sendDueRequests(double now, Outbox outbox) {
        requests.retryDue(now, request -> transmit(request, now, outbox));
        while (!done && requests.hasRoom() && byteBudget.hasTokens(now)) {
            SyncStep step = pendingSteps.poll();
            if (step != null) {
                startRequest(step, now, outbox);
            } else if (!requests.isEmpty()) {
                return;
            } else if (rootsRequested) {
                done = true;
            } else {
                rootsRequested = true;
                startRequest(new CompareRoots(), now, outbox);
            }
        }
    }

    private void startRequest(SyncStep step, double now, Outbox outbox) {
        OutstandingRequest request = createRequest(step, requests.nextRequestId());
        requests.add(request, now);
        transmit(request, now, outbox);
    }

    private OutstandingRequest createRequest(SyncStep step, int requestId) {
        if (step instanceof FetchRange range) {
            return createRangeRequest(range, requestId);
        }
        return new OutstandingRequest(step, createMessage(step, requestId), List.of());
    }

    private AntiEntropyRequest createMessage(SyncStep step, int requestId) {
        if (step instanceof FetchVersions versions) {
            List<Long> originIds =
                    versions.members().stream().map(StableHash::ofMember).toList();
            return new VersionVectorRequest(sessionId, requestId, originIds);
        }
        if (step instanceof CompareTreeNode node) {
            EntryTable<?> table = node.table();
            return new TreeNodeRequest(
                    sessionId, requestId, table.type.typeNumber(), table.digestCutoff(), node.level(), node.index());
        }
        List<RootDigest> roots =
                replica.tables().stream().map(EntryTable::rootDigest).toList();
        return new RootDigestsRequest(sessionId, requestId, roots);
    }

    /**
     * Creates a request for the range, or for the part of it whose fingerprints fit into one request, and queues the
     * rest.
     */
    private OutstandingRequest createRangeRequest(FetchRange range, int requestId) {
        EntryTable<?> table = range.table();
        var fingerprints = new ArrayList<Integer>();
        var keys = new ArrayList<String>();
        long lastHash = range.lastHash();
        for (int slot = table.firstDigestedSlot(range.firstHash(), range.lastHash());
                slot >= 0;
                slot = table.nextDigestedSlot(slot, range.lastHash())) {
            if (keys.size() == RangeRequest.MAX_FINGERPRINTS) {
                lastHash = table.keyHash(slot) - 1;
                pendingSteps.push(new FetchRange(table, lastHash + 1, range.lastHash()));
                break;
            }
            fingerprints.add(StableHash.fingerprint(table.entryHash(slot), sessionId));
            keys.add(table.key(slot));
        }
        var message = new RangeRequest(
                sessionId, requestId, table.type.typeNumber(), range.firstHash(), lastHash, fingerprints);
        return new OutstandingRequest(new FetchRange(table, range.firstHash(), lastHash), message, keys);
    }

    private void transmit(OutstandingRequest request, double now, Outbox outbox) {
        request.onSent(settings.retryTimeout(), now);
        transmit(request.message(), outbox);
    }

    private void transmit(StateMessage message, Outbox outbox) {
        int bytes = message.maxEncodedBytes();
        chargeBytes(bytes);
        counters.antiEntropyBytes += bytes;
        outbox.add(peer.address(), message);
    }

    private void chargeBytes(int bytes) {
        byteBudget.consume(bytes);
        transferredBytes += bytes;
    }

    // ---- responses ----

    /**
     * Processes a response whose entries or versions were already applied. Ignores a response that does not answer an
     * outstanding request of this session.
     *
     * @param allAcceptedOrObsolete whether each entry of the response is in this replica now, has expired or is at or
     *     below the eviction floor
     */
    void onResponse(Peer from, AntiEntropyResponse response, boolean allAcceptedOrObsolete, double now, Outbox outbox) {
        boolean fromThisSession =
                response.sessionId() == sessionId && from.member().equals(peer.member());
        Optional<OutstandingRequest> answered =
                fromThisSession ? requests.complete(response.requestId(), now) : Optional.empty();
        if (answered.isEmpty()) {
            return;
        }
        chargeBytes(response.maxEncodedBytes());
        OutstandingRequest request = answered.get();
        if (response instanceof VersionVectorUpdate update) {
            peerVersions.addAll(update.versions());
        } else if (response instanceof RootDigestsResponse roots) {
            compareRoots(roots, now);
        } else if (response instanceof TreeNodeResponse node && request.step() instanceof CompareTreeNode step) {
            compareChildren(step, node, now);
        } else if (response instanceof RangeEntries entries && request.step() instanceof FetchRange step) {
            complete &= allAcceptedOrObsolete;
            finishRange(step, request.fingerprintedKeys(), entries, outbox);
        }
    }

    private void compareRoots(RootDigestsResponse response, double now) {
        peerBootstrapped = response.bootstrapped();
        int comparedTypes = 0;
        for (RootDigest root : response.roots()) {
            EntryTable<?> table = replica.table(root.replicatedType());
            if (table != null && replica.accepts(peer.member(), table)) {
                comparedTypes++;
                replica.adoptBounds(peer.member(), table, root.digestCutoff(), root.evictionFloor(), now);
                if (table.hashTree().rootSum() != root.hashSum()) {
                    pendingSteps.push(new CompareTreeNode(table, HashTree.ROOT_LEVEL, 0));
                }
            }
        }
        complete &= comparedTypes == replica.tables().size();
    }

    private void compareChildren(CompareTreeNode parent, TreeNodeResponse response, double now) {
        EntryTable<?> table = parent.table();
        replica.adoptBounds(peer.member(), table, response.digestCutoff(), response.evictionFloor(), now);
        HashTree tree = table.hashTree();
        int level = parent.level() + 1;
        for (int child = 0; child < HashTree.FANOUT; child++) {
            int index = parent.index() * HashTree.FANOUT + child;
            ChildDigest peerDigest = response.children().get(child);
            int count = tree.entryCount(level, index);
            if (tree.hashSum(level, index) != peerDigest.hashSum() || count != peerDigest.entryCount()) {
                boolean isSmall = count <= SMALL_RANGE_ENTRIES && peerDigest.entryCount() <= SMALL_RANGE_ENTRIES;
                pendingSteps.push(nextStep(table, level, index, isSmall));
            }
        }
    }

    private static SyncStep nextStep(EntryTable<?> table, int level, int index, boolean isSmall) {
        return isSmall || level == HashTree.LEAF_LEVEL
                ? new FetchRange(table, HashTree.firstHash(level, index), HashTree.lastHash(level, index))
                : new CompareTreeNode(table, level, index);
    }

    private void finishRange(FetchRange range, List<String> fingerprintedKeys, RangeEntries response, Outbox outbox) {
        if (Long.compareUnsigned(response.coveredTo(), range.lastHash()) < 0) {
            pendingSteps.push(new FetchRange(range.table(), response.coveredTo() + 1, range.lastHash()));
        }
        pusher.pushMissing(
                range.table(), fingerprintedKeys, response.presentMask(), entries -> transmit(entries, outbox));
    }
}
