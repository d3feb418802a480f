/**
 * The bookkeeping between a router's event loop and its decisions: {@link clayhook.inflight.InFlightRequests} holds the
 * requests in flight, passes events to {@link clayhook.RoutingPolicy} and returns what is to be carried out. It uses
 * only the package {@code clayhook}, does no I/O and reads no clock, so that the server, the simulator and the lab
 * share it.
 */
package clayhook.inflight;
