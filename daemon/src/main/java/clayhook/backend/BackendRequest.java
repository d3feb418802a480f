package clayhook.backend;

import clayhook.Attempt;
import clayhook.Node;
import clayhook.protocol.OutboundStatement;

/** A dispatch or a probe on its way to a node. */
final class BackendRequest {
    final Node node;
    /** Null for a probe. */
    final Attempt attempt;

    final OutboundStatement statement;
    final double startedAt;
    AttemptPhase phase = AttemptPhase.NOT_CONNECTED;
    /** Its ending was told; there is no other, and it goes nowhere any more. */
    boolean completed;
    /** The connection that it was written to. */
    NodeConnection connection;

    BackendRequest(Node node, Attempt dispatch, OutboundStatement outgoing, double startedAt) {
        this.node = node;
        this.attempt = dispatch;
        this.statement = outgoing;
        this.startedAt = startedAt;
    }

    /** It may be sent on that connection without changing the settings there first; a probe on any. */
    boolean canUse(NodeConnection connection) {
        return statement == null || statement.settings().equals(connection.settings());
    }
}
