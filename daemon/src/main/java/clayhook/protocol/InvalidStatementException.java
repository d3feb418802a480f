package clayhook.protocol;

/** A statement or its routing comment has no valid form. The message goes to the client, and names what is wrong. */
public final class InvalidStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidStatementException(String message) {
        super(message);
    }
}
