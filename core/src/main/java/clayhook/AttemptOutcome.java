package clayhook;

/** The outcome of an attempt or a health check. The names of the constants appear as counters in the log summary. */
public enum AttemptOutcome {
    /** The node answered the request. */
    ANSWERED(false),
    /** The node answered with an internal error or with a malformed response. */
    ERROR(false),
    /** The node answered a health check that it accepts no new requests, as it is draining or starting. */
    DRAINING(false),
    /** The node is overloaded and did not accept the request. */
    OVERLOADED(true),
    /** No response arrived before the timeout. */
    TIMED_OUT(false),
    /** No connection to the node could be opened. */
    CONNECT_FAILED(true),
    /** The connection broke after the request was written. */
    RESET(false),
    /** The attempt was cancelled after the request was written. */
    CANCELLED(false),
    /** The attempt was abandoned before the request was written. */
    NOT_SENT(true),
    /** The node cannot serve the request: it is a replica that lags too far, or a replica that was sent a write. */
    REJECTED(true);

    /** Whether the node certainly did not execute the request. */
    public final boolean notExecuted;

    AttemptOutcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }
}
