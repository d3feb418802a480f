package clayhook.fleet;

/**
 * A type of values that are replicated by key: a state-based CRDT, its encoding and its limits. Replicas that have
 * received the same values, in any order and any number of times, are equal.
 *
 * @param <V> the type of the values, which are immutable and have an {@code equals} that compares their content
 */
public interface ReplicatedType<V> {
    /** Returns the type number on the wire, which is never reused for another type. */
    int typeNumber();

    /** Returns the name of the type in logs and metrics. */
    String name();

    /** Merges two values. The operation is commutative, associative and idempotent with respect to {@code equals}. */
    V merge(V a, V b);

    /**
     * Returns when the value was observed, in seconds since 1970 on the clock of the router that observed it. The
     * timestamp of a merged value is not earlier than that of either of the two values.
     */
    double timestamp(V value);

    /**
     * Returns for how many seconds after its timestamp a value is retained. An older value expires and is not accepted
     * again.
     */
    double retentionSeconds();

    /**
     * Returns the maximum number of entries. Beyond it, the oldest entries are evicted and the eviction floor rises to
     * their timestamps.
     */
    int maxEntries();

    /** Returns whether a change is broadcast immediately instead of in the next gossip round. */
    default boolean urgent() {
        return false;
    }

    /**
     * Returns whether timestamps of the type are compared with clocks. If so, values from a router whose clock exceeds
     * the clock skew bound are not accepted.
     */
    default boolean clockDependent() {
        return true;
    }

    /**
     * Writes the fields in a fixed order. Later releases may only add fields at the end. The key and the value together
     * take up at most {@link Packet#MAX_MESSAGE_BYTES} minus the overhead of a message.
     */
    void write(V value, FieldWriter out);

    /** Reads a value that {@link #write} has written. Throws IllegalArgumentException if it is invalid. */
    V read(FieldReader in);
}
