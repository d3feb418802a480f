package clayhook.fleet;

import java.util.Map;
import java.util.function.Function;

/**
 * A protocol between routers, implemented as a state machine without threads, clocks or I/O: callers pass in messages
 * and the current time, and the handler adds messages to an outbox. All methods of a handler are called on the same
 * thread.
 */
public interface ProtocolHandler {
    /**
     * Returns the decoders of the messages that this handler receives, by type number. The default implementation
     * returns an empty map. A message is skipped if its decoder throws IllegalArgumentException.
     */
    default Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of();
    }

    /**
     * Handles a message from a peer. The messages of one packet are passed in the order in which they were sent.
     * Packets may be lost, duplicated, delayed and reordered. Never called for a handler without
     * {@link #messageReaders()}.
     */
    default void onMessage(Peer from, Message message, double now, Outbox out) {
        throw new IllegalArgumentException("this handler reads no messages");
    }

    /**
     * Performs the work that is due. The handler accepts calls before the requested time.
     *
     * @return when the next call is due, in seconds since 1970
     */
    double tick(double now, Outbox out);
}
