package clayhook.front;

import clayhook.Command;
import clayhook.CommandGroup;
import clayhook.protocol.Statement;

/** A command that a client session waits for. */
public final class ClientCommand extends Command {
    public final Session session;
    public final Statement statement;

    public ClientCommand(CommandGroup group, Statement statement, Session session, double now) {
        super(group, statement.nodeGroup, statement.key, statement.after, now,
                now + Math.min(statement.wait, group.clientTimeout()));
        this.session = session;
        this.statement = statement;
    }
}
