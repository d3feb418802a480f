package clayhook.fleet.state;

import java.util.Arrays;

/**
 * The storage of an {@link EntryTable}. Entries are stored in parallel arrays, each entry at one index, its slot. They
 * are looked up by the hash of their key and iterated in unsigned order of these hashes. The leading bits of a hash
 * select a bucket, which is a linked list in the order of the hashes.
 *
 * <p>The arrays grow by half when they are full, which limits their unused part, and never shrink. Not thread-safe.
 */
final class EntrySlots<V> {
    /** The result of a lookup that finds no slot. Callers treat all negative numbers as no slot. */
    static final int NO_SLOT = -1;

    private static final int MIN_BUCKET_BITS = 6;
    private static final int INITIAL_SLOTS = 16;

    private String[] keys = new String[0];
    private Object[] values = new Object[0];
    private long[] keyHashes = new long[0];
    private long[] entryHashes = new long[0];
    /** The next slot in the bucket of each used slot, and the next free slot of each free slot. */
    private int[] nextSlots = new int[0];

    private int firstFreeSlot = NO_SLOT;
    private int size;
    private int bucketBits = MIN_BUCKET_BITS;
    /** The first slot of each bucket; negative if the bucket is empty. */
    private int[] bucketHeads = emptyBuckets(MIN_BUCKET_BITS);

    private static int[] emptyBuckets(int bits) {
        int[] heads = new int[1 << bits];
        Arrays.fill(heads, NO_SLOT);
        return heads;
    }

    /** The number of stored entries. */
    int size() {
        return size;
    }

    /** The number of allocated slots; every slot is below it. */
    int capacity() {
        return keys.length;
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

    @SuppressWarnings("unchecked") // only setValue stores values
    V value(int slot) {
        return (V) values[slot];
    }

    void setValue(int slot, V value, long entryHash) {
        values[slot] = value;
        entryHashes[slot] = entryHash;
    }

    /** Returns the slot of a key, or {@link #NO_SLOT}. */
    int find(String key, long keyHash) {
        int slot = bucketHeads[bucketOf(keyHash)];
        while (slot >= 0 && !(keyHashes[slot] == keyHash && keys[slot].equals(key))) {
            slot = nextSlots[slot];
        }
        return slot;
    }

    /** Returns the first slot in unsigned order whose key hash is at least {@code hash}, or {@link #NO_SLOT}. */
    int firstAtOrAfter(long hash) {
        int slot = firstInBuckets(bucketOf(hash));
        while (slot >= 0 && Long.compareUnsigned(keyHashes[slot], hash) < 0) {
            slot = next(slot);
        }
        return slot;
    }

    /** Returns the slot after the given one in unsigned order of key hashes, or {@link #NO_SLOT}. */
    int next(int slot) {
        return nextSlots[slot] >= 0 ? nextSlots[slot] : firstInBuckets(bucketOf(keyHashes[slot]) + 1);
    }

    private int firstInBuckets(int firstBucket) {
        for (int bucket = firstBucket; bucket < bucketHeads.length; bucket++) {
            if (bucketHeads[bucket] >= 0) {
                return bucketHeads[bucket];
            }
        }
        return NO_SLOT;
    }

    private int bucketOf(long hash) {
        return (int) (hash >>> (Long.SIZE - bucketBits));
    }

    /** Adds a key that is not stored yet and returns its slot. The caller sets the value afterwards. */
    int insert(String key, long keyHash) {
        if (firstFreeSlot < 0) {
            grow();
        }
        int slot = firstFreeSlot;
        firstFreeSlot = nextSlots[slot];
        keys[slot] = key;
        keyHashes[slot] = keyHash;
        size++;
        link(slot);
        return slot;
    }

    /** Removes an entry and frees its slot. */
    void remove(int slot) {
        unlink(slot);
        keys[slot] = null;
        values[slot] = null;
        nextSlots[slot] = firstFreeSlot;
        firstFreeSlot = slot;
        size--;
    }

    private void link(int slot) {
        int bucket = bucketOf(keyHashes[slot]);
        int previous = NO_SLOT;
        int next = bucketHeads[bucket];
        while (next >= 0 && Long.compareUnsigned(keyHashes[next], keyHashes[slot]) < 0) {
            previous = next;
            next = nextSlots[next];
        }
        nextSlots[slot] = next;
        if (previous < 0) {
            bucketHeads[bucket] = slot;
        } else {
            nextSlots[previous] = slot;
        }
    }

    private void unlink(int slot) {
        int bucket = bucketOf(keyHashes[slot]);
        if (bucketHeads[bucket] == slot) {
            bucketHeads[bucket] = nextSlots[slot];
            return;
        }
        int previous = bucketHeads[bucket];
        while (nextSlots[previous] != slot) {
            previous = nextSlots[previous];
        }
        nextSlots[previous] = nextSlots[slot];
    }

    private void grow() {
        int oldCapacity = keys.length;
        int capacity = Math.max(INITIAL_SLOTS, oldCapacity + oldCapacity / 2);
        keys = Arrays.copyOf(keys, capacity);
        values = Arrays.copyOf(values, capacity);
        keyHashes = Arrays.copyOf(keyHashes, capacity);
        entryHashes = Arrays.copyOf(entryHashes, capacity);
        nextSlots = Arrays.copyOf(nextSlots, capacity);
        for (int slot = capacity - 1; slot >= oldCapacity; slot--) {
            nextSlots[slot] = firstFreeSlot;
            firstFreeSlot = slot;
        }
        if (capacity > 2 * bucketHeads.length) {
            rehash();
        }
    }

    /** Doubles the number of buckets. */
    private void rehash() {
        int[] oldHeads = bucketHeads;
        bucketBits++;
        bucketHeads = emptyBuckets(bucketBits);
        for (int head : oldHeads) {
            int slot = head;
            while (slot >= 0) {
                int next = nextSlots[slot];
                link(slot);
                slot = next;
            }
        }
    }
}
