package clayhook.backend;

/** How far an attempt had come. */
enum AttemptPhase {
    NOT_CONNECTED,
    PARTLY_WRITTEN,
    WRITTEN,
    ANSWERING;

    /** The last byte of the request was written. */
    boolean mayHaveRun() {
        return this == WRITTEN || this == ANSWERING;
    }
}
