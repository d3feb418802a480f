/**
 * Client connections: accepts them, reads their requests in order and writes the responses.
 *
 * <p>Start at {@link clayhook.frontend.ClientListener}, which owns all sessions;
 * {@link clayhook.frontend.ClientSession} is the state machine of one {@link clayhook.frontend.ClientConnection}, and
 * hands each request to its {@link clayhook.frontend.ClientSession.RequestHandler}. The package decides nothing about
 * routing. It may use the wire codec ({@code protocol}), the event loop and sockets ({@code transport}), the log, and
 * the classification of statements ({@code statements}). Everything in it runs on the event loop.
 */
package clayhook.frontend;
