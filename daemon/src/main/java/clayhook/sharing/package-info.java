/**
 * What the event loop tells peers and hears from them: the interface between {@code clayhook.serve} and
 * {@code clayhook.peers}, so that neither depends on the other's classes. Start reading at
 * {@link clayhook.sharing.PeerSharing}.
 */
package clayhook.sharing;
