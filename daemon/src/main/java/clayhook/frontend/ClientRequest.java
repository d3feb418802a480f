package clayhook.frontend;

import clayhook.Request;
import clayhook.RequestClass;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.OutboundStatement;
import clayhook.statements.Classification;
import java.util.List;

/** A command that a client session waits for. */
public final class ClientRequest extends Request {
    public final ClientSession clientSession;
    public final OutboundStatement outboundStatement;
    /** Its id among all open commands, or null where the router needs none. */
    public final String requestId;
    /** What the statement was taken for; null where its comment says that. */
    public final Classification classification;
    /** By which anyone asks whether it has run; null where it has none. */
    public final String outcomeKey;
    /** The error that a node answered last, for the client where that is all that is known; or null. */
    public List<byte[]> lastNodeError;

    /** {@code wroteAt}: the position that a read of its session must cover, as far as others told it; 0 for none. */
    public ClientRequest(
            RequestClass group, KeyValueStatement statement, ClientSession session, double wroteAt, double now) {
        super(
                group,
                statement.replicaSetId,
                statement.key,
                Math.max(statement.requiredPosition, wroteAt),
                now,
                now + Math.min(statement.timeoutSeconds, group.clientTimeoutSeconds()));
        this.clientSession = session;
        outboundStatement = statement;
        requestId = statement.requestId;
        outcomeKey = statement.outcomeKey;
        classification = null;
    }

    /** {@code wait}: seconds that the client waits, at most those of its command group. */
    public ClientRequest(
            RequestClass group,
            int nodes,
            OutboundStatement outgoing,
            Classification classed,
            ClientSession session,
            double wroteAt,
            double now,
            double wait) {
        super(group, nodes, session.id(), wroteAt, now, now + Math.min(wait, group.clientTimeoutSeconds()));
        this.clientSession = session;
        this.outboundStatement = outgoing;
        requestId = null;
        outcomeKey = classed.mark();
        this.classification = classed;
    }
}
