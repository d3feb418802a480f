/**
 * Connections to the nodes: pools, attempts and health checks on their way, and what the nodes' answers report. It
 * decides nothing; the routing policy says what is sent where, and hears how it ended.
 *
 * <p>Uses the wire codecs ({@code clayhook.protocol}), the transport and the operator's configuration. All of it runs
 * on one event loop. Start with {@link clayhook.backend.BackendClient}, then {@code ConnectionPool} (which request gets
 * which connection), {@code NodeConnection} (one connection) and {@code AnswerReader} (the order of an answer's
 * messages).
 */
package clayhook.backend;
