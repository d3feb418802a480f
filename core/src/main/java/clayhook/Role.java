package clayhook;

/** The role in its replica set that a node reports. */
public enum Role {
    /** The node has not reported its role. */
    UNKNOWN,
    /** The node executes writes. */
    PRIMARY,
    /** The node applies the log of a primary. */
    REPLICA
}
