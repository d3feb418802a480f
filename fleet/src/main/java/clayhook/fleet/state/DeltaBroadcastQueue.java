package clayhook.fleet.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was changed lately and is told on, least told first and of those the latest first. One entry is one rumour,
 * whatever changes: it always tells the value as it is now. A rumour ends when it was told a number of times, when it
 * is too old, or at the bound.
 */
final class DeltaBroadcastQueue {
    /** Rounds in which a rumour is told at most; enough for any fleet. */
    private static final int MAX_ROUNDS = 15;

    private static final class PendingDelta {
        final EntryTable<?> table;
        final String key;
        final long hash;
        /** Member, number, rounds told, and again; at most {@link StateMessage#MAX_UPDATES_PER_DELTA} of them. */
        long[] updates = new long[0];
        /** Rounds in which it was told, or heard from others, since it changed last. */
        int completedRounds;

        double changedAt;
        PendingDelta previous = this;
        PendingDelta next = this;

        PendingDelta(EntryTable<?> table, String key, long hash) {
            this.table = table;
            this.key = key;
            this.hash = hash;
        }

        void unlink() {
            previous.next = next;
            next.previous = previous;
            previous = this;
            next = this;
        }

        void linkAfter(PendingDelta head) {
            previous = head;
            next = head.next;
            next.previous = this;
            head.next = this;
        }

        void addUpdate(long member, long number) {
            int most = 3 * StateMessage.MAX_UPDATES_PER_DELTA;
            int from = updates.length == most ? 3 : 0;
            long[] more = Arrays.copyOfRange(updates, from, updates.length + 3);
            more[more.length - 3] = member;
            more[more.length - 2] = number;
            more[more.length - 1] = 0;
            updates = more;
        }

        /** What was told often enough need not be told with the next change. */
        void ageUpdates(int rounds) {
            int kept = 0;
            for (int i = 0; i < updates.length; i += 3) {
                if (++updates[i + 2] < rounds) {
                    System.arraycopy(updates, i, updates, kept, 3);
                    kept += 3;
                }
            }
            updates = Arrays.copyOf(updates, kept);
        }

        long[] updateIds() {
            long[] out = new long[updates.length / 3 * 2];
            for (int i = 0; i < out.length / 2; i++) {
                out[2 * i] = updates[3 * i];
                out[2 * i + 1] = updates[3 * i + 1];
            }
            return out;
        }
    }

    /** By table and key; holds {@link #maxPending} rumours, which go as said above. */
    private final Map<EntryTable<?>, Map<String, PendingDelta>> byKey = new HashMap<>();
    /** Rings by rounds told; each head stands before the latest one. */
    private final PendingDelta[] ringsByRounds = new PendingDelta[MAX_ROUNDS];

    private final int maxPending;
    private final double lifetimeSeconds;
    private final StateCounters counters;
    private int size;

    DeltaBroadcastQueue(Iterable<EntryTable<?>> tables, StateSettings settings, StateCounters counts) {
        maxPending = settings.maxPendingDeltas();
        lifetimeSeconds = settings.deltaLifetime();
        this.counters = counts;
        tables.forEach(table -> {
            byKey.put(table, new HashMap<>());
            table.setRemovalListener(key -> onEntryRemoved(byKey.get(table).get(key)));
        });
        Arrays.setAll(ringsByRounds, any -> new PendingDelta(null, null, 0));
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** That entry was changed, or is known to hold what those members put in: ids and numbers in turn. */
    void enqueue(EntryTable<?> table, String key, long hash, long[] tags, int tagged, double now) {
        PendingDelta rumour = byKey.get(table).get(key);
        if (rumour == null) {
            rumour = new PendingDelta(table, key, hash);
            byKey.get(table).put(key, rumour);
            size++;
        }
        for (int i = 0; i < tagged; i += 2) {
            rumour.addUpdate(tags[i], tags[i + 1]);
        }
        rumour.completedRounds = 0;
        rumour.changedAt = now;
        rumour.unlink();
        rumour.linkAfter(ringsByRounds[0]);
        if (size > maxPending) {
            abandon(mostBroadcast());
        }
    }

    /** Someone else told that entry as it is here: one telling less is needed. */
    void onDuplicate(EntryTable<?> table, String key, int rounds) {
        PendingDelta rumour = byKey.get(table).get(key);
        if (rumour != null) {
            countRound(rumour, rounds);
        }
    }

    /** The most told and of those the oldest. */
    private PendingDelta mostBroadcast() {
        for (int ring = MAX_ROUNDS - 1; ring >= 0; ring--) {
            if (ringsByRounds[ring].previous != ringsByRounds[ring]) {
                return ringsByRounds[ring].previous;
            }
        }
        throw new IllegalStateException("no rumour");
    }

    /**
     * Guards against an entry that is put in anew under the numbers of one that went: its value does not hold those.
     */
    private void onEntryRemoved(PendingDelta rumour) {
        if (rumour != null) {
            remove(rumour);
        }
    }

    private void abandon(PendingDelta rumour) {
        counters.deltasAbandoned++;
        remove(rumour);
    }

    private void remove(PendingDelta rumour) {
        rumour.unlink();
        byKey.get(rumour.table).remove(rumour.key);
        size--;
    }

    /** Ends what is too old to be news. */
    void expire(double now) {
        for (PendingDelta ring : ringsByRounds) {
            while (ring.previous != ring && ring.previous.changedAt + lifetimeSeconds < now) {
                abandon(ring.previous);
            }
        }
    }

    /** Takes what is to be told next, in parts of at most that many bytes, and counts it as told. */
    List<List<StateMessage.DeltaEntry>> nextBatches(int parts, int bytes, int rounds) {
        var out = new ArrayList<List<StateMessage.DeltaEntry>>();
        var taken = new ArrayList<PendingDelta>();
        int room = 0;
        all:
        for (PendingDelta ring : ringsByRounds) {
            for (PendingDelta rumour = ring.next; rumour != ring; rumour = rumour.next) {
                byte[] value = rumour.table.encodedValue(rumour.key, rumour.hash);
                var told = new StateMessage.DeltaEntry(
                        rumour.table.type.typeNumber(), rumour.key, value, rumour.updateIds());
                if (told.maxEncodedBytes() > room) {
                    if (out.size() == parts) {
                        break all;
                    }
                    out.add(new ArrayList<>());
                    room = bytes;
                }
                taken.add(rumour);
                out.get(out.size() - 1).add(told);
                room -= told.maxEncodedBytes();
            }
        }
        taken.forEach(each -> countRound(each, rounds));
        return out;
    }

    private void countRound(PendingDelta rumour, int rounds) {
        rumour.ageUpdates(rounds);
        if (++rumour.completedRounds >= Math.min(rounds, MAX_ROUNDS)) {
            remove(rumour);
        } else {
            rumour.unlink();
            rumour.linkAfter(ringsByRounds[rumour.completedRounds]);
        }
    }
}
