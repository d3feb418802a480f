/**
 * Client of the discovery service: watches the endpoint list with HTTP/1.1 long polls, verifies each watch with
 * periodic liveness checks, and parses the list. Routing decisions based on the list are made in other packages.
 *
 * <p>Depends on the transport, the JSON parser ({@code clayhook.json}) and the log. All classes except
 * {@link clayhook.discovery.EndpointList} are confined to one event loop. Start with
 * {@link clayhook.discovery.EndpointWatcher}, then read {@code DiscoveryClient} (the state of one watch),
 * {@code PollConnection} (one connection) and {@code WatchLivenessCheck} (the schedule of the liveness checks).
 */
package clayhook.discovery;
