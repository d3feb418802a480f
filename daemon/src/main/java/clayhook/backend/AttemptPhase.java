package clayhook.backend;

/** The progress of a request to a node; it determines whether a failure proves that the statement did not run. */
enum AttemptPhase {
    /** The request waits for a connection. */
    NOT_CONNECTED,
    /** The request was passed to a connection; its last byte has not been written to the socket yet. */
    PARTLY_WRITTEN,
    /** The last byte of the request was written to the socket. */
    WRITTEN,
    /** Part of the answer was received. */
    ANSWERING;

    /** Whether the last byte of the request was written, so that the node may have run it. */
    boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
