package clayhook;

import java.util.ArrayDeque;

/**
 * What one router knows of one node: plain observations, kept from the first endpoint list that names the node until it
 * is removed from the list and no attempt is outstanding. {@link RoutingPolicy} owns it and draws the conclusions.
 * Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class NodeState {
    /** The time of what has not happened yet; earlier than any clock time. */
    static final double NEVER = Double.NEGATIVE_INFINITY;

    final Node node;
    final ReplicaSet replicaSet;

    /** The node's entry in the endpoint list, or null if it was removed from the list. */
    Endpoint endpoint;

    /** The newest log position that the node is known to have applied; 0 if none was reported. Never decreases. */
    double appliedPosition;

    /** How many seconds the node was behind its primary when it last reported a position. */
    double lagSeconds;

    /** When the lag was measured. */
    double lagMeasuredAt = NEVER;

    /** When the node last responded to an attempt or a health check. */
    double lastSeenAt = NEVER;

    /** When the newest attempt was sent that the node answered. */
    private double answeredAttemptSentAt = NEVER;

    /** When the newest health check was sent that the node passed. */
    private double passedCheckSentAt = NEVER;

    /** When the node last rejected an attempt unseen or a health check, or refused a connection. */
    private double rejectedAt = NEVER;

    /** When the node last responded to an attempt; health checks do not count. */
    double lastAttemptResponseAt = NEVER;

    /** The time of the newest evidence that the node is primary. */
    double primaryClaimedAt = NEVER;

    /** The time of the newest evidence that the node is a replica. */
    double replicaClaimedAt = NEVER;

    /** Attempts without a result, oldest first. */
    final ArrayDeque<Attempt> outstandingAttempts = new ArrayDeque<>();

    /** Attempts given up without a response, on which the node may still be working. */
    final ArrayDeque<Attempt> abandonedAttempts = new ArrayDeque<>();

    /** How many attempts this router may have at the node; it adapts to the response times. */
    double concurrencyLimit;

    /** The moving average of response time over latency objective. */
    double latencyRatio;

    /** The requests that the node last reported to hold; 0 until it reports. */
    double reportedLoad;

    /** The connections that are presumably open to the node. */
    int expectedConnections;

    /** When an attempt was last sent to the node. */
    double lastUsedAt = NEVER;

    /** Failures since the last answer to an attempt; a successful health check leaves one. */
    int consecutiveFailures;

    /** When the node, as a replica that lagged too far, last rejected a read. */
    double readRejectedAt = NEVER;

    /** When the last health check was sent. */
    double healthCheckSentAt = NEVER;

    /** Whether the result of the last health check is still to come. */
    boolean healthCheckPending;

    /** The node gets no attempt before this time. */
    double backoffUntil = NEVER;

    /** Backoffs since the last answer to an attempt. */
    int backoffCount;

    /** What this router may send to the node while that is in slow start. */
    final SlowStartBudget slowStartBudget;

    NodeState(Node node, ReplicaSet replicaSet, double concurrencyLimit, double overloadWindowSeconds) {
        this.node = node;
        this.replicaSet = replicaSet;
        this.concurrencyLimit = concurrencyLimit;
        slowStartBudget = new SlowStartBudget(overloadWindowSeconds);
    }

    /** Whether the endpoint list says that the node is draining, or lacks it. */
    boolean isDrainingOrGone() {
        return endpoint == null || endpoint.state() == Endpoint.State.DRAINING;
    }

    /** Records whether the node takes attempts; one that rejects them unseen may be overloaded or draining. */
    void onAttemptResult(Attempt attempt, AttemptOutcome outcome, double now) {
        switch (outcome) {
            case ANSWERED -> answeredAttemptSentAt = Math.max(answeredAttemptSentAt, attempt.sentAt);
            case OVERLOADED, CONNECT_FAILED -> rejectedAt = now;
            default -> {} // proves nothing
        }
    }

    /** Records whether the node passed a health check; a draining node answers it with an error. */
    void onHealthCheckResult(double sentAt, AttemptOutcome outcome, double now) {
        switch (outcome) {
            case ANSWERED -> passedCheckSentAt = Math.max(passedCheckSentAt, sentAt);
            case ERROR, OVERLOADED, CONNECT_FAILED -> rejectedAt = now;
            default -> {} // proves nothing
        }
    }

    /** Whether the node answered an attempt that was sent after a time, and has rejected nothing since then. */
    boolean hasAnsweredSince(double time) {
        return answeredAttemptSentAt > Math.max(time, rejectedAt);
    }

    /** Whether the node passed a health check that was sent after a time, and has rejected nothing since then. */
    boolean hasPassedCheckSince(double time) {
        return passedCheckSentAt > Math.max(time, rejectedAt);
    }

    boolean isInZone(String zone) {
        return node.zone().equals(zone);
    }

    /** Whether the node was removed from the endpoint list and no result of an attempt is to come. */
    boolean isUnused() {
        return endpoint == null && outstandingAttempts.isEmpty();
    }

    /** Returns the lag as last measured, or {@code unknown} if the node never reported a position. */
    double lagOr(double unknown) {
        return appliedPosition > 0 ? lagSeconds : unknown;
    }

    /** When the node's process started, as the endpoint list says; 0 for long ago or unknown. */
    double startedAt() {
        return endpoint == null ? 0 : endpoint.startedAt();
    }

    /**
     * Whether the newest evidence shows the node as primary. The endpoint list counts only until the node itself or a
     * peer has shown its role, because the list is late.
     */
    boolean claimsPrimary() {
        if (primaryClaimedAt == NEVER && replicaClaimedAt == NEVER) {
            return endpoint != null && endpoint.primary();
        }
        return primaryClaimedAt > replicaClaimedAt;
    }

    /** Records evidence that the node was primary at a time. */
    void claimPrimary(double at) {
        primaryClaimedAt = Math.max(primaryClaimedAt, at);
    }

    /** Records evidence that the node was a replica at a time. */
    void claimReplica(double at) {
        replicaClaimedAt = Math.max(replicaClaimedAt, at);
    }

    /** Records a position that the node has applied. */
    void raiseAppliedPosition(double position) {
        appliedPosition = Math.max(appliedPosition, position);
    }

    /** Whether an attempt has to open a connection, as far as this router can tell. */
    boolean needsConnection(RoutingSettings settings, double now) {
        return outstandingAttempts.size() >= expectedConnections * settings.connectionConcurrency()
                || now - lastUsedAt > settings.connectionIdleTimeoutSeconds();
    }

    /** Records that an attempt is sent, and returns whether it has to open a connection. */
    boolean useConnection(RoutingSettings settings, double now) {
        boolean opens = needsConnection(settings, now);
        if (opens) {
            expectedConnections = outstandingAttempts.size() / settings.connectionConcurrency() + 1;
        }
        lastUsedAt = now;
        return opens;
    }

    /** Whether the node's process has started anew since a peer observed it. */
    boolean hasRestartedSince(PeerObservation observation) {
        return endpoint != null && endpoint.startedAt() > observation.incarnationStartedAt();
    }

    /** Takes over what a peer observed, where that is newer; failures are left to the policy. */
    void merge(PeerObservation observation) {
        raiseAppliedPosition(observation.appliedPosition());
        claimPrimary(observation.primaryClaimedAt());
        claimReplica(observation.replicaClaimedAt());
        if (observation.lagMeasuredAt() > lagMeasuredAt) {
            lagSeconds = observation.lagSeconds();
            lagMeasuredAt = observation.lagMeasuredAt();
        }
        if (observation.lastSeenAt() > lastSeenAt && observation.loadWeight() > 0) {
            reportedLoad = observation.load();
        }
        lastSeenAt = Math.max(lastSeenAt, observation.lastSeenAt());
    }
}
