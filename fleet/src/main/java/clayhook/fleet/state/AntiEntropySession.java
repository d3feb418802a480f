package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One comparison with one member, from the roots down to what differs, so that afterwards this copy has all that the
 * other had. Several questions are under way at a time; each is asked again until it is answered, and each answer makes
 * sense by itself, so that late, doubled or reordered ones do no harm. Whatever was got before it is given up stays:
 * the next one, with whomever, finds those ranges alike.
 */
final class AntiEntropySession {
    private static final int INITIAL_WINDOW = 4;
    /** Ranges with no more entries on either side are asked for entry by entry. */
    private static final int SMALL_RANGE_ENTRIES = 24;

    /** Something still to be found out. */
    private sealed interface SyncStep {
        record FetchVersions(long[] originIds) implements SyncStep {}

        record CompareRoots() implements SyncStep {}

        record CompareTreeNode(EntryTable<?> table, int level, int index) implements SyncStep {}

        record FetchRange(EntryTable<?> table, long firstHash, long lastHash) implements SyncStep {}
    }

    /** A question under way; {@code keys} of the entries that it told in brief. */
    private static final class OutstandingRequest {
        final SyncStep step;
        final StateMessage message;
        final List<String> fingerprintedKeys;
        final int encodedBytes;
        int attempts;
        double retryAt;

        OutstandingRequest(SyncStep step, StateMessage word, List<String> keys, int bytes) {
            this.step = step;
            this.message = word;
            this.fingerprintedKeys = keys;
            this.encodedBytes = bytes;
        }
    }

    final Peer peer;
    private final long sessionId;
    private final Replica replica;
    private final StateSettings settings;
    private final StateCounters counters;
    private final TokenBucket byteBudget;
    /** Last in, first out, so that no more than a few ranges a level wait. */
    private final Deque<SyncStep> pendingSteps = new ArrayDeque<>();
    /** At most {@link StateSettings#maxOutstandingRequests()}. */
    private final Map<Integer, OutstandingRequest> outstanding = new HashMap<>();
    /** What the other had before the roots were compared. */
    private final List<StateMessage.OriginVersion> peerVersions = new ArrayList<>();

    private int lastRequestId;
    private int window = INITIAL_WINDOW;
    private double lastResponseAt;
    private boolean rootsRequested;
    private boolean peerBootstrapped;
    /** All kinds were compared, and nothing that came was refused that should be here. */
    private boolean complete = true;

    private boolean done;
    private double pushedBytes;
    private double transferredBytes;

    AntiEntropySession(
            Peer peer,
            long id,
            List<Member> lacking,
            Replica copy,
            StateSettings settings,
            StateCounters counts,
            TokenBucket allowance,
            double now) {
        this.peer = peer;
        this.sessionId = id;
        this.replica = copy;
        this.settings = settings;
        this.counters = counts;
        this.byteBudget = allowance;
        lastResponseAt = now;
        for (int i = 0; i < lacking.size(); i += StateMessage.MAX_REQUESTED_ORIGINS) {
            List<Member> some = lacking.subList(i, Math.min(lacking.size(), i + StateMessage.MAX_REQUESTED_ORIGINS));
            pendingSteps.push(new SyncStep.FetchVersions(
                    some.stream().mapToLong(StableHash::ofMember).toArray()));
        }
    }

    boolean isDone() {
        return done;
    }

    /** Whether all that the other had is here now. */
    boolean isComplete() {
        return done && complete;
    }

    /** The other was brought up itself. */
    boolean isPeerBootstrapped() {
        return peerBootstrapped;
    }

    List<StateMessage.OriginVersion> peerVersions() {
        return peerVersions;
    }

    double transferredBytes() {
        return transferredBytes;
    }

    boolean isTimedOut(double now) {
        return now - lastResponseAt > settings.peerTimeout();
    }

    /** Asks what is due, and again what got no answer. */
    void sendDueRequests(double now, Outbox out) {
        for (OutstandingRequest each : outstanding.values()) {
            if (each.retryAt <= now) {
                counters.requestsRetried++;
                window = Math.max(2, window / 2);
                send(each, now, out);
            }
        }
        while (!done && outstanding.size() < window && byteBudget.hasTokens(now)) {
            SyncStep step = pendingSteps.poll();
            if (step != null) {
                startRequest(step, now, out);
            } else if (!outstanding.isEmpty()) {
                return;
            } else if (rootsRequested) {
                done = true;
            } else {
                rootsRequested = true;
                startRequest(new SyncStep.CompareRoots(), now, out);
            }
        }
    }

    private void startRequest(SyncStep step, double now, Outbox out) {
        lastRequestId++;
        OutstandingRequest question;
        if (step instanceof SyncStep.FetchVersions numbers) {
            question = new OutstandingRequest(
                    step,
                    new StateMessage.VersionVectorRequest(sessionId, lastRequestId, numbers.originIds),
                    List.of(),
                    StateMessage.HEADER_BYTES + 9 * numbers.originIds.length);
        } else if (step instanceof SyncStep.CompareTreeNode node) {
            question = new OutstandingRequest(
                    step,
                    new StateMessage.TreeNodeRequest(
                            sessionId,
                            lastRequestId,
                            node.table.type.typeNumber(),
                            node.table.digestCutoff(),
                            node.level,
                            node.index),
                    List.of(),
                    StateMessage.HEADER_BYTES);
        } else if (step instanceof SyncStep.FetchRange range) {
            question = rangeRequest(range);
        } else {
            List<StateMessage.RootDigest> roots =
                    replica.tables().stream().map(Replica::rootDigest).toList();
            question = new OutstandingRequest(
                    step,
                    new StateMessage.RootDigestsRequest(sessionId, lastRequestId, roots),
                    List.of(),
                    StateMessage.HEADER_BYTES + StateMessage.ROOT_DIGEST_BYTES * roots.size());
        }
        // A pause for want of allowance is no silence of the other.
        lastResponseAt = outstanding.isEmpty() ? now : lastResponseAt;
        outstanding.put(lastRequestId, question);
        send(question, now, out);
    }

    /** Asks for the range, or for as much of it as what is here can be told of in brief; the rest of it waits. */
    private OutstandingRequest rangeRequest(SyncStep.FetchRange range) {
        EntryTable<?> table = range.table;
        long[] briefs = new long[StateMessage.MAX_FINGERPRINTS];
        var keys = new ArrayList<String>();
        long to = range.lastHash;
        for (int slot = table.firstSlotFrom(range.firstHash);
                slot >= 0 && Long.compareUnsigned(table.keyHash(slot), range.lastHash) <= 0;
                slot = table.slotAfter(slot)) {
            if (!table.isDigested(slot)) {
                continue;
            }
            if (keys.size() == StateMessage.MAX_FINGERPRINTS) {
                to = table.keyHash(slot) - 1;
                pendingSteps.push(new SyncStep.FetchRange(table, to + 1, range.lastHash));
                break;
            }
            briefs[keys.size()] = StableHash.fingerprint(table.entryHash(slot), sessionId);
            keys.add(table.key(slot));
        }
        return new OutstandingRequest(
                new SyncStep.FetchRange(table, range.firstHash, to),
                new StateMessage.RangeRequest(
                        sessionId,
                        lastRequestId,
                        table.type.typeNumber(),
                        range.firstHash,
                        to,
                        Arrays.copyOf(briefs, keys.size())),
                keys,
                StateMessage.HEADER_BYTES + 5 * keys.size());
    }

    private void send(OutstandingRequest question, double now, Outbox out) {
        question.retryAt = now + settings.retryTimeout() * (1 << Math.min(question.attempts++, 6));
        chargeBytes(question.encodedBytes);
        counters.antiEntropyBytes += question.encodedBytes;
        out.add(peer.address(), question.message);
    }

    private void chargeBytes(int much) {
        byteBudget.consume(much);
        transferredBytes += much;
    }

    /** The question that this answers; null for none of this walk that is still open. */
    private OutstandingRequest takeOutstanding(Peer from, long walk, int ask, int size, double now) {
        OutstandingRequest question =
                walk == sessionId && from.member().equals(peer.member()) ? outstanding.remove(ask) : null;
        if (question != null) {
            lastResponseAt = now;
            window = Math.min(settings.maxOutstandingRequests(), window + 1);
            chargeBytes(size);
        }
        return question;
    }

    void onResponse(Peer from, StateMessage.VersionVectorUpdate answer, double now) {
        if (takeOutstanding(
                        from,
                        answer.sessionId(),
                        answer.requestId(),
                        StateMessage.HEADER_BYTES
                                + StateMessage.NUMBER_PAIR_BYTES
                                        * answer.versions().size(),
                        now)
                != null) {
            peerVersions.addAll(answer.versions());
        }
    }

    void onResponse(Peer from, StateMessage.RootDigestsResponse answer, double now) {
        if (takeOutstanding(
                        from,
                        answer.sessionId(),
                        answer.requestId(),
                        StateMessage.HEADER_BYTES
                                + StateMessage.ROOT_DIGEST_BYTES
                                        * answer.roots().size(),
                        now)
                == null) {
            return;
        }
        peerBootstrapped = answer.bootstrapped();
        int compared = 0;
        for (StateMessage.RootDigest root : answer.roots()) {
            EntryTable<?> table = replica.table(root.replicatedType());
            if (table != null && replica.accepts(from.member(), table)) {
                compared++;
                replica.adoptBounds(from.member(), table, root.cutoff(), root.evictionFloor(), now);
                if (table.hashTree.hashSum(0, 0) != root.hashSum()) {
                    pendingSteps.push(new SyncStep.CompareTreeNode(table, 0, 0));
                }
            }
        }
        complete &= compared == replica.tables().size();
    }

    void onResponse(Peer from, StateMessage.TreeNodeResponse answer, double now) {
        OutstandingRequest question = takeOutstanding(
                from, answer.sessionId(), answer.requestId(), StateMessage.HEADER_BYTES + 12 * HashTree.FANOUT, now);
        if (question == null || !(question.step instanceof SyncStep.CompareTreeNode node)) {
            return;
        }
        replica.adoptBounds(from.member(), node.table, answer.cutoff(), answer.evictionFloor(), now);
        int level = node.level + 1;
        for (int i = 0; i < HashTree.FANOUT; i++) {
            int index = node.index * HashTree.FANOUT + i;
            int here = node.table.hashTree.entryCount(level, index);
            if (node.table.hashTree.hashSum(level, index) != answer.hashSums()[i] || here != answer.entryCounts()[i]) {
                boolean few = level == HashTree.LEAF_LEVEL
                        || here <= SMALL_RANGE_ENTRIES && answer.entryCounts()[i] <= SMALL_RANGE_ENTRIES;
                pendingSteps.push(
                        few
                                ? new SyncStep.FetchRange(
                                        node.table, HashTree.firstHash(level, index), HashTree.lastHash(level, index))
                                : new SyncStep.CompareTreeNode(node.table, level, index));
            }
        }
    }

    /** @param settled whether all that came with it is here now or rightly not */
    void onResponse(Peer from, StateMessage.RangeEntries answer, boolean settled, double now, Outbox out) {
        int size = StateMessage.HEADER_BYTES
                + answer.entries().stream()
                        .mapToInt(StateMessage.RangeEntry::maxEncodedBytes)
                        .sum();
        OutstandingRequest question = takeOutstanding(from, answer.sessionId(), answer.requestId(), size, now);
        if (question == null || !(question.step instanceof SyncStep.FetchRange range)) {
            return;
        }
        complete &= settled;
        if (Long.compareUnsigned(answer.coveredTo(), range.lastHash) < 0) {
            pendingSteps.push(new SyncStep.FetchRange(range.table, answer.coveredTo() + 1, range.lastHash));
        }
        pushEntries(range.table, question.fingerprintedKeys, answer.presentMask(), out);
    }

    /** Sends the other what it lacks, as far as one walk may. */
    private void pushEntries(EntryTable<?> table, List<String> keys, long had, Outbox out) {
        var entries = new ArrayList<StateMessage.RangeEntry>();
        int room = Packet.MAX_MESSAGE_BYTES - StateMessage.HEADER_BYTES;
        for (int i = 0; i < keys.size() && pushedBytes < settings.maxPushBytes(); i++) {
            byte[] value = (had >>> i & 1) == 0 ? table.encodedValue(keys.get(i), StableHash.ofKey(keys.get(i))) : null;
            if (value == null) {
                continue;
            }
            var entry = new StateMessage.RangeEntry(keys.get(i), value);
            if (entry.maxEncodedBytes() > room) {
                pushEntries(table, entries, out);
                entries = new ArrayList<>();
                room = Packet.MAX_MESSAGE_BYTES - StateMessage.HEADER_BYTES;
            }
            entries.add(entry);
            room -= entry.maxEncodedBytes();
        }
        pushEntries(table, entries, out);
    }

    private void pushEntries(EntryTable<?> table, List<StateMessage.RangeEntry> entries, Outbox out) {
        if (!entries.isEmpty()) {
            int size = StateMessage.HEADER_BYTES
                    + entries.stream()
                            .mapToInt(StateMessage.RangeEntry::maxEncodedBytes)
                            .sum();
            pushedBytes += size;
            chargeBytes(size);
            counters.antiEntropyBytes += size;
            out.add(
                    peer.address(),
                    new StateMessage.RangeEntries(
                            0, 0, table.type.typeNumber(), table.evictionFloor(), 0, 0, List.copyOf(entries)));
        }
    }
}
