package clayhook.fleet;

import java.util.function.BiConsumer;

/** The values that routers share, as this router's copy has them. For one thread; readers elsewhere get snapshots. */
public interface Shared {
    /** Bytes of a key in UTF-8. */
    int LONGEST_KEY = 256;

    /** Hears what has changed in this copy. */
    interface Listener<V> {
        /** @param value the joined one */
        void changed(String key, V value, double now);
    }

    /**
     * Joins that value in; what this changes is told to the others. Returns the joined one, or null where it is too old
     * or below the floor.
     */
    <V> V put(Kind<V> kind, String key, V value, double now);

    /** Null where this copy has none. */
    <V> V get(Kind<V> kind, String key);

    <V> void each(Kind<V> kind, BiConsumer<String, V> to);

    <V> void listen(Kind<V> kind, Listener<V> listener);

    int size(Kind<?> kind);

    /**
     * What may have been dropped for want of room: of values as old as that or older, absence tells nothing. Negative
     * infinity for none.
     */
    double floor(Kind<?> kind);

    /**
     * Up to when this copy has whatever each member that may serve has put in, seconds since 1970: of values younger
     * than that, absence tells nothing. Negative infinity while it is being brought up.
     */
    double certainUpTo(double now);

    /** A hash of all entries of that kind that are not about to go; equal copies have equal ones. */
    long digest(Kind<?> kind, double now);
}
