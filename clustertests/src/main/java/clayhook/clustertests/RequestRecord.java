package clayhook.clustertests;

import java.util.Locale;

/**
 * The outcome of one request for its client. Times are seconds on the clock of {@link HistoryRecorder}.
 *
 * @param id id of the request
 * @param router name of the router
 * @param client kind of client that sent it
 * @param localPort local port of the client's connection, which identifies the connection in the router's log
 * @param sentAt time at which its last byte was written
 * @param timeoutSeconds client timeout, from {@code sentAt} on
 * @param outcome kind of answer, or the event that took its place
 * @param finishedAt time of the outcome
 */
record RequestRecord(
        String id,
        String router,
        String client,
        int localPort,
        double sentAt,
        double timeoutSeconds,
        Outcome outcome,
        double finishedAt) {
    /** How a request ended for its client. */
    enum Outcome {
        /** The client received a complete row from a node. */
        SERVED,
        /** The client received an error that says that the request was never executed. */
        REFUSED,
        /** The client received any other error. */
        FAILED,
        /** The connection ended in an orderly way without an answer. */
        ENDED,
        /** The connection ended after a fatal refusal of a request that was sent before this one. */
        ENDED_BEHIND_REFUSAL,
        /** The connection was reset without an answer. */
        RESET,
        /** Nothing was received in time. */
        SILENCE
    }

    boolean isAnswered() {
        return outcome == Outcome.SERVED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED;
    }

    /** Seconds from sending to the outcome. */
    double seconds() {
        return finishedAt - sentAt;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s of a %s client at %s (port %d): %s after %.3f s of %.3f",
                id,
                client,
                router,
                localPort,
                outcome,
                seconds(),
                timeoutSeconds);
    }
}
