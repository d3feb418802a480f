package clayhook.fleet;

/**
 * Collects messages to send. They are sent once the current tick or datagram has been handled; messages to the same
 * address share packets.
 */
public interface Outbox {
    /**
     * Queues a message. Throws IllegalArgumentException if its encoded fields exceed {@link Packet#MAX_MESSAGE_BYTES}.
     */
    void add(Address to, Message message);
}
