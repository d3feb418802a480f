package clayhook;

import java.util.ArrayList;
import java.util.List;

/** One command in hand; each front adds what it needs of its own. Times are clock times in seconds. */
public class Command {
    public final CommandGroup group;
    public final int nodeGroup;
    /** The session it belongs to, or null. */
    public final String session;
    /** When the session's last write was committed, where commands carry that; 0 for never. */
    public final double wroteAt;

    public final double arrived;
    /** When the client gives up. */
    public final double expires;

    public final List<Dispatch> dispatches = new ArrayList<>();
    /** It has its final answer, or its client has gone. */
    public boolean over;

    public Command(CommandGroup group, int nodeGroup, String session, double wroteAt, double arrived, double expires) {
        this.group = group;
        this.nodeGroup = nodeGroup;
        this.session = session;
        this.wroteAt = wroteAt;
        this.arrived = arrived;
        this.expires = expires;
    }

    /** Nothing is owed for it any more and no outcome is to come. */
    public boolean finished() {
        return over && out().isEmpty();
    }

    /** The dispatches whose outcome is not known yet. */
    List<Dispatch> out() {
        return dispatches.stream().filter(d -> d.outcome == null).toList();
    }

    boolean tried(Node node) {
        return dispatches.stream().anyMatch(d -> d.node.equals(node));
    }

    /** The first dispatch that is not known never to have run, or null. */
    Dispatch firstThatMayHaveRun() {
        return dispatches.stream()
                .filter(d -> d.outcome == null || !d.outcome.neverRan)
                .findFirst()
                .orElse(null);
    }
}
