package clayhook.fleet.state;

import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The queue of recently changed entries that are being broadcast. Entries that were broadcast in the fewest rounds come
 * first, and among these the ones that changed last. An entry leaves the queue after a number of rounds, when its
 * change is too old, when it is removed from its table, or when the queue is full. Anti-entropy replicates entries that
 * left the queue too early. Not thread-safe.
 */
final class DeltaBroadcastQueue {
    /** Maximum number of rounds in which an entry is broadcast; sufficient for a fleet of any size. */
    private static final int MAX_ROUNDS = 15;

    /** The pending deltas by table and key, at most {@link #maxPending} in total. */
    private final Map<EntryTable<?>, Map<String, PendingDelta>> byKey = new HashMap<>();
    /** One circular list for each number of completed rounds, the latest change first. */
    private final PendingDelta[] listsByRounds = new PendingDelta[MAX_ROUNDS];

    private final int maxPending;
    private final double lifetimeSeconds;
    private final StateCounters counters;
    private int size;

    DeltaBroadcastQueue(Iterable<EntryTable<?>> tables, StateSettings settings, StateCounters counters) {
        maxPending = settings.maxPendingDeltas();
        lifetimeSeconds = settings.deltaLifetime();
        this.counters = counters;
        Arrays.setAll(listsByRounds, rounds -> PendingDelta.listHead());
        tables.forEach(this::addTable);
    }

    private void addTable(EntryTable<?> table) {
        var deltas = new HashMap<String, PendingDelta>();
        byKey.put(table, deltas);
        // A new entry with the same key does not include the updates of the removed one.
        table.setRemovalListener(key -> removeIfPending(deltas.get(key)));
    }

    private void removeIfPending(PendingDelta delta) {
        if (delta != null) {
            remove(delta);
        }
    }

    boolean isEmpty() {
        return size == 0;
    }

    /**
     * Queues an entry that has changed or was found to include the given updates. If the queue is full, drops the entry
     * that was broadcast in the most rounds.
     *
     * @param newUpdates updates that the value includes and that were not recorded as received before
     */
    void enqueue(EntryTable<?> table, String key, long keyHash, List<UpdateId> newUpdates, double now) {
        PendingDelta delta = byKey.get(table).get(key);
        if (delta == null) {
            delta = new PendingDelta(table, key, keyHash);
            byKey.get(table).put(key, delta);
            size++;
        }
        delta.onChange(newUpdates, now);
        delta.unlink();
        delta.linkAfter(listsByRounds[0]);
        if (size > maxPending) {
            abandon(mostBroadcastDelta());
        }
    }

    /** Counts a round for an entry of which another member broadcast the same value. */
    void onDuplicate(EntryTable<?> table, String key, int rounds) {
        PendingDelta delta = byKey.get(table).get(key);
        if (delta != null) {
            completeRound(delta, rounds);
        }
    }

    /** Removes entries whose last change is longer ago than {@link StateSettings#deltaLifetime}. */
    void removeExpired(double now) {
        for (PendingDelta head : listsByRounds) {
            while (head.previous() != head && head.previous().changedAt() + lifetimeSeconds < now) {
                abandon(head.previous());
            }
        }
    }

    /**
     * Returns the entries to broadcast next, in batches, and counts a round for each.
     *
     * @param maxBytes maximum encoded size of the entries of a batch
     * @param rounds number of rounds in which each entry is broadcast
     */
    List<List<DeltaEntry>> nextBatches(int maxBatches, int maxBytes, int rounds) {
        var batches = new BatchBuilder(maxBatches, maxBytes);
        var batched = new ArrayList<PendingDelta>();
        for (PendingDelta head : listsByRounds) {
            if (!addToBatches(head, batches, batched)) {
                break;
            }
        }
        batched.forEach(delta -> completeRound(delta, rounds));
        return batches.batches;
    }

    /** Adds the entries of one list to the batches. Returns false if the batches are full. */
    private static boolean addToBatches(PendingDelta head, BatchBuilder batches, List<PendingDelta> batched) {
        for (PendingDelta delta = head.next(); delta != head; delta = delta.next()) {
            if (!batches.add(delta.toEntry())) {
                return false;
            }
            batched.add(delta);
        }
        return true;
    }

    private void completeRound(PendingDelta delta, int rounds) {
        delta.completeRound(rounds);
        if (delta.completedRounds() >= Math.min(rounds, MAX_ROUNDS)) {
            remove(delta);
        } else {
            delta.unlink();
            delta.linkAfter(listsByRounds[delta.completedRounds()]);
        }
    }

    /** Returns the entry that was broadcast in the most rounds; among several, the one with the oldest change. */
    private PendingDelta mostBroadcastDelta() {
        for (int rounds = MAX_ROUNDS - 1; rounds >= 0; rounds--) {
            PendingDelta head = listsByRounds[rounds];
            if (head.previous() != head) {
                return head.previous();
            }
        }
        throw new IllegalStateException("no entry is pending");
    }

    private void abandon(PendingDelta delta) {
        counters.deltasAbandoned++;
        remove(delta);
    }

    private void remove(PendingDelta delta) {
        delta.unlink();
        byKey.get(delta.table).remove(delta.key);
        size--;
    }

    /** Fills up to {@code maxBatches} batches, one after the other. */
    private static final class BatchBuilder {
        private final List<List<DeltaEntry>> batches = new ArrayList<>();
        private final int maxBatches;
        private final int maxBytes;
        private int bytesLeft;

        BatchBuilder(int maxBatches, int maxBytes) {
            this.maxBatches = maxBatches;
            this.maxBytes = maxBytes;
        }

        /** Returns false, without adding the entry, if all batches are full. */
        boolean add(DeltaEntry entry) {
            int bytes = entry.maxEncodedBytes();
            if (bytes > bytesLeft) {
                if (batches.size() == maxBatches) {
                    return false;
                }
                batches.add(new ArrayList<>());
                bytesLeft = maxBytes;
            }
            batches.get(batches.size() - 1).add(entry);
            bytesLeft -= bytes;
            return true;
        }
    }
}
