package clayhook.fleet;

/** One thing that a router tells another; a packet carries one or more. */
public interface Message {
    /**
     * Its number on the wire, never given to anything else: 1 to 19 members, 20 to 39 state, 40 to 59 rollouts. A
     * router that does not know the number skips the part and counts it.
     */
    int typeNumber();

    /** Writes its fields in order; a later release may only add fields at the end. */
    void write(FieldWriter out);
}
