package clayhook.statements;

/** The verdict about a statement: it is a read only if every part of it is known to change nothing. */
public enum StatementEffect {
    READ,
    WRITE,
    /**
     * The statement is not sent to a node: it cannot run on a shared connection, or not yet, or the rules refuse it.
     */
    REFUSED
}
