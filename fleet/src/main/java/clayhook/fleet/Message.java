package clayhook.fleet;

/** A message from one router to another; a packet carries one or more. Immutable. */
public interface Message {
    /**
     * The type of the message on the wire, never reused for another one: 1 to 19 membership, 20 to 39 state, 40 to 59
     * rollouts. A router that does not know the type skips the message and counts it.
     */
    int typeNumber();

    /** Writes the fields in order; a later release may only add fields at the end. */
    void write(FieldWriter out);
}
