package clayhook.front;

import clayhook.Request;
import clayhook.RequestClass;
import clayhook.protocol.Outgoing;
import clayhook.protocol.Statement;
import clayhook.statements.Classed;
import java.util.List;

/** A command that a client session waits for. */
public final class ClientCommand extends Request {
    public final Session session;
    public final Outgoing outgoing;
    /** Its id among all open commands, or null where the router needs none. */
    public final String id;
    /** What the statement was taken for; null where its comment says that. */
    public final Classed classed;
    /** By which anyone asks whether it has run; null where it has none. */
    public final String mark;
    /** The error that a node answered last, for the client where that is all that is known; or null. */
    public List<byte[]> error;

    /** {@code wroteAt}: the position that a read of its session must cover, as far as others told it; 0 for none. */
    public ClientCommand(RequestClass group, Statement statement, Session session, double wroteAt, double now) {
        super(
                group,
                statement.nodeGroup,
                statement.key,
                Math.max(statement.after, wroteAt),
                now,
                now + Math.min(statement.wait, group.clientTimeoutSeconds()));
        this.session = session;
        outgoing = statement;
        id = statement.id;
        mark = statement.mark;
        classed = null;
    }

    /** {@code wait}: seconds that the client waits, at most those of its command group. */
    public ClientCommand(
            RequestClass group,
            int nodes,
            Outgoing outgoing,
            Classed classed,
            Session session,
            double wroteAt,
            double now,
            double wait) {
        super(group, nodes, session.name(), wroteAt, now, now + Math.min(wait, group.clientTimeoutSeconds()));
        this.session = session;
        this.outgoing = outgoing;
        id = null;
        mark = classed.mark();
        this.classed = classed;
    }
}
