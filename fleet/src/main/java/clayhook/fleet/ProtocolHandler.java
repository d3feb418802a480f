package clayhook.fleet;

import java.util.Map;
import java.util.function.Function;

/**
 * One protocol that routers speak with each other, as a state machine without threads, clocks or I/O: it is handed
 * messages and the time, and hands out messages. A handler is called by one thread.
 */
public interface ProtocolHandler {
    /**
     * Decoders of the messages that this handler receives, by type number; none unless overridden. A decoder may throw
     * IllegalArgumentException, which skips the message.
     */
    default Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of();
    }

    /**
     * Handles a message from a peer. Messages of one packet come in the order sent; packets may be lost, duplicated,
     * late and out of order. Never called for a handler without {@link #messageReaders()}.
     */
    default void onMessage(Peer from, Message message, double now, Outbox out) {
        throw new IllegalArgumentException("this handler reads no messages");
    }

    /**
     * Does what is due. An earlier call than requested does no harm.
     *
     * @return when to call it next, in seconds since 1970
     */
    double tick(double now, Outbox out);
}
