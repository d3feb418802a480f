package clayhook.backend;

import clayhook.Attempt;
import clayhook.Node;
import clayhook.protocol.OutboundStatement;

/** An attempt or a health check that waits for a connection to a node or is in flight on one. Event loop only. */
final class BackendRequest {
    final Node node;
    /** Null for a health check. */
    final Attempt attempt;
    /** Null for a health check. */
    final OutboundStatement statement;
    /** The time at which the request was submitted, in clock seconds. */
    final double startedAt;

    AttemptPhase phase = AttemptPhase.NOT_CONNECTED;
    /** Whether the completion was reported; if so, the request is neither written nor completed again. */
    boolean completed;
    /** The connection to which the request was written, or null. */
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

    /** Whether the answer may have any number of columns, rows and results. */
    boolean hasFreeFormResult() {
        return statement != null && statement.hasFreeFormResult();
    }

    /** Whether the request can be sent on a connection without changing its session settings; a health check always. */
    boolean canUse(NodeConnection candidate) {
        return statement == null || statement.settings().equals(candidate.settings());
    }
}
