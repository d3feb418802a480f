package clayhook.backend;

/** How far a request to a node has come; it decides whether a failure proves that nothing ran. */
enum AttemptPhase {
    /** It waits for a connection. */
    NOT_CONNECTED,
    /** It was handed to a connection; its last byte has not gone out yet. */
    PARTLY_WRITTEN,
    /** Its last byte has gone out. */
    WRITTEN,
    /** Part of the answer has come. */
    ANSWERING;

    /** Whether the last byte of the request has gone out, so that the node may have run it. */
    boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
