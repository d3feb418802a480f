package clayhook.frontend;

/**
 * Tells whether a close of the client would be known by now. A socket reports a close only behind all input, so that
 * unread input hides it. While the connection is read, a close is known once a read has found nothing, or an event loop
 * iteration has read nothing. While it is not read, probes are written: the system of a client that has closed its
 * socket answers the first with a reset, upon which the second fails. All methods must be called on the event loop.
 */
final class CloseDetector {
    private static final int PROBES_TO_DETECT_CLOSE = 2;

    private final ClientConnection connection;
    private final BoundedReadAllocator readAllocator;
    /** The number of series of socket reads. */
    private int reads;
    /** The number of probes since the connection was last no longer read. */
    private int probes;
    /** The step that waits until a close would be known, or null. */
    private Runnable waitingStep;

    CloseDetector(ClientConnection connection, BoundedReadAllocator readAllocator) {
        this.connection = connection;
        this.readAllocator = readAllocator;
    }

    /** Handles the end of a series of socket reads. */
    void onReadComplete() {
        reads++;
        runWaitingStepIfCloseIsKnown();
    }

    /** Handles that the connection is no longer read. */
    void onReadingStopped() {
        probes = 0;
    }

    /** Handles that a probe was due, and has been written if a request is in flight. */
    void onProbe() {
        probes++;
        runWaitingStepIfCloseIsKnown();
    }

    /** Handles the end of the connection. */
    void onClosed() {
        runWaitingStepIfCloseIsKnown();
    }

    /** Whether the connection has ended, or a close of the client would be known. */
    boolean isCloseKnown() {
        if (!connection.isOpen()) {
            return true;
        } else if (connection.isClosing()) {
            return false;
        }
        return connection.isRead() ? readAllocator.isLastReadEmpty() : probes >= PROBES_TO_DETECT_CLOSE;
    }

    /** Runs a step once {@link #isCloseKnown}, at the latest at the end of the connection; only one step may wait. */
    void runOnceCloseIsKnown(Runnable step) {
        waitingStep = step;
        checkAfterPendingReads();
    }

    /** Repeats until an event loop iteration has read nothing: then neither input nor a close is pending. */
    private void checkAfterPendingReads() {
        int readsBefore = reads;
        connection.runAfterPendingReads(() -> {
            if (waitingStep != null && reads > readsBefore) {
                checkAfterPendingReads();
            } else if (waitingStep != null && connection.isRead()) {
                runWaitingStep();
            }
        });
    }

    private void runWaitingStepIfCloseIsKnown() {
        if (waitingStep != null && isCloseKnown()) {
            runWaitingStep();
        }
    }

    private void runWaitingStep() {
        Runnable step = waitingStep;
        waitingStep = null;
        step.run();
    }
}
