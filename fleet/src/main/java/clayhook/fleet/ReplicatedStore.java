package clayhook.fleet;

import java.util.function.BiConsumer;

/** The values that routers share, as this router's copy has them. For one thread; readers elsewhere get snapshots. */
public interface ReplicatedStore {
    /** Bytes of a key in UTF-8. */
    int MAX_KEY_BYTES = 256;

    /** Hears what has changed in this copy. */
    interface ChangeListener<V> {
        /** @param value the joined one */
        void onChange(String key, V value, double now);
    }

    /**
     * Joins that value in; what this changes is told to the others. Returns the joined one, or null where it is too old
     * or below the floor.
     */
    <V> V merge(ReplicatedType<V> kind, String key, V value, double now);

    /** Null where this copy has none. */
    <V> V get(ReplicatedType<V> kind, String key);

    <V> void forEach(ReplicatedType<V> kind, BiConsumer<String, V> to);

    <V> void addListener(ReplicatedType<V> kind, ChangeListener<V> listener);

    int size(ReplicatedType<?> kind);

    /**
     * What may have been dropped for want of room: of values as old as that or older, absence tells nothing. Negative
     * infinity for none.
     */
    double evictionFloor(ReplicatedType<?> kind);

    /**
     * Up to when this copy has whatever each member that may serve has put in, seconds since 1970: of values younger
     * than that, absence tells nothing. Negative infinity while it is being brought up.
     */
    double completeUpTo(double now);

    /** A hash of all entries of that kind that are not about to go; equal copies have equal ones. */
    long digest(ReplicatedType<?> kind, double now);
}
