package clayhook.fleet;

import java.util.function.BiConsumer;

/** This router's replica of the values that routers share. Confined to one thread; other threads read snapshots. */
public interface ReplicatedStore {
    /** Maximum length of a key, in bytes of UTF-8. */
    int MAX_KEY_BYTES = 256;

    /** Receives the changes of this replica. */
    interface ChangeListener<V> {
        /** Called on the store's thread after a value has changed, with the merged value. */
        void onChange(String key, V value, double now);
    }

    /**
     * Merges a value into this replica and sends the result to the other routers if it changed the replica.
     *
     * @return the merged value; null if the value is expired, or is at or below the eviction floor
     */
    <V> V merge(ReplicatedType<V> type, String key, V value, double now);

    /** Returns the value of the key; null if this replica has none. */
    <V> V get(ReplicatedType<V> type, String key);

    /** Passes all entries of the type to {@code consumer}, which must not change the store. */
    <V> void forEach(ReplicatedType<V> type, BiConsumer<String, V> consumer);

    /** Adds a listener for changes of values of the type, both by this router and by peers. */
    <V> void addListener(ReplicatedType<V> type, ChangeListener<V> listener);

    /** Returns the number of entries of the type. */
    int size(ReplicatedType<?> type);

    /**
     * Returns the latest timestamp of entries that may have been evicted because the type reached its maximum number of
     * entries, in seconds since 1970; negative infinity if none was evicted. The absence of a value with this or an
     * older timestamp does not mean that it was never published.
     */
    double evictionFloor(ReplicatedType<?> type);

    /**
     * Returns the time up to which this replica contains everything that the possibly serving members have published,
     * in seconds since 1970; negative infinity before the replica is complete. The absence of a value with a later
     * timestamp does not mean that it was never published.
     */
    double completeUpTo(double now);

    /** Returns a hash of all entries of the type that do not expire soon. Equal replicas have equal digests. */
    long digest(ReplicatedType<?> type, double now);
}
