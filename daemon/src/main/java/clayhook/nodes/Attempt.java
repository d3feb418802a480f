package clayhook.nodes;

import clayhook.Dispatch;
import clayhook.Node;
import clayhook.protocol.Outgoing;

/** A dispatch or a probe on its way to a node. */
final class Attempt {
    final Node node;
    /** Null for a probe. */
    final Dispatch dispatch;

    final Outgoing outgoing;
    final double startedAt;
    Stage stage = Stage.NOT_CONNECTED;
    /** Its ending was told; there is no other, and it goes nowhere any more. */
    boolean ended;
    /** The connection that it was written to. */
    NodeConnection connection;

    Attempt(Node node, Dispatch dispatch, Outgoing outgoing, double startedAt) {
        this.node = node;
        this.dispatch = dispatch;
        this.outgoing = outgoing;
        this.startedAt = startedAt;
    }

    /** It may be sent on that connection without changing the settings there first; a probe on any. */
    boolean fits(NodeConnection connection) {
        return outgoing == null || outgoing.settings().equals(connection.settings());
    }
}
