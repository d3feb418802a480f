package clayhook;

/** The role that a node says it has in its replica set. */
public enum Role {
    /** The node has said nothing of its role. */
    UNKNOWN,
    /** The node takes writes. */
    PRIMARY,
    /** The node follows the log of a primary. */
    REPLICA
}
