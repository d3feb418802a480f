/**
 * Interface between {@code clayhook.serve} and {@code clayhook.peers}, through which the event loop exchanges state
 * with peers without either package depending on the other's classes. Start reading at
 * {@link clayhook.sharing.PeerSharing}.
 */
package clayhook.sharing;
