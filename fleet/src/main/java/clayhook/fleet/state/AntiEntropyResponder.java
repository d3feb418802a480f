package clayhook.fleet.state;

import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * What this router tells those that compare their copies with its own. Keeps nothing of them but questions that must
 * wait.
 */
final class AntiEntropyResponder {
    /** Questions that wait until bytes may be spent again; more are dropped and asked again. */
    private static final int MAX_QUEUED_REQUESTS = 256;
    /** Answered in one turn, some 30 entries each. */
    private static final int MAX_RESPONSES_PER_TICK = 32;

    private record QueuedRequest(Peer from, StateMessage request) {}

    private final Replica replica;
    private final VersionVector versionVector;
    private final StateSettings settings;
    private final StateCounters counters;
    private final TokenBucket byteBudget;
    private final ArrayDeque<QueuedRequest> queuedRequests = new ArrayDeque<>();

    AntiEntropyResponder(
            Replica copy, VersionVector origins, StateSettings settings, StateCounters counts, double now) {
        this.replica = copy;
        this.versionVector = origins;
        this.settings = settings;
        this.counters = counts;
        byteBudget = new TokenBucket(settings.catchUpBytesPerSecond(), now);
    }

    boolean isIdle() {
        return queuedRequests.isEmpty();
    }

    void onRequest(Peer from, StateMessage word, BooleanSupplier whole, double now, Outbox out) {
        if (queuedRequests.isEmpty() && byteBudget.hasTokens(now)) {
            respond(from, word, whole, now, out);
        } else if (queuedRequests.size() < MAX_QUEUED_REQUESTS) {
            queuedRequests.add(new QueuedRequest(from, word));
        } else {
            counters.requestsDropped++;
        }
    }

    void tick(BooleanSupplier whole, double now, Outbox out) {
        for (int i = 0; i < MAX_RESPONSES_PER_TICK && !queuedRequests.isEmpty() && byteBudget.hasTokens(now); i++) {
            QueuedRequest question = queuedRequests.poll();
            respond(question.from, question.request, whole, now, out);
        }
    }

    private void respond(Peer from, StateMessage word, BooleanSupplier whole, double now, Outbox out) {
        if (word instanceof StateMessage.VersionVectorRequest ask) {
            List<StateMessage.OriginVersion> pairs = versionVector.knownVersions(ask.originIds(), now);
            send(
                    from,
                    new StateMessage.VersionVectorUpdate(ask.sessionId(), ask.requestId(), now, pairs),
                    StateMessage.HEADER_BYTES + StateMessage.NUMBER_PAIR_BYTES * pairs.size(),
                    out);
        } else if (word instanceof StateMessage.RootDigestsRequest ask) {
            List<StateMessage.RootDigest> roots = rootDigests(from, ask, now);
            send(
                    from,
                    new StateMessage.RootDigestsResponse(ask.sessionId(), ask.requestId(), whole.getAsBoolean(), roots),
                    StateMessage.HEADER_BYTES + StateMessage.ROOT_DIGEST_BYTES * roots.size(),
                    out);
        } else if (word instanceof StateMessage.TreeNodeRequest ask && replica.table(ask.replicatedType()) != null) {
            send(
                    from,
                    treeNode(ask, replica.table(ask.replicatedType()), now),
                    StateMessage.HEADER_BYTES + 2 * StateMessage.NUMBER_PAIR_BYTES / 3 * HashTree.FANOUT,
                    out);
        } else if (word instanceof StateMessage.RangeRequest ask && replica.table(ask.replicatedType()) != null) {
            StateMessage.RangeEntries entries = rangeEntries(ask, replica.table(ask.replicatedType()));
            send(
                    from,
                    entries,
                    StateMessage.HEADER_BYTES
                            + entries.entries().stream()
                                    .mapToInt(StateMessage.RangeEntry::maxEncodedBytes)
                                    .sum(),
                    out);
        }
    }

    private void send(Peer to, StateMessage word, int bytes, Outbox out) {
        byteBudget.consume(bytes);
        counters.antiEntropyBytes += bytes;
        out.add(to.address(), word);
    }

    /** Of all kinds that both know and that the other may be heard on. */
    private List<StateMessage.RootDigest> rootDigests(Peer from, StateMessage.RootDigestsRequest ask, double now) {
        var out = new ArrayList<StateMessage.RootDigest>();
        for (StateMessage.RootDigest root : ask.roots()) {
            EntryTable<?> table = replica.table(root.replicatedType());
            if (table != null && replica.accepts(from.member(), table)) {
                replica.adoptBounds(from.member(), table, root.cutoff(), root.evictionFloor(), now);
                out.add(Replica.rootDigest(table));
            }
        }
        return out;
    }

    private StateMessage.TreeNodeResponse treeNode(StateMessage.TreeNodeRequest ask, EntryTable<?> table, double now) {
        table.raiseCutoff(ask.cutoff(), now, settings.maxSweptEntries());
        int level = ask.level() + 1;
        long[] sums = new long[HashTree.FANOUT];
        long[] sizes = new long[HashTree.FANOUT];
        for (int i = 0; i < HashTree.FANOUT; i++) {
            sums[i] = table.hashTree.hashSum(level, ask.index() * HashTree.FANOUT + i);
            sizes[i] = table.hashTree.entryCount(level, ask.index() * HashTree.FANOUT + i);
        }
        return new StateMessage.TreeNodeResponse(
                ask.sessionId(), ask.requestId(), table.digestCutoff(), table.evictionFloor(), sums, sizes);
    }

    /** All that the other lacks in the range, as far as it fits. */
    private <V> StateMessage.RangeEntries rangeEntries(StateMessage.RangeRequest ask, EntryTable<V> table) {
        var entries = new ArrayList<StateMessage.RangeEntry>();
        int room = Packet.MAX_MESSAGE_BYTES - StateMessage.HEADER_BYTES;
        long had = 0;
        long upTo = ask.lastHash();
        boolean full = false;
        for (int slot = table.firstSlotFrom(ask.firstHash());
                slot >= 0 && Long.compareUnsigned(table.keyHash(slot), ask.lastHash()) <= 0;
                slot = table.slotAfter(slot)) {
            if (!table.isDigested(slot)) {
                continue;
            }
            int at = indexOfFingerprint(
                    ask.fingerprints(), StableHash.fingerprint(table.entryHash(slot), ask.sessionId()));
            if (at >= 0) {
                had |= 1L << at;
            } else if (!full) {
                var entry = new StateMessage.RangeEntry(table.key(slot), table.encode(table.value(slot)));
                room -= entry.maxEncodedBytes();
                full = room < 0;
                if (full) {
                    upTo = table.keyHash(slot) - 1;
                } else {
                    entries.add(entry);
                }
            }
        }
        return new StateMessage.RangeEntries(
                ask.sessionId(), ask.requestId(), ask.replicatedType(), table.evictionFloor(), upTo, had, entries);
    }

    private static int indexOfFingerprint(long[] briefs, int brief) {
        for (int i = 0; i < briefs.length; i++) {
            if ((int) briefs[i] == brief) {
                return i;
            }
        }
        return -1;
    }
}
