package clayhook.frontend;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.SqlState;
import java.util.ArrayDeque;

/**
 * The messages that one client has pipelined, in the order received, and that are not handled yet. All methods must be
 * called on the event loop.
 */
final class PendingMessages {
    /**
     * The maximum number of queued messages. A client that pipelines more is disconnected after these are answered, and
     * the messages beyond the limit are read but not answered, so the limit is far above what clients pipeline. The
     * decoder limits the memory of the messages.
     */
    private static final int MAX_PENDING_MESSAGES = 1024;

    private final ArrayDeque<Object> messages = new ArrayDeque<>();

    /**
     * Appends a message and returns true. If the queue is full, appends an error that closes the session instead and
     * returns false; no message may be added after that.
     */
    boolean add(Object message) {
        boolean accepted = messages.size() < MAX_PENDING_MESSAGES;
        messages.add(
                accepted ? message : new ClientMessage.Malformed(SqlState.LIMIT_EXCEEDED, "too many commands ahead"));
        return accepted;
    }

    /** Removes and returns the oldest message; null if there is none. */
    Object poll() {
        return messages.poll();
    }

    int size() {
        return messages.size();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    void clear() {
        messages.clear();
    }
}
