package clayhook;

import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.List;

/**
 * A request in flight with its attempts. Frontends add their own state in subclasses. Times are clock times in seconds
 * since 1970. Not thread-safe: confined to the event loop.
 */
public class Request {
    /** The request class. */
    public final RequestClass requestClass;
    /** The replica set that holds the data. */
    public final int replicaSetId;
    /** The client session that the request belongs to, or null. */
    public final String sessionId;
    /** The last-write position of the session, if the request carries it or peers know it; 0 for none. */
    public final double lastWritePosition;

    /** When the request arrived at this router. */
    public final double arrivedAt;
    /** The time at which the client stops waiting. */
    public final double deadline;
    /** All attempts, in the order in which they were sent. */
    public final List<Attempt> attempts = new ArrayList<>();
    /** Whether the request has its final answer, or its client has gone. */
    public boolean completed;

    /**
     * Whether the request may write although its class is one of reads, as rules that were loaded after its admission
     * say. It is then neither repeated nor answered as if it had no effect.
     */
    public boolean mayWrite;

    /** Creates a request without attempts; {@code sessionId} may be null and {@code lastWritePosition} may be 0. */
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

    /** Whether the request is completed and has no outstanding attempt, so that it can be removed. */
    public boolean isRemovable() {
        return completed && outstandingAttempts().isEmpty();
    }

    /** Returns the attempts without an outcome. */
    List<Attempt> outstandingAttempts() {
        return attempts.stream().filter(attempt -> attempt.outcome == null).toList();
    }

    boolean wasAttemptedOn(Node node) {
        return attempts.stream().anyMatch(attempt -> attempt.node.equals(node));
    }

    /** Returns the first attempt that a node may have executed or may still execute, or null. */
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
        return mayWrite ? Idempotency.NON_IDEMPOTENT : requestClass.idempotency();
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

    /** Returns the time until which a response meets the latency objective. */
    double latencyObjectiveAt() {
        return arrivedAt + requestClass.latencyObjectiveSeconds();
    }

    /** Returns the total time that the client waits. */
    double timeoutSeconds() {
        return deadline - arrivedAt;
    }
}
