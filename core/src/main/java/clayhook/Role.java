package clayhook;

/** The role that a node says it has in its replica set. */
public enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
}
