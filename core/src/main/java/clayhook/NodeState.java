package clayhook;

import java.util.ArrayDeque;

/**
 * The state of one node as observed by one router. It exists from the first endpoint list that contains the node until
 * the node is removed from the list and has no outstanding attempt. {@link RoutingPolicy} owns it and makes all
 * decisions that depend on it. Times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
final class NodeState {
    /** The time of an event that has not occurred; earlier than any clock time. */
    static final double NEVER = Double.NEGATIVE_INFINITY;

    final Node node;
    final ReplicaSet replicaSet;

    /** The node's entry in the endpoint list, or null if the node was removed from the list. */
    Endpoint endpoint;

    /** When the node's newest known process started, also while the node is gone from the list; 0 for long ago. */
    double processStartedAt;

    /** The newest log position that the node has reported as applied; 0 if it reported none. Never decreases. */
    double appliedPosition;

    /** The lag behind the primary, in seconds, when the node last reported a position. */
    double lagSeconds;

    /** When {@link #lagSeconds} was measured. */
    double lagMeasuredAt = NEVER;

    /** When the node last responded to an attempt or a health check. */
    double lastSeenAt = NEVER;

    /** When the newest attempt that the node has answered was sent. */
    private double answeredAttemptSentAt = NEVER;

    /** When the newest health check that the node has passed was sent. */
    private double passedCheckSentAt = NEVER;

    /**
     * When the node last rejected an attempt unexecuted, failed a health check, refused a connection, or was draining
     * or gone according to the list. What confirmed before that it accepts requests counts no more.
     */
    private double confirmationsEndedAt = NEVER;

    /** When the node last answered a health check that it accepts no new requests. */
    private double drainingReportedAt = NEVER;

    /** Whether the node reported with its last answer to a health check that it is draining and still primary. */
    boolean drainsAsPrimary;

    /** When the node last responded to an attempt; health checks do not count. */
    double lastAttemptResponseAt = NEVER;

    /** What the node reported about its role. */
    final RoleEvidence roles;

    /** Attempts without a result, oldest first. */
    final ArrayDeque<Attempt> outstandingAttempts = new ArrayDeque<>();

    /** Attempts that were abandoned without a response, which the node may still execute. */
    final ArrayDeque<Attempt> abandonedAttempts = new ArrayDeque<>();

    /** The maximum number of outstanding attempts of this router on the node; adapts to the response times. */
    double concurrencyLimit;

    /** The moving average of the ratio of response time to latency objective. */
    double latencyRatio;

    /** The number of requests in the node's last load report; 0 before the first report. */
    double reportedLoad;

    /** The estimated number of open connections to the node. */
    int expectedConnections;

    /** When an attempt was last sent to the node. */
    double lastUsedAt = NEVER;

    /** The failures since the last answered attempt; a passed health check reduces them to one. */
    int consecutiveFailures;

    /** When the node last rejected a read, as a replica that lagged too far. */
    double readRejectedAt = NEVER;

    /** When the last health check was sent. */
    double healthCheckSentAt = NEVER;

    /** Whether the last health check has no result yet. */
    boolean healthCheckPending;

    /** The end of the current or last backoff; the node gets no attempts before. */
    double backoffUntil = NEVER;

    /** The number of backoffs since the last answered attempt. */
    int backoffCount;

    /** Limits the work that this router sends to the node while the node is in slow start. */
    SlowStartBudget slowStartBudget;

    /** Creates the state of a node that was not known before. */
    NodeState(Node node, ReplicaSet replicaSet, double concurrencyLimit, double overloadWindowSeconds) {
        this(node, replicaSet, concurrencyLimit, overloadWindowSeconds, new RoleEvidence());
    }

    /** Creates the state of a node that reported its role before it was gone from the endpoint list. */
    NodeState(
            Node node,
            ReplicaSet replicaSet,
            double concurrencyLimit,
            double overloadWindowSeconds,
            RoleEvidence roles) {
        this.node = node;
        this.replicaSet = replicaSet;
        this.roles = roles;
        this.concurrencyLimit = concurrencyLimit;
        slowStartBudget = new SlowStartBudget(overloadWindowSeconds);
    }

    /** Whether the node is draining or missing according to the endpoint list. */
    boolean isDrainingOrGone() {
        return endpoint == null || endpoint.state() == Endpoint.State.DRAINING;
    }

    /** Records whether the node accepts attempts; a node that rejects them unexecuted may be overloaded or draining. */
    void onAttemptResult(Attempt attempt, AttemptOutcome outcome, double now) {
        switch (outcome) {
            case ANSWERED -> answeredAttemptSentAt = Math.max(answeredAttemptSentAt, attempt.sentAt);
            case OVERLOADED, CONNECT_FAILED -> confirmationsEndedAt = now;
            default -> {} // no evidence
        }
    }

    /** Records the result of a health check; a draining node answers health checks with an error. */
    void onHealthCheckResult(double sentAt, AttemptOutcome outcome, double now) {
        switch (outcome) {
            case ANSWERED -> passedCheckSentAt = Math.max(passedCheckSentAt, sentAt);
            case DRAINING -> {
                confirmationsEndedAt = now;
                drainingReportedAt = now;
            }
            case ERROR, OVERLOADED, CONNECT_FAILED -> confirmationsEndedAt = now;
            default -> {} // no evidence
        }
    }

    /**
     * Whether the node has reported that it accepts no new requests, and has not passed a health check that was sent
     * after that.
     */
    boolean reportsDraining() {
        return drainingReportedAt > passedCheckSentAt;
    }

    /** Ends a report that the node drains that it made before the given time, as a new process has started then. */
    void endDrainingReportBefore(double startedAt) {
        drainingReportedAt = drainingReportedAt < startedAt ? NEVER : drainingReportedAt;
    }

    /** Takes over the report of an earlier state of the same process that the node drains. */
    void keepDrainingReport(NodeState earlier) {
        drainingReportedAt = earlier.reportsDraining() ? earlier.drainingReportedAt : NEVER;
    }

    /** Ends what has confirmed before the given time that the node accepts requests. */
    void endConfirmations(double at) {
        confirmationsEndedAt = Math.max(confirmationsEndedAt, at);
    }

    /** Whether the node answered an attempt that was sent after the given time and after its last rejection. */
    boolean hasAnsweredSince(double time) {
        return answeredAttemptSentAt > Math.max(time, confirmationsEndedAt);
    }

    /** Whether the node passed a health check that was sent after the given time and after its last rejection. */
    boolean hasPassedCheckSince(double time) {
        return passedCheckSentAt > Math.max(time, confirmationsEndedAt);
    }

    boolean isInZone(String zone) {
        return node.zone().equals(zone);
    }

    /** Whether the node was removed from the endpoint list and has no outstanding attempt. */
    boolean isUnused() {
        return endpoint == null && outstandingAttempts.isEmpty();
    }

    /** Returns the lag as last measured, or {@code unknown} if the node never reported a position. */
    double lagOr(double unknown) {
        return appliedPosition > 0 ? lagSeconds : unknown;
    }

    /** Returns when the node's process started according to the endpoint list; 0 for long ago or unknown. */
    double startedAt() {
        return endpoint == null ? 0 : endpoint.startedAt();
    }

    /** Whether the node is primary according to the strongest evidence; see {@link RoleEvidence}. */
    boolean claimsPrimary() {
        boolean listedOrReported = endpoint != null || roles.hasReportedRole();
        return listedOrReported && roles.showsPrimary(replicaSet.newestPrimaryClaimAt());
    }

    /** Records that the node reported that it was primary at the given time. */
    void claimPrimary(double at) {
        roles.claimPrimary(at);
        replicaSet.onPrimaryClaim(at);
    }

    /** Records a log position that the node has applied; older positions are ignored. */
    void raiseAppliedPosition(double position) {
        appliedPosition = Math.max(appliedPosition, position);
    }

    /** Whether an attempt sent now is expected to open a connection. */
    boolean needsConnection(RoutingSettings settings, double now) {
        return outstandingAttempts.size() >= expectedConnections * settings.connectionConcurrency()
                || now - lastUsedAt > settings.connectionIdleTimeoutSeconds();
    }

    /** Records that an attempt is sent, and returns whether it is expected to open a connection. */
    boolean useConnection(RoutingSettings settings, double now) {
        boolean opens = needsConnection(settings, now);
        if (opens) {
            expectedConnections = outstandingAttempts.size() / settings.connectionConcurrency() + 1;
        }
        lastUsedAt = now;
        return opens;
    }

    /** Whether the node's process has restarted since the observed incarnation. */
    boolean hasRestartedSince(PeerObservation observation) {
        return endpoint != null && endpoint.startedAt() > observation.incarnationStartedAt();
    }

    /** Merges the newer parts of a peer's observation, except failures, which the policy handles. */
    void merge(PeerObservation observation) {
        raiseAppliedPosition(observation.appliedPosition());
        claimPrimary(observation.primaryClaimedAt());
        roles.claimReplica(observation.replicaClaimedAt());
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
