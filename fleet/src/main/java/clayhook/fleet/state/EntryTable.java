package clayhook.fleet.state;

import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * The entries of one kind, kept by the hash of their keys so that ranges of hashes come in order. Holds at most
 * {@link ReplicatedType#maxEntries()} entries; they go when they are past their time or at the bound. An entry out of
 * its time is never taken, so that nothing that was dropped comes back and nothing has to be remembered of it.
 *
 * <p>An entry takes some 56 bytes beside its key and value, measured with 100,000; just after the arrays grew half as
 * much again. Arrays do not shrink.
 */
final class EntryTable<V> {
    /** Bytes of key and value; leaves room for the frame of any part that holds just this one. */
    static final int MAX_ENTRY_BYTES = 1000;

    private static final int MIN_BUCKET_BITS = 6;
    private static final int INITIAL_SLOTS = 16;

    final ReplicatedType<V> type;
    final HashTree hashTree = new HashTree();
    /** Bounded by who calls {@link ReplicatedStore#addListener} once at the start. */
    private final List<ReplicatedStore.ChangeListener<V>> listeners = new ArrayList<>();

    private Consumer<String> removalListener = key -> {};
    private final double maxClockSkew;
    private final double exclusionMargin;
    private final double cutoffStep;

    /** Slots: what each holds. Free ones are linked from {@link #firstFreeSlot} by {@link #nextSlots}. */
    private String[] keys = new String[0];

    private Object[] values = new Object[0];
    private long[] keyHashes = new long[0];
    private long[] entryHashes = new long[0];
    private int[] nextSlots = new int[0];
    private int firstFreeSlot = -1;
    private int size;
    /** First slots by the front bits of the hash; each chain in the order of hashes. */
    private int[] bucketHeads;

    private int bucketBits = MIN_BUCKET_BITS;

    private final EntryTimestamps timestamps = new EntryTimestamps();
    /** Those in the digests, younger than {@link #digestCutoff}, and the others. */
    private final EntryTimestamps.AgeHeap digestedEntries = timestamps.new AgeHeap();

    private final EntryTimestamps.AgeHeap expiringEntries = timestamps.new AgeHeap();
    private double digestCutoff = Double.NEGATIVE_INFINITY;
    private double evictionFloor = Double.NEGATIVE_INFINITY;

    EntryTable(ReplicatedType<V> kind, StateSettings settings) {
        this.type = kind;
        maxClockSkew = settings.maxClockSkew();
        // A kind that is kept for seconds would else never be compared.
        exclusionMargin = Math.min(settings.digestExclusionMargin(), kind.retentionSeconds() / 4);
        cutoffStep = Math.min(1, exclusionMargin / 2);
        bucketHeads = new int[1 << bucketBits];
        Arrays.fill(bucketHeads, -1);
    }

    void addListener(ReplicatedStore.ChangeListener<V> listener) {
        listeners.add(listener);
    }

    void setRemovalListener(Consumer<String> hears) {
        removalListener = hears;
    }

    int size() {
        return size;
    }

    double evictionFloor() {
        return evictionFloor;
    }

    /** What was true then or earlier is left out of the digests. */
    double digestCutoff() {
        return digestCutoff;
    }

    /** Joins that value in. */
    ApplyResult merge(String key, long hash, V value, double now) {
        double at = type.timestamp(value);
        if (!Double.isFinite(at) || type.clockDependent() && at > now + maxClockSkew) {
            return ApplyResult.FUTURE;
        }
        if (at + type.retentionSeconds() <= now) {
            return ApplyResult.EXPIRED;
        }
        if (at <= evictionFloor) {
            return ApplyResult.BELOW_FLOOR;
        }
        int slot = findSlot(key, hash);
        V joined = slot < 0 ? value : type.merge(value(slot), value);
        if (slot >= 0 && joined.equals(value(slot))) {
            return ApplyResult.UNCHANGED;
        }
        byte[] bytes = encode(joined);
        if (!isWithinLimits(key, bytes)) {
            return ApplyResult.UNFIT;
        }
        slot = slot < 0 ? insertSlot(key, hash) : detachSlot(slot);
        storeValue(slot, joined, StableHash.ofEntry(hash, bytes));
        while (size > type.maxEntries()) {
            evictionFloor = timestamps.timestamp(heapWithOldest().oldest());
            evictUpTo(evictionFloor, Integer.MAX_VALUE);
        }
        if (findSlot(key, hash) < 0) {
            return ApplyResult.BELOW_FLOOR;
        }
        listeners.forEach(listener -> listener.onChange(key, joined, now));
        return ApplyResult.CHANGED;
    }

    private static boolean isWithinLimits(String key, byte[] value) {
        int bytes = StableHash.utf8Length(key);
        return bytes > 0 && bytes <= ReplicatedStore.MAX_KEY_BYTES && bytes + value.length <= MAX_ENTRY_BYTES;
    }

    /** Whether the copy has just that value under that key, as far as hashes tell. */
    boolean containsValue(String key, long hash, byte[] value) {
        int slot = findSlot(key, hash);
        return slot >= 0 && entryHashes[slot] == StableHash.ofEntry(hash, value);
    }

    V get(String key) {
        int slot = findSlot(key, StableHash.ofKey(key));
        return slot < 0 ? null : value(slot);
    }

    /** Null where there is none. */
    byte[] encodedValue(String key, long hash) {
        int slot = findSlot(key, hash);
        return slot < 0 ? null : encode(value(slot));
    }

    @SuppressWarnings("unchecked") // only attach() stores
    V value(int slot) {
        return (V) values[slot];
    }

    byte[] encode(V value) {
        var out = new FieldWriter();
        type.write(value, out);
        return out.toByteArray();
    }

    String key(int slot) {
        return keys[slot];
    }

    long keyHash(int slot) {
        return keyHashes[slot];
    }

    long entryHash(int slot) {
        return entryHashes[slot];
    }

    boolean isDigested(int slot) {
        return timestamps.timestamp(slot) > digestCutoff;
    }

    /** The first one whose hash is at least that; negative for none. Hashes are ordered as unsigned numbers. */
    int firstSlotFrom(long hash) {
        int slot = firstSlotInBuckets(bucketOf(hash));
        while (slot >= 0 && Long.compareUnsigned(keyHashes[slot], hash) < 0) {
            slot = slotAfter(slot);
        }
        return slot;
    }

    int slotAfter(int slot) {
        return nextSlots[slot] >= 0 ? nextSlots[slot] : firstSlotInBuckets(bucketOf(keyHashes[slot]) + 1);
    }

    private int firstSlotInBuckets(int fromBucket) {
        for (int i = fromBucket; i < bucketHeads.length; i++) {
            if (bucketHeads[i] >= 0) {
                return bucketHeads[i];
            }
        }
        return -1;
    }

    /**
     * Drops what is past its time or below the floor and takes what is about to go out of the digests, up to so many
     * entries.
     */
    void sweep(double now, int most) {
        int left = evictUpTo(Math.max(evictionFloor, now - type.retentionSeconds()), most);
        advanceCutoff(targetCutoff(now), left);
    }

    /** Steps, so that the digests of two routers that compare at slightly different times leave out the same. */
    private double targetCutoff(double now) {
        return Double.isInfinite(type.retentionSeconds())
                ? Double.NEGATIVE_INFINITY
                : Math.floor((now - type.retentionSeconds() + exclusionMargin) / cutoffStep) * cutoffStep;
    }

    /** Two routers compare by the later of their cut-offs. */
    void raiseCutoff(double theirs, double now, int most) {
        if (theirs <= targetCutoff(now) + maxClockSkew + cutoffStep) {
            advanceCutoff(theirs, most);
        }
    }

    /** Floors join by the higher one. */
    void raiseFloor(double theirs, double now, int most) {
        if (theirs > evictionFloor
                && (!type.clockDependent() || theirs <= now + maxClockSkew)
                && theirs < Double.POSITIVE_INFINITY) {
            evictionFloor = theirs;
            evictUpTo(evictionFloor, most);
        }
    }

    private void advanceCutoff(double to, int most) {
        for (int left = most; to > digestCutoff; left--) {
            int slot = digestedEntries.oldest();
            if (slot < 0 || timestamps.timestamp(slot) > to) {
                digestCutoff = to;
                return;
            }
            if (left <= 0) {
                return;
            }
            // All of one age at once, since what is counted goes by the cut-off alone.
            double at = timestamps.timestamp(slot);
            for (; slot >= 0 && timestamps.timestamp(slot) == at; slot = digestedEntries.oldest()) {
                digestedEntries.remove(slot);
                hashTree.remove(keyHashes[slot], entryHashes[slot]);
                expiringEntries.add(slot);
            }
            digestCutoff = at;
        }
    }

    private int evictUpTo(double limit, int most) {
        int left = most;
        for (int slot = heapWithOldest().oldest();
                slot >= 0 && timestamps.timestamp(slot) <= limit && left > 0;
                slot = heapWithOldest().oldest()) {
            removeSlot(slot);
            left--;
        }
        return left;
    }

    private EntryTimestamps.AgeHeap heapWithOldest() {
        return expiringEntries.oldest() >= 0 ? expiringEntries : digestedEntries;
    }

    private int findSlot(String key, long hash) {
        int slot = bucketHeads[bucketOf(hash)];
        while (slot >= 0 && !(keyHashes[slot] == hash && keys[slot].equals(key))) {
            slot = nextSlots[slot];
        }
        return slot;
    }

    private int bucketOf(long hash) {
        return (int) (hash >>> (Long.SIZE - bucketBits));
    }

    private int insertSlot(String key, long hash) {
        if (firstFreeSlot < 0) {
            growSlots();
        }
        int slot = firstFreeSlot;
        firstFreeSlot = nextSlots[slot];
        keys[slot] = key;
        keyHashes[slot] = hash;
        size++;
        linkIntoBucket(slot);
        return slot;
    }

    private void storeValue(int slot, V value, long mark) {
        values[slot] = value;
        entryHashes[slot] = mark;
        timestamps.setTimestamp(slot, type.timestamp(value));
        if (isDigested(slot)) {
            digestedEntries.add(slot);
            hashTree.add(keyHashes[slot], mark);
        } else {
            expiringEntries.add(slot);
        }
    }

    private int detachSlot(int slot) {
        if (isDigested(slot)) {
            digestedEntries.remove(slot);
            hashTree.remove(keyHashes[slot], entryHashes[slot]);
        } else {
            expiringEntries.remove(slot);
        }
        return slot;
    }

    private void removeSlot(int slot) {
        detachSlot(slot);
        int bucket = bucketOf(keyHashes[slot]);
        if (bucketHeads[bucket] == slot) {
            bucketHeads[bucket] = nextSlots[slot];
        } else {
            int before = bucketHeads[bucket];
            while (nextSlots[before] != slot) {
                before = nextSlots[before];
            }
            nextSlots[before] = nextSlots[slot];
        }
        removalListener.accept(keys[slot]);
        keys[slot] = null;
        values[slot] = null;
        nextSlots[slot] = firstFreeSlot;
        firstFreeSlot = slot;
        size--;
    }

    private void linkIntoBucket(int slot) {
        int bucket = bucketOf(keyHashes[slot]);
        int before = -1;
        int behind = bucketHeads[bucket];
        while (behind >= 0 && Long.compareUnsigned(keyHashes[behind], keyHashes[slot]) < 0) {
            before = behind;
            behind = nextSlots[behind];
        }
        nextSlots[slot] = behind;
        if (before < 0) {
            bucketHeads[bucket] = slot;
        } else {
            nextSlots[before] = slot;
        }
    }

    /** Grows by half, so that little is idle. */
    private void growSlots() {
        int old = keys.length;
        int slots = Math.max(INITIAL_SLOTS, old + old / 2);
        keys = Arrays.copyOf(keys, slots);
        values = Arrays.copyOf(values, slots);
        keyHashes = Arrays.copyOf(keyHashes, slots);
        entryHashes = Arrays.copyOf(entryHashes, slots);
        nextSlots = Arrays.copyOf(nextSlots, slots);
        timestamps.grow(slots);
        for (int slot = slots - 1; slot >= old; slot--) {
            nextSlots[slot] = firstFreeSlot;
            firstFreeSlot = slot;
        }
        if (slots > 2 * bucketHeads.length) {
            rehash();
        }
    }

    private void rehash() {
        int[] before = bucketHeads;
        bucketBits++;
        bucketHeads = new int[1 << bucketBits];
        Arrays.fill(bucketHeads, -1);
        for (int head : before) {
            for (int slot = head, behind; slot >= 0; slot = behind) {
                behind = nextSlots[slot];
                linkIntoBucket(slot);
            }
        }
    }
}
