package clayhook.fleet.state;

import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The entries that changed lately and are being broadcast: those that were broadcast in the fewest rounds first, and of
 * these the ones that changed last. An entry leaves the queue after a number of rounds, when it is too old, when it is
 * removed from its table, or when there are too many; anti-entropy spreads what was not broadcast often enough. Not
 * thread-safe.
 */
final class DeltaBroadcastQueue {
    /** An entry is broadcast in so many rounds at most; enough for any fleet. */
    private static final int MAX_ROUNDS = 15;

    /** By table and key; at most {@link #maxPending} in all, which leave as described above. */
    private final Map<EntryTable<?>, Map<String, PendingDelta>> byKey = new HashMap<>();
    /** A ring for each number of completed rounds, the latest change first. */
    private final PendingDelta[] ringsByRounds = new PendingDelta[MAX_ROUNDS];

    private final int maxPending;
    private final double lifetimeSeconds;
    private final StateCounters counters;
    private int size;

    DeltaBroadcastQueue(Iterable<EntryTable<?>> tables, StateSettings settings, StateCounters counters) {
        maxPending = settings.maxPendingDeltas();
        lifetimeSeconds = settings.deltaLifetime();
        this.counters = counters;
        Arrays.setAll(ringsByRounds, rounds -> PendingDelta.ringHead());
        tables.forEach(this::addTable);
    }

    private void addTable(EntryTable<?> table) {
        var deltas = new HashMap<String, PendingDelta>();
        byKey.put(table, deltas);
        // An entry that is written anew under the same key does not include the updates of the one that was removed.
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
     * Queues an entry that has changed, or is known only now to include those updates.
     *
     * @param newUpdates updates that the value includes and that were not known to be here before
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
        delta.linkAfter(ringsByRounds[0]);
        if (size > maxPending) {
            abandon(mostBroadcast());
        }
    }

    /** Counts a round for an entry that another member broadcast just as it is here. */
    void onDuplicate(EntryTable<?> table, String key, int rounds) {
        PendingDelta delta = byKey.get(table).get(key);
        if (delta != null) {
            completeRound(delta, rounds);
        }
    }

    /** Removes entries that changed too long ago. */
    void removeExpired(double now) {
        for (PendingDelta head : ringsByRounds) {
            while (head.previous() != head && head.previous().changedAt() + lifetimeSeconds < now) {
                abandon(head.previous());
            }
        }
    }

    /**
     * Takes the entries to broadcast next, and counts a round for each.
     *
     * @param maxBytes of the entries of a batch
     * @param rounds in which each entry is broadcast
     */
    List<List<DeltaEntry>> nextBatches(int maxBatches, int maxBytes, int rounds) {
        var batches = new BatchBuilder(maxBatches, maxBytes);
        var taken = new ArrayList<PendingDelta>();
        for (PendingDelta head : ringsByRounds) {
            if (!takeRing(head, batches, taken)) {
                break;
            }
        }
        taken.forEach(delta -> completeRound(delta, rounds));
        return batches.batches;
    }

    /** Returns false if the batches are full. */
    private static boolean takeRing(PendingDelta head, BatchBuilder batches, List<PendingDelta> taken) {
        for (PendingDelta delta = head.next(); delta != head; delta = delta.next()) {
            if (!batches.add(delta.toEntry())) {
                return false;
            }
            taken.add(delta);
        }
        return true;
    }

    private void completeRound(PendingDelta delta, int rounds) {
        delta.completeRound(rounds);
        if (delta.completedRounds() >= Math.min(rounds, MAX_ROUNDS)) {
            remove(delta);
        } else {
            delta.unlink();
            delta.linkAfter(ringsByRounds[delta.completedRounds()]);
        }
    }

    /** Of the entries that were broadcast in the most rounds, the one that changed first. */
    private PendingDelta mostBroadcast() {
        for (int rounds = MAX_ROUNDS - 1; rounds >= 0; rounds--) {
            PendingDelta head = ringsByRounds[rounds];
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

    /** Fills batches one after the other. */
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
