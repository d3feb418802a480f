package clayhook;

import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that is in flight, with its attempts. Each frontend extends it by what it needs itself. Times are clock
 * times in seconds since 1970. Not thread-safe: confined to the event loop.
 */
public class Request {
    /** The service class. */
    public final RequestClass requestClass;
    /** The replica set that holds the data. */
    public final int replicaSetId;
    /** The client session that the request belongs to, or null. */
    public final String sessionId;
    /** The log position of the session's last write, where requests carry it or peers know it; 0 for none. */
    public final double lastWritePosition;

    /** When the request arrived at this router. */
    public final double arrivedAt;
    /** When the client gives up. */
    public final double deadline;
    /** All attempts, in the order in which they were sent. */
    public final List<Attempt> attempts = new ArrayList<>();
    /** Whether the request has its final answer, or its client has gone. */
    public boolean completed;

    /** Creates a request without attempts; {@code sessionId} may be null, {@code lastWritePosition} 0. */
    public Request(
            RequestClass requestClass,
            int replicaSetId,
            String sessionId,
            double lastWritePosition,
            double arrivedAt,
            double deadline) {
        this.requestClass = requestClass;
        this.replicaSetId = replicaSetId;
        this.sessionId = sessionId;
        this.lastWritePosition = lastWritePosition;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** Whether the request is completed and no result of an attempt is to come, so that it can be forgotten. */
    public boolean isRemovable() {
        return completed && outstandingAttempts().isEmpty();
    }

    /** Returns the attempts whose outcome is not known yet. */
    List<Attempt> outstandingAttempts() {
        return attempts.stream().filter(attempt -> attempt.outcome == null).toList();
    }

    boolean wasAttemptedOn(Node node) {
        return attempts.stream().anyMatch(attempt -> attempt.node.equals(node));
    }

    /** Returns the first attempt that was executed or may have been or may still be, or null. */
    Attempt firstPossiblyExecutedAttempt() {
        return attempts.stream()
                .filter(attempt -> attempt.outcome == null || !attempt.outcome.notExecuted)
                .findFirst()
                .orElse(null);
    }

    ConsistencyLevel consistency() {
        return requestClass.consistency();
    }

    Idempotency idempotency() {
        return requestClass.idempotency();
    }

    boolean requiresPrimary() {
        return requestClass.requiresPrimary();
    }

    double latencyObjectiveSeconds() {
        return requestClass.latencyObjectiveSeconds();
    }

    double maxStalenessSeconds() {
        return requestClass.maxStalenessSeconds();
    }

    /** The time by which a response meets the latency objective. */
    double latencyObjectiveAt() {
        return arrivedAt + requestClass.latencyObjectiveSeconds();
    }

    /** How long the client waits in all. */
    double timeoutSeconds() {
        return deadline - arrivedAt;
    }
}
