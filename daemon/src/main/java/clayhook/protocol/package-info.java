/**
 * The wire protocol of clients and nodes, which is version 3 of the PostgreSQL protocol with simple queries only.
 *
 * <p>Start at {@link clayhook.protocol.ClientMessageDecoder} and {@link clayhook.protocol.NodeMessageDecoder}, which
 * turn bytes into {@link clayhook.protocol.ClientMessage} and {@link clayhook.protocol.NodeMessage}, and at
 * {@link clayhook.protocol.MessageEncoder} for the way back. {@link clayhook.protocol.KeyValueStatement} and
 * {@link clayhook.protocol.RoutingComment} parse the text of statements. The package holds no state of connections
 * beyond the message being read; it may use Netty buffers and nothing else of this project.
 */
package clayhook.protocol;
