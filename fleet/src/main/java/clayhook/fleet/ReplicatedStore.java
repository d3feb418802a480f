package clayhook.fleet;

import java.util.function.BiConsumer;

/** This router's replica of the shared values. Confined to one thread; readers on others get snapshots. */
public interface ReplicatedStore {
    /** Longest key, in bytes of UTF-8. */
    int MAX_KEY_BYTES = 256;

    /** Is told of changes of this replica. */
    interface ChangeListener<V> {
        /** Called after a change with the merged value; called on the store's thread. */
        void onChange(String key, V value, double now);
    }

    /**
     * Merges a value into this replica; a change is sent to the other routers.
     *
     * @return the merged value; null where the value is too old or at or below the eviction floor
     */
    <V> V merge(ReplicatedType<V> type, String key, V value, double now);

    /** Returns the value of that key; null where this replica has none. */
    <V> V get(ReplicatedType<V> type, String key);

    /** Hands all entries of the type to {@code consumer}, which must not change the store. */
    <V> void forEach(ReplicatedType<V> type, BiConsumer<String, V> consumer);

    /** Adds a listener for changes of the type, both own ones and those from peers. */
    <V> void addListener(ReplicatedType<V> type, ChangeListener<V> listener);

    /** The number of entries of the type. */
    int size(ReplicatedType<?> type);

    /**
     * The timestamp up to which entries may have been evicted at the bound, in seconds since 1970; negative infinity
     * for none. That a value of that age or older is absent proves nothing.
     */
    double evictionFloor(ReplicatedType<?> type);

    /**
     * The time up to which this replica has all that every possibly serving member has published, in seconds since
     * 1970; negative infinity before the replica is complete. That a younger value is absent proves nothing.
     */
    double completeUpTo(double now);

    /** A hash of all entries of the type that do not expire soon; equal replicas have equal digests. */
    long digest(ReplicatedType<?> type, double now);
}
