package clayhook;

/** How an attempt or a health check ended. The names appear as counters in the log summary. */
public enum AttemptOutcome {
    /** The node answered the request. */
    ANSWERED(false),
    /** The node answered with an error of its own, or with what cannot be understood. */
    ERROR(false),
    /** The node is overloaded and did not take the request. */
    OVERLOADED(true),
    /** No response came by the time limit. */
    TIMED_OUT(false),
    /** No connection to the node could be opened. */
    CONNECT_FAILED(true),
    /** The connection broke after the request was written. */
    RESET(false),
    /** The attempt was cancelled after the request was written. */
    CANCELLED(false),
    /** The attempt was given up before the request was written. */
    NOT_SENT(true),
    /** The node does not serve such a request: a replica that lags too far, or one that was sent a write. */
    REJECTED(true);

    /** Whether the request was certainly not executed. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }
}
