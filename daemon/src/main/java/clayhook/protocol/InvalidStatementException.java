package clayhook.protocol;

/** Thrown for a malformed statement or routing comment. The message is sent to the client and names the problem. */
public final class InvalidStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidStatementException(String message) {
        super(message);
    }

    /** Omits the stack trace, which costs more than the rest of the statement's handling and is never read. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
