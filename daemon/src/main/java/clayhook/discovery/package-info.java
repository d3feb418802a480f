/**
 * Watches the discovery service for the endpoint list: long polls over HTTP/1.1, liveness checks beside them, and the
 * parser of the list. What the list means for routing is decided elsewhere.
 *
 * <p>Uses the transport, the JSON parser ({@code clayhook.config}) and the log. All of it but
 * {@link clayhook.discovery.EndpointList} runs on one event loop. Start with
 * {@link clayhook.discovery.EndpointWatcher}, then {@code DiscoveryClient} (the state of one watch),
 * {@code PollConnection} (one connection) and {@code WatchLivenessCheck} (when to check).
 */
package clayhook.discovery;
