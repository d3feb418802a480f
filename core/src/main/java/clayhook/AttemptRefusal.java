package clayhook;

/** Why an attempt may not be sent now. The names appear as counters in the log summary. */
public enum AttemptRefusal {
    /** It may be sent. */
    NONE,
    /** The request has its final answer. */
    REQUEST_COMPLETED,
    /** The client has closed its connection or cancelled the request. */
    CLIENT_GONE,
    /** No time is left for an answer. */
    NO_TIME_LEFT,
    /** The endpoint list says that the node drains, or lacks it. */
    NODE_DRAINING,
    /** The endpoint list can no longer be relied on, and the node has not passed a health check lately. */
    NODE_UNCONFIRMED,
    /** The request may have been executed and may not be executed again, or not any more. */
    RETRY_FORBIDDEN,
    /** The node is in slow start, and this router's token for it has expired or belongs to an earlier process. */
    NO_SLOW_START_TOKEN,
    /** The node no longer satisfies the read. */
    READ_TOO_STALE
}
