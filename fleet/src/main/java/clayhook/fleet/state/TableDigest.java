package clayhook.fleet.state;

/**
 * The digest of an {@link EntryTable}: a {@link HashTree} of all entries with a timestamp after the digest cut-off, and
 * heaps that order all entries by timestamp. Entries that expire soon are left out of the hash tree, so that two
 * replicas with slightly different clocks do not exchange entries that one of them has already removed. Not
 * thread-safe.
 */
final class TableDigest {
    private final EntrySlots<?> slots;
    private final HashTree hashTree = new HashTree();
    private final EntryTimestamps timestamps = new EntryTimestamps();
    /** Entries in the digest: those with a timestamp after the cut-off. */
    private final EntryTimestamps.TimestampHeap digestedEntries = timestamps.new TimestampHeap();
    /** Entries that are left out of the digest since they expire soon. */
    private final EntryTimestamps.TimestampHeap expiringEntries = timestamps.new TimestampHeap();

    private double cutoff = Double.NEGATIVE_INFINITY;

    TableDigest(EntrySlots<?> slots) {
        this.slots = slots;
    }

    HashTree hashTree() {
        return hashTree;
    }

    /**
     * The digest cut-off in seconds since 1970; entries with a timestamp at or before it are left out of the digest.
     */
    double cutoff() {
        return cutoff;
    }

    boolean contains(int slot) {
        return timestamps.timestamp(slot) > cutoff;
    }

    double timestamp(int slot) {
        return timestamps.timestamp(slot);
    }

    /** Returns the slot of the oldest entry, whether or not it is in the digest; negative if there is none. */
    int oldestSlot() {
        int slot = expiringEntries.oldestSlot();
        return slot >= 0 ? slot : digestedEntries.oldestSlot();
    }

    /** Adds an entry whose hash is already set in the slots. */
    void add(int slot, double timestamp) {
        timestamps.ensureCapacity(slots.capacity());
        timestamps.setTimestamp(slot, timestamp);
        if (contains(slot)) {
            digestedEntries.add(slot);
            hashTree.add(slots.keyHash(slot), slots.entryHash(slot));
        } else {
            expiringEntries.add(slot);
        }
    }

    /** Removes an entry; its hash must not have changed since it was added. */
    void remove(int slot) {
        if (contains(slot)) {
            digestedEntries.remove(slot);
            hashTree.remove(slots.keyHash(slot), slots.entryHash(slot));
        } else {
            expiringEntries.remove(slot);
        }
    }

    /**
     * Advances the cut-off to {@code target}, or as far as the removal of about {@code maxEntries} entries from the
     * digest allows.
     */
    void advanceCutoff(double target, int maxEntries) {
        for (int remaining = maxEntries; target > cutoff; remaining--) {
            int slot = digestedEntries.oldestSlot();
            if (slot < 0 || timestamps.timestamp(slot) > target) {
                cutoff = target;
                return;
            }
            if (remaining <= 0) {
                return;
            }
            excludeAllAt(timestamps.timestamp(slot));
        }
    }

    /**
     * Removes all entries with the oldest timestamp from the digest together, since the cut-off alone determines which
     * entries are in the digest.
     */
    private void excludeAllAt(double timestamp) {
        for (int slot = digestedEntries.oldestSlot();
                slot >= 0 && timestamps.timestamp(slot) == timestamp;
                slot = digestedEntries.oldestSlot()) {
            digestedEntries.remove(slot);
            hashTree.remove(slots.keyHash(slot), slots.entryHash(slot));
            expiringEntries.add(slot);
        }
        cutoff = timestamp;
    }
}
