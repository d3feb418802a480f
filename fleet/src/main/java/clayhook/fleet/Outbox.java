package clayhook.fleet;

/** Collects messages to send. They leave when the current tick or datagram has been handled, several to a packet. */
public interface Outbox {
    /** Queues a message; throws IllegalArgumentException for one longer than {@link Packet#MAX_MESSAGE_BYTES}. */
    void add(Address to, Message message);
}
