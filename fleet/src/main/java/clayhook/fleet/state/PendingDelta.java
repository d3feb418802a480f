package clayhook.fleet.state;

import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * A changed entry that is still being broadcast, and its links in a ring of such entries. Broadcasts always carry the
 * entry's present value, so an entry is pending at most once however often it changes. Not thread-safe.
 */
final class PendingDelta {
    /** An update that the entry's value includes. */
    private static final class PendingUpdate {
        private final UpdateId id;
        private int completedRounds;

        PendingUpdate(UpdateId id) {
            this.id = id;
        }
    }

    final EntryTable<?> table;
    final String key;
    private final long keyHash;
    /** At most {@link DeltaBroadcast#MAX_UPDATES_PER_DELTA}, oldest first. */
    private final List<PendingUpdate> updates = new ArrayList<>(1);

    private int completedRounds;
    private double changedAt;
    private PendingDelta previous = this;
    private PendingDelta next = this;

    PendingDelta(EntryTable<?> table, String key, long keyHash) {
        this.table = table;
        this.key = key;
        this.keyHash = keyHash;
    }

    /** An empty ring, represented by an element that stands before the first one. */
    static PendingDelta ringHead() {
        return new PendingDelta(null, null, 0);
    }

    // ---- ring ----

    PendingDelta next() {
        return next;
    }

    PendingDelta previous() {
        return previous;
    }

    /** Takes this element out of its ring. */
    void unlink() {
        previous.next = next;
        next.previous = previous;
        previous = this;
        next = this;
    }

    /** Puts this element, which is in no ring, first into the ring of that head. */
    void linkAfter(PendingDelta head) {
        previous = head;
        next = head.next;
        next.previous = this;
        head.next = this;
    }

    // ---- broadcast ----

    /** Starts over, since the entry has changed. */
    void onChange(List<UpdateId> newUpdates, double now) {
        newUpdates.forEach(this::addUpdate);
        completedRounds = 0;
        changedAt = now;
    }

    private void addUpdate(UpdateId id) {
        if (updates.size() == DeltaBroadcast.MAX_UPDATES_PER_DELTA) {
            updates.remove(0);
        }
        updates.add(new PendingUpdate(id));
    }

    /** When the entry changed last, seconds since 1970. */
    double changedAt() {
        return changedAt;
    }

    /** Rounds since the last change in which the entry was broadcast, by this router or by others that sent it here. */
    int completedRounds() {
        return completedRounds;
    }

    /**
     * Counts a round, and drops the updates that were broadcast in {@code maxRounds}: later rounds can do without them.
     */
    void completeRound(int maxRounds) {
        completedRounds++;
        for (int i = updates.size() - 1; i >= 0; i--) {
            PendingUpdate update = updates.get(i);
            update.completedRounds++;
            if (update.completedRounds >= maxRounds) {
                updates.remove(i);
            }
        }
    }

    /** The entry as it is now. */
    DeltaEntry toEntry() {
        var updateIds = new ArrayList<UpdateId>(updates.size());
        for (PendingUpdate update : updates) {
            updateIds.add(update.id);
        }
        return new DeltaEntry(table.type.typeNumber(), key, table.encodedValue(key, keyHash), updateIds);
    }
}
