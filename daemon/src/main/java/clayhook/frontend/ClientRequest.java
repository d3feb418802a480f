package clayhook.frontend;

import clayhook.Attempt;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.OutboundStatement;
import clayhook.sql.SqlAdmission;
import clayhook.statements.Classification;
import java.util.List;

/** A request to which a client session awaits the response. Must be accessed on the event loop only. */
public final class ClientRequest extends Request {
    /** The session that receives the response. */
    public final ClientSession clientSession;
    /** The statement as it is sent to nodes. */
    public final OutboundStatement outboundStatement;
    /** The request id, unique among the open requests of this router; null for an SQL statement, which has no id. */
    public final String requestId;
    /**
     * The classification of an SQL statement; null for a key-value statement, whose comment names its request class.
     */
    public final Classification classification;
    /** The key under which routers share the write outcome of the request; null if it has none. */
    public final String outcomeKey;
    /** The rules that were last applied to the request after its admission; null if none were. */
    public SqlAdmission appliedRules;
    /** The error with which the last attempt ended; null if it ended without one. */
    public NodeError lastNodeError;

    /**
     * An error that a node sent in answer to an attempt.
     *
     * @param messages the unchanged messages of the node
     */
    public record NodeError(Attempt attempt, String sqlState, List<byte[]> messages) {}

    /**
     * Creates the request of a key-value statement.
     *
     * @param sessionWritePosition the log position in seconds that a node must have applied for reads of the session,
     *     as reported by other routers; 0 for none
     * @param now the clock time in seconds
     */
    public ClientRequest(
            RequestClass requestClass,
            KeyValueStatement statement,
            ClientSession clientSession,
            double sessionWritePosition,
            double now) {
        super(
                requestClass,
                statement.replicaSetId,
                statement.key,
                Math.max(statement.requiredPosition, sessionWritePosition),
                now,
                deadline(requestClass, now, statement.timeoutSeconds));
        this.clientSession = clientSession;
        outboundStatement = statement;
        requestId = statement.requestId;
        outcomeKey = statement.outcomeKey;
        classification = null;
    }

    /**
     * Creates the request of an SQL statement.
     *
     * @param sessionWritePosition the log position in seconds that a node must have applied for a read; 0 for none
     * @param now the clock time in seconds
     * @param timeoutSeconds the client timeout; limited to the timeout of the request class
     */
    public ClientRequest(
            RequestClass requestClass,
            int replicaSetId,
            OutboundStatement statement,
            Classification classification,
            ClientSession clientSession,
            double sessionWritePosition,
            double now,
            double timeoutSeconds) {
        super(
                requestClass,
                replicaSetId,
                clientSession.id(),
                sessionWritePosition,
                now,
                deadline(requestClass, now, timeoutSeconds));
        this.clientSession = clientSession;
        this.classification = classification;
        outboundStatement = statement;
        requestId = null;
        outcomeKey = classification.outcomeKey();
    }

    private static double deadline(RequestClass requestClass, double now, double timeoutSeconds) {
        return now + Math.min(timeoutSeconds, requestClass.clientTimeoutSeconds());
    }
}
