/**
 * The routing decisions of one router, free of any wire format, I/O and clock.
 *
 * <p>{@link clayhook.RoutingPolicy} decides; start there. A {@link clayhook.Request} with its {@link clayhook.Attempt}s
 * goes in; a {@link clayhook.Decision} or a {@link clayhook.TickResult} comes out. What happened is reported as
 * {@link clayhook.AttemptResult}, {@link clayhook.Endpoint} and {@link clayhook.PeerObservation}. The package uses only
 * the JDK. Nothing in it is thread-safe: each router calls it from its event loop. Times are double seconds of one
 * clock.
 */
package clayhook;
