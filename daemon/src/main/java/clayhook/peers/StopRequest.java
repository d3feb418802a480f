package clayhook.peers;

/** Requests to the gossip thread to leave or to close. Set by any thread and never reset. */
final class StopRequest {
    private volatile boolean closing;
    private volatile boolean leaving;

    /** Requests that the thread announces that this router leaves, and then ends. */
    void leave() {
        leaving = true;
    }

    /** Requests that the thread ends at once. */
    void close() {
        closing = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isClosing() {
        return closing;
    }
}
