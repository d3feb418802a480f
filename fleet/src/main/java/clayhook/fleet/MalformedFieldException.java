package clayhook.fleet;

/** Thrown when encoded fields are truncated, have another type than expected or exceed a limit. */
public final class MalformedFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedFieldException(String message) {
        super(message);
    }

    MalformedFieldException(Throwable cause) {
        super(cause.getMessage(), cause);
    }
}
