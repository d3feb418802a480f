package clayhook.fleet;

/** Encoded fields cannot be read: they are truncated, of another type than expected, or beyond a limit. */
public final class MalformedFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedFieldException(String message) {
        super(message);
    }

    MalformedFieldException(Throwable cause) {
        super(cause.getMessage(), cause);
    }
}
