package clayhook;

/** The part that a node says it plays in its group. */
public enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
}
