/**
 * The state between a router's event loop and its routing policy: {@link clayhook.inflight.InFlightRequests} holds the
 * requests in flight, passes events to {@link clayhook.RoutingPolicy} and returns the decisions to be carried out. It
 * depends only on the package {@code clayhook}, performs no I/O and reads no clock, so that the server, the simulator
 * and the lab share it.
 */
package clayhook.inflight;
