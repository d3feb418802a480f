/**
 * Connections to the nodes: connection pools, attempts and health checks in flight, and the values that nodes report
 * with their answers. The routing policy decides which request is sent to which node and receives the results; this
 * package makes no routing decisions.
 *
 * <p>Uses the wire codecs ({@code clayhook.protocol}), the transport and the operator's configuration. All classes run
 * on one event loop. Start with {@link clayhook.backend.BackendClient}, then {@code ConnectionPool} (assigns requests
 * to connections), {@code NodeConnection} (a single connection) and {@code AnswerReader} (the message order of an
 * answer).
 */
package clayhook.backend;
