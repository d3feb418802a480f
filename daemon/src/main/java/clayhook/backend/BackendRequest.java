package clayhook.backend;

import clayhook.Attempt;
import clayhook.Node;
import clayhook.protocol.OutboundStatement;

/** An attempt or a health check on its way to a node. Event loop only. */
final class BackendRequest {
    final Node node;
    /** Null for a health check. */
    final Attempt attempt;
    /** Null for a health check. */
    final OutboundStatement statement;
    /** Clock seconds. */
    final double startedAt;

    AttemptPhase phase = AttemptPhase.NOT_CONNECTED;
    /** Its completion was reported; there is no other, and it is not written any more. */
    boolean completed;
    /** The connection that it was written to, or null. */
    NodeConnection connection;

    private BackendRequest(Node node, Attempt attempt, OutboundStatement statement, double startedAt) {
        this.node = node;
        this.attempt = attempt;
        this.statement = statement;
        this.startedAt = startedAt;
    }

    static BackendRequest forAttempt(Attempt attempt, OutboundStatement statement, double now) {
        return new BackendRequest(attempt.node, attempt, statement, now);
    }

    static BackendRequest healthCheck(Node node, double now) {
        return new BackendRequest(node, null, null, now);
    }

    boolean isHealthCheck() {
        return attempt == null;
    }

    /** Whether its answer may have any columns, rows and results. */
    boolean hasFreeFormResult() {
        return statement != null && statement.hasFreeFormResult();
    }

    /** Whether it may be sent on a connection without changing the settings there first; a health check on any. */
    boolean canUse(NodeConnection candidate) {
        return statement == null || statement.settings().equals(candidate.settings());
    }
}
