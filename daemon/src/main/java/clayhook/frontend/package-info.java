/**
 * The client side of the router: accepts client connections, reads their requests in order and writes the responses.
 *
 * <p>Start at {@link clayhook.frontend.ClientListener}, which owns all sessions.
 * {@link clayhook.frontend.ClientSession} is the state machine of one {@link clayhook.frontend.ClientConnection} and
 * passes each request to its {@link clayhook.frontend.ClientSession.RequestHandler}. The package makes no routing
 * decisions. It depends on the wire codec ({@code protocol}), the event loop and sockets ({@code transport}), the log,
 * and the classification of statements ({@code statements}). All of its code runs on the event loop.
 */
package clayhook.frontend;
