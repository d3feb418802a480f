package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The entries of one replicated type, at most {@link ReplicatedType#maxEntries()}. Entries are removed when they
 * expire; if there are too many, the oldest ones are evicted. Values that have expired or are at or below the eviction
 * floor are rejected, so that removed entries cannot be replicated back and no tombstones are needed.
 *
 * <p>In a table of 100,000 entries, an entry takes about 56 bytes in addition to its key and value, and up to half as
 * much again directly after the arrays have grown. Not thread-safe.
 */
final class EntryTable<V> {
    /**
     * Maximum total size in bytes of the key and the encoded value; a message with one entry of this size fits into a
     * packet.
     */
    static final int MAX_ENTRY_BYTES = 1000;
    /** Maximum digest exclusion margin as a fraction of the type's retention. */
    private static final double MAX_MARGIN_FRACTION_OF_RETENTION = 0.25;
    /**
     * Step of the digest cut-off as a fraction of the exclusion margin, limited by {@link #MAX_CUTOFF_STEP_SECONDS}.
     */
    private static final double CUTOFF_STEP_FRACTION_OF_MARGIN = 0.5;

    private static final double MAX_CUTOFF_STEP_SECONDS = 1;

    final ReplicatedType<V> type;
    /** Listeners for changes; bounded, since callers add listeners only at startup. */
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
        // Without this limit, entries of a type with a retention of seconds would never be in the digest.
        exclusionMargin =
                Math.min(settings.digestExclusionMargin(), type.retentionSeconds() * MAX_MARGIN_FRACTION_OF_RETENTION);
        cutoffStep = Math.min(MAX_CUTOFF_STEP_SECONDS, exclusionMargin * CUTOFF_STEP_FRACTION_OF_MARGIN);
    }

    void addListener(ReplicatedStore.ChangeListener<V> listener) {
        listeners.add(listener);
    }

    /** Sets the listener that receives the key of each removed entry. */
    void setRemovalListener(Consumer<String> listener) {
        removalListener = listener;
    }

    // ---- entries ----

    int size() {
        return slots.size();
    }

    /** Returns the value of a key, or null if there is no entry. */
    V get(String key) {
        int slot = slots.find(key, StableHash.ofKey(key));
        return slot < 0 ? null : slots.value(slot);
    }

    /** Returns the encoded value of a key, or null if there is no entry. */
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

    /** Returns the first slot in unsigned order of key hashes; negative if the table is empty. */
    int firstSlot() {
        return slots.firstAtOrAfter(0);
    }

    /** Returns the slot after the given one in unsigned order of key hashes; negative if there is none. */
    int nextSlot(int slot) {
        return slots.next(slot);
    }

    /**
     * Returns the first slot, in unsigned order of key hashes, of an entry that is in the digest and whose key hash is
     * in the given range, both bounds included; negative if there is none.
     */
    int firstDigestedSlot(long firstHash, long lastHash) {
        return firstDigestedFrom(slots.firstAtOrAfter(firstHash), lastHash);
    }

    /**
     * Returns the next slot after the given one of an entry that is in the digest and whose key hash is at most
     * {@code lastHash}; negative if there is none.
     */
    int nextDigestedSlot(int slot, long lastHash) {
        return firstDigestedFrom(slots.next(slot), lastHash);
    }

    private int firstDigestedFrom(int firstSlot, long lastHash) {
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

    /** Decodes a value and merges it, unless the table already has exactly this value. */
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

    /** Whether the hash of the stored entry equals that of the given key and value. */
    private boolean containsValue(String key, long keyHash, byte[] encodedValue) {
        int slot = slots.find(key, keyHash);
        return slot >= 0 && slots.entryHash(slot) == StableHash.ofEntry(keyHash, encodedValue);
    }

    /** Merges a value into the stored value of the key. */
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

    /** Whether a timestamp is further in the future than the maximum clock skew, or not a finite number. */
    private boolean isFromFuture(double timestamp, double now) {
        return !Double.isFinite(timestamp) || (type.clockDependent() && timestamp > now + maxClockSkew);
    }

    private static boolean isWithinLimits(String key, byte[] encodedValue) {
        int keyBytes = EncodedSizes.utf8Length(key);
        return keyBytes > 0
                && keyBytes <= ReplicatedStore.MAX_KEY_BYTES
                && keyBytes + encodedValue.length <= MAX_ENTRY_BYTES;
    }

    /** @param slot slot of the existing entry; negative if there is none */
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

    /**
     * The digest cut-off in seconds since 1970; entries with a timestamp at or before it are left out of the digest.
     */
    double digestCutoff() {
        return digest.cutoff();
    }

    RootDigest rootDigest() {
        return new RootDigest(
                type.typeNumber(), digest.cutoff(), evictionFloor, hashTree().rootSum());
    }

    /**
     * Adopts the digest cut-off of another replica if it is later than that of this table and plausible for this
     * router's clock, as far as {@code maxEntries} removals from the digest allow.
     */
    void raiseCutoff(double cutoff, double now, int maxEntries) {
        if (cutoff <= targetCutoff(now) + maxClockSkew + cutoffStep) {
            digest.advanceCutoff(cutoff, maxEntries);
        }
    }

    /**
     * Returns the digest cut-off for a time. It advances in steps, so that two replicas that compare at slightly
     * different times leave out the same entries.
     */
    private double targetCutoff(double now) {
        return Double.isInfinite(type.retentionSeconds())
                ? Double.NEGATIVE_INFINITY
                : Math.floor((now - type.retentionSeconds() + exclusionMargin) / cutoffStep) * cutoffStep;
    }

    // ---- expiry and eviction ----

    /**
     * The eviction floor: entries with a timestamp at or below it were evicted by this or another replica. In seconds
     * since 1970; negative infinity if nothing was evicted.
     */
    double evictionFloor() {
        return evictionFloor;
    }

    /**
     * Adopts the eviction floor of another replica if it is higher than that of this table and plausible for this
     * router's clock. Removes at most {@code maxEntries} entries; later sweeps remove the rest.
     */
    void raiseFloor(double floor, double now, int maxEntries) {
        boolean plausible = !type.clockDependent() || floor <= now + maxClockSkew;
        if (floor > evictionFloor && plausible && floor < Double.POSITIVE_INFINITY) {
            evictionFloor = floor;
            removeAtOrBefore(evictionFloor, maxEntries);
        }
    }

    /**
     * Removes expired and evicted entries, and removes those that expire soon from the digest, at most about
     * {@code maxEntries} entries in total.
     */
    void sweep(double now, int maxEntries) {
        int remaining = removeAtOrBefore(Math.max(evictionFloor, now - type.retentionSeconds()), maxEntries);
        digest.advanceCutoff(targetCutoff(now), remaining);
    }

    /**
     * Evicts the oldest entries. All entries with the same timestamp are evicted together, so that the eviction floor
     * alone determines which entries were evicted.
     */
    private void evictBeyondMaxEntries() {
        while (slots.size() > type.maxEntries()) {
            evictionFloor = digest.timestamp(digest.oldestSlot());
            removeAtOrBefore(evictionFloor, Integer.MAX_VALUE);
        }
    }

    /**
     * Removes at most {@code maxEntries} entries whose timestamp is at or before {@code limit}. Returns the unused part
     * of {@code maxEntries}.
     */
    private int removeAtOrBefore(double limit, int maxEntries) {
        int remaining = maxEntries;
        int slot = digest.oldestSlot();
        while (slot >= 0 && digest.timestamp(slot) <= limit && remaining > 0) {
            remove(slot);
            remaining--;
            slot = digest.oldestSlot();
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
