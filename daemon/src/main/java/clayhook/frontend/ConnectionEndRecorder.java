package clayhook.frontend;

import clayhook.log.Log;
import clayhook.metrics.EventCounters;

/**
 * Counts the ends of client connections by cause, and logs connections on which input was read but not answered, since
 * every request that was read must be answered. All methods must be called on the event loop.
 */
final class ConnectionEndRecorder {
    private final EventCounters counters;

    ConnectionEndRecorder(EventCounters counters) {
        this.counters = counters;
    }

    /**
     * Records the end of one connection.
     *
     * @param client the address of the client
     * @param unansweredBytes the number of bytes that were read but not answered
     */
    void record(EndCause cause, String client, long unansweredBytes) {
        counters.increment("ended " + cause);
        if (cause.allowsUnansweredInput() || unansweredBytes == 0) {
            return;
        }
        counters.increment("unanswered input " + cause);
        Log.warn(
                "unanswered input " + cause,
                "the connection of " + client + " ended by " + cause + " with " + unansweredBytes
                        + " bytes read and not answered");
    }
}
