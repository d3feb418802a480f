/**
 * Sharing of state between routers over UDP: the socket, the gossip thread and the queues to and from the event loop.
 *
 * <p>Uses the protocols of {@code clayhook.fleet} and implements {@link clayhook.sharing.PeerSharing}; only the server
 * starts it, and only where sharing is enabled. Events go from the event loop through {@link clayhook.peers.EventQueue}
 * to the gossip thread, and what peers have published comes back through {@link clayhook.peers.ConflatingQueue}.
 *
 * <p>Start reading at {@link clayhook.peers.GossipTransport}, then {@link clayhook.peers.GossipLoop} for the thread and
 * {@link clayhook.peers.StateBridge} for what is shared.
 */
package clayhook.peers;
