package clayhook.frontend;

/** The reason for the end of a client connection. The names are part of counter names and log lines. */
enum EndCause {
    /** The client closed or reset the connection. */
    CLIENT_LEFT,
    /** The router is shutting down. */
    SHUTDOWN,
    /** The session was idle, and the number of idle sessions exceeded its maximum. */
    CROWDED,
    /** The session was idle, and a new client needed its descriptor. */
    EVICTION,
    /** The client did not send a complete request within the time limit. */
    IDLE_TIMEOUT,
    /** The client did not read a response within the time limit. */
    UNREAD_RESPONSE,
    /** The client violated the protocol or exceeded a limit. */
    MALFORMED_INPUT,
    /** The client sent a Terminate message. */
    TERMINATE,
    /** The connection was used for a cancel request, which gets no response. */
    CANCEL_REQUEST,
    /** The parameters of the start-up message were refused. */
    STARTUP_REJECTED,
    /** The session failed with an exception. */
    SESSION_FAULT;

    /** Whether input that follows the last answered message of the client needs no response. */
    boolean allowsUnansweredInput() {
        return this == CLIENT_LEFT || this == TERMINATE || this == CANCEL_REQUEST;
    }

    /**
     * Whether the client may have a request in transit, which must be left unread so that the last error answers it.
     */
    boolean leavesInputUnread() {
        return this == SHUTDOWN || this == CROWDED || this == EVICTION || this == IDLE_TIMEOUT || this == SESSION_FAULT;
    }
}
