package clayhook.statements;

/** What a statement is taken for: a read only where every part of it is known to change nothing. */
public enum StatementEffect {
    READ,
    WRITE,
    /** It cannot be run through a shared connection, or not yet. */
    REFUSED
}
