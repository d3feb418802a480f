package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The entries of one replicated type. Holds at most {@link ReplicatedType#maxEntries()} of them; they are removed when
 * they expire, or, oldest first, when there are too many. A value that is expired or at or below the eviction floor is
 * never accepted, so nothing that was removed comes back, and no tombstones are needed.
 *
 * <p>An entry takes some 56 bytes beside its key and value, measured with 100,000 entries, and up to half as much again
 * right after the arrays have grown. Not thread-safe.
 */
final class EntryTable<V> {
    /** Bytes of key and value at most; a message that holds just this one entry fits into a packet. */
    static final int MAX_ENTRY_BYTES = 1000;
    /** The digest exclusion margin is at most this part of the type's retention. */
    private static final double MAX_MARGIN_OF_RETENTION = 0.25;
    /** The cut-off moves in steps of this part of the margin, or of a second if that is less. */
    private static final double CUTOFF_STEP_OF_MARGIN = 0.5;

    private static final double MAX_CUTOFF_STEP_SECONDS = 1;

    final ReplicatedType<V> type;
    /** Bounded by callers, which add a listener once at the start. */
    private final List<ReplicatedStore.ChangeListener<V>> listeners = new ArrayList<>();

    private final double maxClockSkew;
    private final double exclusionMargin;
    private final double cutoffStep;
    private final EntrySlots<V> slots = new EntrySlots<>();
    private final TableDigest digest = new TableDigest(slots);
    private Consumer<String> removalListener = key -> {};
    private double evictionFloor = Double.NEGATIVE_INFINITY;

    EntryTable(ReplicatedType<V> type, StateSettings settings) {
        this.type = type;
        maxClockSkew = settings.maxClockSkew();
        // Otherwise entries of a type that is retained for seconds would never be in the digest.
        exclusionMargin = Math.min(settings.digestExclusionMargin(), type.retentionSeconds() * MAX_MARGIN_OF_RETENTION);
        cutoffStep = Math.min(MAX_CUTOFF_STEP_SECONDS, exclusionMargin * CUTOFF_STEP_OF_MARGIN);
    }

    void addListener(ReplicatedStore.ChangeListener<V> listener) {
        listeners.add(listener);
    }

    /** {@code listener} receives the key of each entry that is removed. */
    void setRemovalListener(Consumer<String> listener) {
        removalListener = listener;
    }

    // ---- entries ----

    int size() {
        return slots.size();
    }

    /** The value under that key, or null. */
    V get(String key) {
        int slot = slots.find(key, StableHash.ofKey(key));
        return slot < 0 ? null : slots.value(slot);
    }

    /** The encoded value under that key, or null. */
    byte[] encodedValue(String key, long keyHash) {
        int slot = slots.find(key, keyHash);
        return slot < 0 ? null : encodedValue(slot);
    }

    byte[] encodedValue(int slot) {
        return encode(slots.value(slot));
    }

    private byte[] encode(V value) {
        var out = new FieldWriter();
        type.write(value, out);
        return out.toByteArray();
    }

    String key(int slot) {
        return slots.key(slot);
    }

    long keyHash(int slot) {
        return slots.keyHash(slot);
    }

    long entryHash(int slot) {
        return slots.entryHash(slot);
    }

    V value(int slot) {
        return slots.value(slot);
    }

    /** The first slot in order of key hashes; negative if there is none. */
    int firstSlot() {
        return slots.firstFrom(0);
    }

    /** The slot after that one in order of key hashes; negative if there is none. */
    int nextSlot(int slot) {
        return slots.next(slot);
    }

    /**
     * The first slot of an entry of the digest whose key hash is in that range, both ends included, in unsigned order;
     * negative if there is none.
     */
    int firstDigestedSlot(long firstHash, long lastHash) {
        return digestedFrom(slots.firstFrom(firstHash), lastHash);
    }

    /** As {@link #firstDigestedSlot}, after that slot. */
    int nextDigestedSlot(int slot, long lastHash) {
        return digestedFrom(slots.next(slot), lastHash);
    }

    private int digestedFrom(int firstSlot, long lastHash) {
        int slot = firstSlot;
        while (slot >= 0 && Long.compareUnsigned(slots.keyHash(slot), lastHash) <= 0) {
            if (digest.contains(slot)) {
                return slot;
            }
            slot = slots.next(slot);
        }
        return EntrySlots.NO_SLOT;
    }

    // ---- merging ----

    /** Decodes a value and merges it; does neither if the table holds just that value. */
    ApplyResult mergeEncoded(String key, long keyHash, byte[] encodedValue, double now) {
        if (containsValue(key, keyHash, encodedValue)) {
            return ApplyResult.UNCHANGED;
        }
        V value;
        try {
            value = type.read(new FieldReader(encodedValue));
        } catch (IllegalArgumentException e) {
            return ApplyResult.MALFORMED;
        }
        return merge(key, keyHash, value, now);
    }

    /** Whether the table holds just that value under that key, as far as hashes can show. */
    private boolean containsValue(String key, long keyHash, byte[] encodedValue) {
        int slot = slots.find(key, keyHash);
        return slot >= 0 && slots.entryHash(slot) == StableHash.ofEntry(keyHash, encodedValue);
    }

    /** Merges a value into the one under that key. */
    ApplyResult merge(String key, long keyHash, V value, double now) {
        double timestamp = type.timestamp(value);
        if (isFromFuture(timestamp, now)) {
            return ApplyResult.FUTURE;
        }
        if (timestamp + type.retentionSeconds() <= now) {
            return ApplyResult.EXPIRED;
        }
        if (timestamp <= evictionFloor) {
            return ApplyResult.BELOW_FLOOR;
        }
        int slot = slots.find(key, keyHash);
        V merged = slot < 0 ? value : type.merge(slots.value(slot), value);
        if (slot >= 0 && merged.equals(slots.value(slot))) {
            return ApplyResult.UNCHANGED;
        }
        byte[] encoded = encode(merged);
        if (!isWithinLimits(key, encoded)) {
            return ApplyResult.INVALID_ENTRY;
        }
        store(slot, key, keyHash, merged, encoded);
        evictBeyondMaxEntries();
        if (slots.find(key, keyHash) < 0) {
            return ApplyResult.BELOW_FLOOR;
        }
        listeners.forEach(listener -> listener.onChange(key, merged, now));
        return ApplyResult.CHANGED;
    }

    /** Also true for a timestamp that is no finite number. */
    private boolean isFromFuture(double timestamp, double now) {
        return !Double.isFinite(timestamp) || (type.clockDependent() && timestamp > now + maxClockSkew);
    }

    private static boolean isWithinLimits(String key, byte[] encodedValue) {
        int keyBytes = EncodedSizes.utf8Length(key);
        return keyBytes > 0
                && keyBytes <= ReplicatedStore.MAX_KEY_BYTES
                && keyBytes + encodedValue.length <= MAX_ENTRY_BYTES;
    }

    /** @param slot of the present value; negative if there is none */
    private void store(int slot, String key, long keyHash, V value, byte[] encoded) {
        int target = slot;
        if (slot >= 0) {
            digest.remove(slot);
        } else {
            target = slots.insert(key, keyHash);
        }
        slots.setValue(target, value, StableHash.ofEntry(keyHash, encoded));
        digest.add(target, type.timestamp(value));
    }

    // ---- digest ----

    HashTree hashTree() {
        return digest.hashTree();
    }

    /** Entries whose timestamp is at or before it are not in the digest; seconds since 1970. */
    double digestCutoff() {
        return digest.cutoff();
    }

    RootDigest rootDigest() {
        return new RootDigest(
                type.typeNumber(), digest.cutoff(), evictionFloor, hashTree().rootSum());
    }

    /** Adopts the cut-off of another replica if it is the later one and can be right. */
    void raiseCutoff(double cutoff, double now, int maxEntries) {
        if (cutoff <= targetCutoff(now) + maxClockSkew + cutoffStep) {
            digest.advanceCutoff(cutoff, maxEntries);
        }
    }

    /** Moves in steps, so that two replicas that compare at slightly different times leave out the same entries. */
    private double targetCutoff(double now) {
        return Double.isInfinite(type.retentionSeconds())
                ? Double.NEGATIVE_INFINITY
                : Math.floor((now - type.retentionSeconds() + exclusionMargin) / cutoffStep) * cutoffStep;
    }

    // ---- expiry and eviction ----

    /** Entries at or before it were evicted, here or elsewhere; seconds since 1970, negative infinity for none. */
    double evictionFloor() {
        return evictionFloor;
    }

    /** Adopts the eviction floor of another replica if it is the higher one and can be right. */
    void raiseFloor(double floor, double now, int maxEntries) {
        boolean plausible = !type.clockDependent() || floor <= now + maxClockSkew;
        if (floor > evictionFloor && plausible && floor < Double.POSITIVE_INFINITY) {
            evictionFloor = floor;
            removeUpTo(evictionFloor, maxEntries);
        }
    }

    /** Removes expired entries and takes those that expire soon out of the digest, up to so many entries in all. */
    void sweep(double now, int maxEntries) {
        int remaining = removeUpTo(Math.max(evictionFloor, now - type.retentionSeconds()), maxEntries);
        digest.advanceCutoff(targetCutoff(now), remaining);
    }

    /** Removes the oldest entries, all of one timestamp together, so that the floor alone says what was evicted. */
    private void evictBeyondMaxEntries() {
        while (slots.size() > type.maxEntries()) {
            evictionFloor = digest.timestamp(digest.oldest());
            removeUpTo(evictionFloor, Integer.MAX_VALUE);
        }
    }

    /** Removes entries whose timestamp is at or before {@code limit}; returns how many more it might have removed. */
    private int removeUpTo(double limit, int maxEntries) {
        int remaining = maxEntries;
        int slot = digest.oldest();
        while (slot >= 0 && digest.timestamp(slot) <= limit && remaining > 0) {
            remove(slot);
            remaining--;
            slot = digest.oldest();
        }
        return remaining;
    }

    private void remove(int slot) {
        digest.remove(slot);
        String key = slots.key(slot);
        slots.remove(slot);
        removalListener.accept(key);
    }
}
