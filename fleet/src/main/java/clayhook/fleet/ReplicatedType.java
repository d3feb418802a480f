package clayhook.fleet;

/**
 * A kind of value that routers share under a key. Two copies that differ are joined; whoever hears one twice, late or
 * over three ways comes to the same.
 */
public interface ReplicatedType<V> {
    /** Its number on the wire, never given to another kind. */
    int typeNumber();

    /** For the log and for figures. */
    String name();

    /** Commutative, associative and idempotent; never changes either value. Equal results must be {@code equals}. */
    V merge(V a, V b);

    /** When it was true there, seconds since 1970 on the clock of whoever saw it. A join is never older than either. */
    double timestamp(V value);

    /** Seconds after that for which it is kept. What is older is neither kept nor taken, so that nothing comes back. */
    double retentionSeconds();

    /** Entries kept at most. At the bound the oldest go, and the floor rises to them. */
    int maxEntries();

    /** Its news goes out at once; else with the next turn of gossip. */
    default boolean urgent() {
        return false;
    }

    /** Whether its times are compared with clocks, so that nothing of it is heard from a router whose clock is off. */
    default boolean clockDependent() {
        return true;
    }

    /**
     * Fields in order; a later release may only add some at the end. At most {@code Packet.LONGEST_PART} less the key's
     * bytes.
     */
    void write(V value, FieldWriter out);

    /** Throws IllegalArgumentException for what cannot be. */
    V read(FieldReader in);
}
