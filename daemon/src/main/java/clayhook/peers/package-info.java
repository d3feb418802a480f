/**
 * Exchange of state between routers over UDP: the socket, the gossip thread, and the queues to and from the event loop.
 *
 * <p>The package uses the protocols of {@code clayhook.fleet} and implements {@link clayhook.sharing.PeerSharing}; only
 * the server starts it, and only if sharing is enabled. Events pass from the event loop to the gossip thread through
 * {@link clayhook.peers.EventQueue}; values that peers have published return through
 * {@link clayhook.peers.ConflatingQueue}.
 *
 * <p>Start reading at {@link clayhook.peers.GossipTransport}, then {@link clayhook.peers.GossipLoop} for the thread and
 * {@link clayhook.peers.StateBridge} for what is shared.
 */
package clayhook.peers;
