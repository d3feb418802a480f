package clayhook.fleet;

/** An immutable message from one router to another. A packet carries one or more messages. */
public interface Message {
    /**
     * Returns the type number of the message on the wire. Numbers 1 to 19 are for membership, 20 to 39 for state and 40
     * to 59 for rollouts; a number is never reused for another type. A router skips and counts messages of an unknown
     * type.
     */
    int typeNumber();

    /** Writes the fields in a fixed order. Later releases may only add fields at the end. */
    void write(FieldWriter out);
}
