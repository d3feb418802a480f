package clayhook.fleet;

/**
 * A type of values that are replicated under keys: a state-based CRDT, its encoding and its limits. Replicas that have
 * received the same values in any order, any number of times, are equal.
 *
 * @param <V> the values; immutable, with {@code equals} by content
 */
public interface ReplicatedType<V> {
    /** The type on the wire, never reused for another one. */
    int typeNumber();

    /** The name in logs and metrics. */
    String name();

    /** Merges two values. Commutative, associative and idempotent; equal results must be {@code equals}. */
    V merge(V a, V b);

    /**
     * When the value was observed, in seconds since 1970 on the clock of the router that observed it. A merged value is
     * never older than either of the two.
     */
    double timestamp(V value);

    /** Seconds after its timestamp for which a value is kept. An older one is dropped and never accepted again. */
    double retentionSeconds();

    /** The most entries kept. Beyond that the oldest are evicted and the eviction floor rises to their time. */
    int maxEntries();

    /** Whether a change is broadcast at once rather than in the next round of gossip. */
    default boolean urgent() {
        return false;
    }

    /** Whether timestamps are compared with clocks; if so, values from a router whose clock is off are not accepted. */
    default boolean clockDependent() {
        return true;
    }

    /**
     * Writes the fields in order; a later release may only add fields at the end. Key and value together take at most
     * {@link Packet#MAX_MESSAGE_BYTES} less the overhead of a message.
     */
    void write(V value, FieldWriter out);

    /** Reads a value as written by {@link #write}; throws IllegalArgumentException for an invalid one. */
    V read(FieldReader in);
}
