package clayhook;

/** The reason why an attempt may not be sent now. The names of the constants appear as counters in the log summary. */
public enum AttemptRefusal {
    /** The attempt may be sent. */
    NONE,
    /** The request has its final answer. */
    REQUEST_COMPLETED,
    /** The client has closed its connection or cancelled the request. */
    CLIENT_GONE,
    /** The request was admitted as a read by rules that have been replaced by ones by which it may write. */
    RULES_CHANGED,
    /** No time is left for a response. */
    NO_TIME_LEFT,
    /** The node is draining or missing according to the endpoint list. */
    NODE_DRAINING,
    /** The lease on the endpoint list has expired, and the node has not passed a health check recently. */
    NODE_UNCONFIRMED,
    /** The request may have been executed, and must not be executed again or can no longer be deduplicated. */
    RETRY_FORBIDDEN,
    /** The node is in slow start, and this router's token has expired or belongs to an earlier process of the node. */
    NO_SLOW_START_TOKEN,
    /** The node is not known to have applied everything that the read must see. */
    READ_TOO_STALE
}
