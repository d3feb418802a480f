package clayhook.nodes;

import clayhook.Dispatch;
import clayhook.Node;
import clayhook.protocol.Statement;

/** A dispatch or a probe on its way to a node. */
final class Attempt {
    final Node node;
    /** Null for a probe. */
    final Dispatch dispatch;
    final Statement statement;
    final double startedAt;
    Stage stage = Stage.NOT_CONNECTED;
    /** The connection that it was written to. */
    NodeConnection connection;

    Attempt(Node node, Dispatch dispatch, Statement statement, double startedAt) {
        this.node = node;
        this.dispatch = dispatch;
        this.statement = statement;
        this.startedAt = startedAt;
    }
}
