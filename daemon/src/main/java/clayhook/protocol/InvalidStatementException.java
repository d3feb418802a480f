package clayhook.protocol;

/** Thrown for a malformed statement or routing comment. The message is sent to the client and names the problem. */
public final class InvalidStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidStatementException(String message) {
        super(message);
    }
}
