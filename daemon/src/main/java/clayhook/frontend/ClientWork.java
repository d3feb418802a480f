package clayhook.frontend;

/**
 * Counts the client messages that were handled since the last tick of the event loop, in total and for the session with
 * most of them, so that a stall can be attributed to clients. All methods must be called on the event loop.
 */
final class ClientWork {
    /** The count of one session. */
    final class SessionCount {
        private long countedPeriod;
        private int messages;

        private SessionCount() {}

        /** Counts one message that the session handles. */
        void increment() {
            if (countedPeriod != period) {
                countedPeriod = period;
                messages = 0;
                sessionCount++;
            }
            messages++;
            messageCount++;
            largestSession = Math.max(largestSession, messages);
        }
    }

    private long period;
    private int messageCount;
    private int sessionCount;
    private int largestSession;

    /** Creates the count of a new session. */
    SessionCount newSession() {
        return new SessionCount();
    }

    /** Starts to count from zero. */
    void startPeriod() {
        period++;
        messageCount = 0;
        sessionCount = 0;
        largestSession = 0;
    }

    /** Describes the messages handled since the last call of {@link #startPeriod}, for the log. */
    String describe() {
        return messageCount + " messages of " + sessionCount + " clients handled, at most " + largestSession
                + " of one client";
    }
}
