package clayhook.peers;

/** What the gossip thread has been asked to end with. Set by any thread, never taken back. */
final class StopRequest {
    private volatile boolean closing;
    private volatile boolean leaving;

    /** Asks the thread to announce that this router leaves, and then to end. */
    void leave() {
        leaving = true;
    }

    /** Asks the thread to end at once. */
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
