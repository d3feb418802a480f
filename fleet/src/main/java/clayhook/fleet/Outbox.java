package clayhook.fleet;

/** What is to be sent; it leaves when the turn ends, several parts to a packet. */
public interface Outbox {
    void add(Address to, Message part);
}
