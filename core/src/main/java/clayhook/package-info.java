/**
 * The routing decisions of one router, independent of wire formats, I/O and clocks.
 *
 * <p>{@link clayhook.RoutingPolicy} is the entry point. It takes a {@link clayhook.Request} with its
 * {@link clayhook.Attempt}s and returns a {@link clayhook.Decision} or a {@link clayhook.TickResult}. Events are passed
 * to it as {@link clayhook.AttemptResult}, {@link clayhook.Endpoint} and {@link clayhook.PeerObservation}. The package
 * depends only on the JDK. Nothing in it is thread-safe: each router calls it from its event loop. Times are seconds of
 * a single clock, as doubles.
 */
package clayhook;
