package clayhook.fleet.state;

/**
 * The digest of an {@link EntryTable}: a {@link HashTree} of all entries that are younger than a cut-off, and the order
 * in which entries age. Entries that are about to expire are left out, so that two replicas whose clocks differ a
 * little do not exchange entries that one of them has dropped already. Not thread-safe.
 */
final class TableDigest {
    private final EntrySlots<?> slots;
    private final HashTree hashTree = new HashTree();
    private final EntryTimestamps timestamps = new EntryTimestamps();
    /** Entries in the digest: those younger than the cut-off. */
    private final EntryTimestamps.AgeHeap digestedEntries = timestamps.new AgeHeap();
    /** All other entries. */
    private final EntryTimestamps.AgeHeap expiringEntries = timestamps.new AgeHeap();

    private double cutoff = Double.NEGATIVE_INFINITY;

    TableDigest(EntrySlots<?> slots) {
        this.slots = slots;
    }

    HashTree hashTree() {
        return hashTree;
    }

    /** Entries whose timestamp is at or before it are left out; seconds since 1970. */
    double cutoff() {
        return cutoff;
    }

    boolean contains(int slot) {
        return timestamps.timestamp(slot) > cutoff;
    }

    double timestamp(int slot) {
        return timestamps.timestamp(slot);
    }

    /** The slot of the oldest entry, in the digest or not; negative if there is none. */
    int oldest() {
        int slot = expiringEntries.oldest();
        return slot >= 0 ? slot : digestedEntries.oldest();
    }

    /** Adds an entry whose hash is set. */
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

    /** Removes an entry whose hash has not been changed since it was added. */
    void remove(int slot) {
        if (contains(slot)) {
            digestedEntries.remove(slot);
            hashTree.remove(slots.keyHash(slot), slots.entryHash(slot));
        } else {
            expiringEntries.remove(slot);
        }
    }

    /** Advances the cut-off to {@code target}, or as far as it gets by taking out about {@code maxEntries} entries. */
    void advanceCutoff(double target, int maxEntries) {
        for (int remaining = maxEntries; target > cutoff; remaining--) {
            int slot = digestedEntries.oldest();
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
     * Takes out all entries with the oldest timestamp at once, since the cut-off alone decides which entries are in.
     */
    private void excludeAllAt(double timestamp) {
        for (int slot = digestedEntries.oldest();
                slot >= 0 && timestamps.timestamp(slot) == timestamp;
                slot = digestedEntries.oldest()) {
            digestedEntries.remove(slot);
            hashTree.remove(slots.keyHash(slot), slots.entryHash(slot));
            expiringEntries.add(slot);
        }
        cutoff = timestamp;
    }
}
