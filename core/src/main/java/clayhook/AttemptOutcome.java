package clayhook;

/** How a dispatch or a probe ended. */
public enum AttemptOutcome {
    ANSWERED(false),
    ERROR(false),
    OVERLOADED(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true),
    REJECTED(true);

    /** It is known that the command did not run. */
    public final boolean notExecuted;

    AttemptOutcome(boolean neverRan) {
        this.notExecuted = neverRan;
    }
}
