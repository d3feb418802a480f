/**
 * The wire protocol of clients and nodes: version 3 of the PostgreSQL protocol, limited to simple queries.
 *
 * <p>Start with {@link clayhook.protocol.ClientMessageDecoder} and {@link clayhook.protocol.NodeMessageDecoder}, which
 * decode bytes into {@link clayhook.protocol.ClientMessage} and {@link clayhook.protocol.NodeMessage}, and with
 * {@link clayhook.protocol.MessageEncoder} for the opposite direction. {@link clayhook.protocol.KeyValueStatement} and
 * {@link clayhook.protocol.RoutingComment} parse the text of statements. The package keeps no connection state except
 * the message being received. It may depend on Netty, but on no other package of this project.
 */
package clayhook.protocol;
