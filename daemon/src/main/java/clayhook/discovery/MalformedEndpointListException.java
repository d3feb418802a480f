package clayhook.discovery;

/** Text that is no endpoint list; the message names the field and what is wrong with it. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String message) {
        super(message);
    }

    MalformedEndpointListException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
