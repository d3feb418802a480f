package clayhook.fleet.state;

import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * A changed entry that is being broadcast, with its links in a circular list of such entries. A broadcast always
 * contains the current value of the entry, so an entry is pending at most once even if it changes repeatedly. Not
 * thread-safe.
 */
final class PendingDelta {
    /** An update that the entry's value includes, with the number of rounds in which it was broadcast. */
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

    /** Creates an empty circular list, represented by a sentinel before the first element. */
    static PendingDelta listHead() {
        return new PendingDelta(null, null, 0);
    }

    // ---- circular list ----

    PendingDelta next() {
        return next;
    }

    PendingDelta previous() {
        return previous;
    }

    /** Removes this element from its list. */
    void unlink() {
        previous.next = next;
        next.previous = previous;
        previous = this;
        next = this;
    }

    /** Inserts this element, which must not be in a list, as the first element of the list with the given head. */
    void linkAfter(PendingDelta head) {
        previous = head;
        next = head.next;
        next.previous = this;
        head.next = this;
    }

    // ---- broadcast ----

    /** Restarts the broadcast after the entry has changed. */
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

    /** The time of the entry's last change, in seconds since 1970. */
    double changedAt() {
        return changedAt;
    }

    /**
     * The number of rounds since the last change in which the entry was broadcast by this router or received from other
     * routers.
     */
    int completedRounds() {
        return completedRounds;
    }

    /**
     * Counts a round and removes the updates that were broadcast in {@code maxRounds} rounds, since later rounds need
     * not repeat them.
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

    /** Returns the entry with its current value. */
    DeltaEntry toEntry() {
        var updateIds = new ArrayList<UpdateId>(updates.size());
        for (PendingUpdate update : updates) {
            updateIds.add(update.id);
        }
        return new DeltaEntry(table.type.typeNumber(), key, table.encodedValue(key, keyHash), updateIds);
    }
}
