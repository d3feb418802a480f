package clayhook.discovery;

/** Thrown for text that is not a valid endpoint list; the message names the invalid field and the problem. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String message) {
        super(message);
    }

    MalformedEndpointListException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
