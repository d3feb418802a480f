package clayhook;

import java.util.ArrayList;
import java.util.List;

/** One command in hand; each front adds what it needs of its own. Times are clock times in seconds. */
public class Request {
    public final RequestClass requestClass;
    public final int replicaSetId;
    /** The session it belongs to, or null. */
    public final String sessionId;
    /** When the session's last write was committed, where commands carry that; 0 for never. */
    public final double lastWritePosition;

    public final double arrivedAt;
    /** When the client gives up. */
    public final double deadline;

    public final List<Attempt> attempts = new ArrayList<>();
    /** It has its final answer, or its client has gone. */
    public boolean completed;

    public Request(RequestClass group, int nodeGroup, String session, double wroteAt, double arrived, double expires) {
        this.requestClass = group;
        this.replicaSetId = nodeGroup;
        this.sessionId = session;
        this.lastWritePosition = wroteAt;
        this.arrivedAt = arrived;
        this.deadline = expires;
    }

    /** Nothing is owed for it any more and no outcome is to come. */
    public boolean isRemovable() {
        return completed && outstandingAttempts().isEmpty();
    }

    /** The dispatches whose outcome is not known yet. */
    List<Attempt> outstandingAttempts() {
        return attempts.stream().filter(d -> d.outcome == null).toList();
    }

    boolean wasAttemptedOn(Node node) {
        return attempts.stream().anyMatch(d -> d.node.equals(node));
    }

    /** The first dispatch that is not known never to have run, or null. */
    Attempt firstPossiblyExecutedAttempt() {
        return attempts.stream()
                .filter(d -> d.outcome == null || !d.outcome.notExecuted)
                .findFirst()
                .orElse(null);
    }
}
