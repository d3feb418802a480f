package clayhook;

/** How a dispatch or a probe ended. */
public enum Outcome {
    ANSWERED(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true),
    TURNED_AWAY(true);

    /** It is known that the command did not run. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
