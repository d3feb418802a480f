package clayhook;

import static clayhook.NodeState.NEVER;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Makes all decisions of one router: which node serves a request, and whether it is retried, hedged, held, shed or
 * failed.
 *
 * <p>For replica sets with one primary and lagging replicas it provides, in the terms of proxies such as Envoy:
 *
 * <ul>
 *   <li>load balancing: round robin over the replicas that are fresh enough for a read;
 *   <li>load shedding, adaptive concurrency limits and a retry budget;
 *   <li>outlier detection with on-demand health checks, and slow start.
 * </ul>
 *
 * <p>The caller passes each new request to {@link #route} and each result to {@link #onAttemptFinished}.
 *
 * <p>After each batch of events it calls {@link #tick}, and after the returned time it routes all unfinished requests
 * again.
 *
 * <p>Performs no I/O and reads no clock: the same seed and the same calls give the same decisions.
 *
 * <p>Not thread-safe: confined to the event loop. All times are in seconds; log positions are commit times.
 */
public final class RoutingPolicy {
    // ---- tuned constants; "objective" is the latency objective of the request class ----

    private static final double MAX_DEADLINE_MARGIN = 0.03; // before the deadline, for stalls of the router
    private static final double DEADLINE_MARGIN_FRACTION = 0.1; // of the timeout, for short timeouts
    /** The least number of seconds by which an attempt is refused before a rule forbids it, except at short bounds. */
    public static final double MIN_STALL_MARGIN = 0.1;

    private static final double STALL_MARGIN = 0.15; // the longest expected stall of the router before it writes
    private static final double STALENESS_MARGIN_FRACTION = 0.1; // of the staleness bound, for short bounds
    private static final double INITIAL_SERVICE_TIME_FRACTION = 0.25; // of the objective, until the first response
    private static final double SERVICE_TIME_SMOOTHING = 0.02; // weight of one response
    private static final double MIN_SERVICE_TIME_FRACTION = 0.25; // a quarter of responses arrive within it
    private static final double MAX_SERVICE_TIME_FRACTION = 0.5; // of the objective: cap of the required time
    private static final double SHEDDING_START_LOAD = 0.4; // above the load of nodes without queues
    private static final double SHEDDING_FULL_LOAD = 0.65; // below the load at which most responses are late
    private static final double MAX_SHED_PROBABILITY = 0.9; // admitted reads show when the load has fallen
    // Bursts last seconds. A sample has weight 0.1 among many, and up to 0.25 after a time without samples.
    private static final LoadEstimate.Smoothing LOAD_SMOOTHING = new LoadEstimate.Smoothing(3, 0.1, 0.25);

    private static final double READ_HOLD_FRACTION = 0.08; // of the objective: beyond it a client retry is better
    private static final double WRITE_HOLD_FRACTION = 0.5; // of the objective: only one node takes writes
    private static final double ELECTION_HOLD_FRACTION = 0.45; // of the timeout: leaves time to retry elsewhere
    private static final double RETRY_BUDGET_RATIO = 0.2; // retries and hedged requests per request
    private static final double RETRY_BUDGET_FLEET_CAP = 90; // upper bound of the budgets of all routers together
    private static final double MIN_RETRY_AFTER_FRACTION = 0.1; // of the objective: leaves time for the retry
    private static final double RETRY_AFTER_JITTER_FRACTION = 0.2; // of the objective: spreads client retries

    private static final double LAG_GATE_FRACTION = 0.75; // of the staleness bound; 0.5 was slightly worse
    private static final double TIME_GATE = 1; // a node not seen for longer is stale
    private static final double LAG_VALIDITY = 5; // lag follows the load and changes within seconds
    private static final double READ_REJECTION_EJECTION_TIME = 10; // at most; a newer position ends it earlier
    private static final double CARRIED_POSITION_PRECISION = 0.001; // positions in requests are rounded down
    private static final int MAX_RECORDED_SESSIONS = 20_000; // above the sessions that write within a usual lag
    private static final double MAX_REPORT_AGE = 5; // the assumed maximum age of late load reports
    private static final double TYPICAL_REPORT_AGE = 0.25; // nodes renew them a few times a second

    private static final int EJECTION_THRESHOLD = 2; // consecutive failures: one may be random
    private static final double MIN_SILENCE_TIMEOUT = 0.2; // above usual stalls, below short objectives
    private static final double SILENCE_FACTOR = 3; // times the expected service time: about its 95th percentile
    private static final double MIN_BACKOFF = 0.05; // doubles with each consecutive failure
    private static final double MAX_BACKOFF = 1; // bounds the delay until a recovered node is used
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.45; // most reads find a node that is not stale
    private static final double EXPIRED_LEASE_CHECKS_PER_REQUEST = 1; // while each node needs its own confirmation
    private static final double HEALTH_CHECK_BUDGET_CAP = 15; // two or three per member of a replica set
    private static final double HEALTH_CHECK_TIMEOUT = 0.02; // a few network round trips
    private static final double ROLE_CHECK_TIMEOUT = 0.3; // the default connect timeout, and an answer
    private static final double ROLE_RETRY_INTERVAL = 0.5; // between writes that may find a new primary at a member
    private static final double HEALTH_CHECK_INTERVAL = 0.15; // about the interval between load reports
    private static final double REFRESH_PROBABILITY = 0.1; // enough to detect the recovery of a node

    private static final double INITIAL_FLEET_CONCURRENCY = 10; // of all routers: a few per core of a node
    private static final double MIN_FLEET_CONCURRENCY = 4; // of all routers: every node can serve that many
    private static final double LOW_LATENCY_RATIO = 0.25; // below it limits rise and the primary takes reads
    private static final double HIGH_LATENCY_RATIO = 0.32; // above it limits fall; service times vary widely
    private static final double LATENCY_RATIO_SMOOTHING = 0.1; // weight of one attempt
    private static final double MAX_LATENCY_RATIO = 2; // cap of a single sample
    private static final double LIMIT_INCREASE = 0.5; // additive, per number of responses equal to the limit
    private static final double LIMIT_IN_USE_FRACTION = 0.7; // a limit rises only while this part of it is in use
    private static final double SLOW_LIMIT_DECREASE = 0.97; // multiplicative, per response of a slow node
    private static final double OVERLOAD_LIMIT_DECREASE = 0.8; // multiplicative, per overload response
    private static final double PRIMARY_READ_CAPACITY_FRACTION = 0.5; // of its limit; the rest is reserved for writes
    private static final double ABANDONED_ATTEMPT_OBJECTIVES = 2; // after it an abandoned attempt has left the queue
    private static final double MIN_CONNECT_TIME = 0.02; // a few network round trips and some processing
    private static final double CONNECT_TIME_SMOOTHING = 0.1; // weight of one attempt

    private static final double MIN_FLEET_WORK_RATE = 0.15; // of all routers: a fraction of one core of a node
    private static final double WORK_RATE_DECAY = 4; // several rotations, a small part of a slow start
    private static final double SERVING_NODE_COUNT_INTERVAL = 0.1; // counting at every response is too expensive

    private static final double HEALTH_CHECK_TICK = 0.004; // one network round trip
    private static final double BUSY_TICK = 0.01; // a small fraction of short objectives
    private static final double IDLE_TICK = 1; // only the poll of the endpoint list may be due
    private static final double STALL_THRESHOLD = 0.1; // delay of a tick; half the minimum silence timeout
    private static final double POLL_TIMEOUT = 5; // without a list or a failure
    private static final double MIN_POLL_RETRY_DELAY = 0.5; // plus up to 1 s of jitter, to spread the routers
    private static final double MIN_WATCH_TIMEOUT = 7; // long enough to make the cost of a poll negligible
    private static final double MAX_WATCH_TIMEOUT = 10; // bounds how long a broken watch misses changes
    private static final int MAX_DESCRIBED_NODES = 20; // per log line; a fleet may have thousands of nodes

    // ---- state ----

    private final RoutingSettings settings;
    private final Random random;
    private final Map<Node, NodeState> nodeStates = new LinkedHashMap<>();
    private final DepartedNodes departedNodes = new DepartedNodes();
    private final Map<Integer, ReplicaSet> replicaSets = new LinkedHashMap<>();
    private final ReplicaSet overall = new ReplicaSet(0, LOAD_SMOOTHING, null); // only the load of all sets
    private final Map<RequestClass, Double> expectedServiceTimes = new LinkedHashMap<>();
    private final Map<RequestClass, Long> requestCounts = new LinkedHashMap<>();
    private final SessionWrites sessionWrites = new SessionWrites(MAX_RECORDED_SESSIONS);
    private final DecayingRate completedWorkRate = new DecayingRate(WORK_RATE_DECAY); // s/s per serving node
    private final List<Node> healthChecksToSend = new ArrayList<>();
    private final double tightestLagGate;
    private final double minConcurrencyLimit;
    private final double retryBudgetCap;
    private double retryBudget;
    private double healthCheckBudget = HEALTH_CHECK_BUDGET_CAP;
    private double electionCheckEarnedAt = NEVER; // when a check was last added during an election
    private boolean awaitingHealthCheck; // whether the last routed request waits for a check
    private boolean requestsWaiting; // whether any request waited since the last tick
    private int outstandingAttemptCount;
    private double connectTimeEstimate = MIN_CONNECT_TIME;
    private long servingNodeCount;
    private double servingNodesCountedAt = NEVER;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private double lastStallEndedAt;
    private double nextPollAt;
    private boolean endpointListLate; // whether a watch timed out since the last list
    private final AttemptGate gate;

    /** Creates the policy of a router to which all endpoint list changes are pushed; its lease never expires. */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        this(settings, seed, EndpointListLease.unlimited());
    }

    /**
     * Creates the policy of one router. Each router needs its own seed, so that routers choose independently.
     *
     * @param lease limits how long the endpoint list may be relied on; the caller renews it
     */
    public RoutingPolicy(RoutingSettings settings, long seed, EndpointListLease lease) {
        this.settings = settings;
        gate = new AttemptGate(lease, settings.healthChecksAllowed());
        random = new Random(seed);
        nextPollAt = settings.endpointListMustBePolled() ? 0 : Double.POSITIVE_INFINITY;
        minConcurrencyLimit = Math.max(1, MIN_FLEET_CONCURRENCY / settings.routerCount());
        retryBudgetCap = Math.max(1, RETRY_BUDGET_FLEET_CAP / settings.routerCount());
        retryBudget = retryBudgetCap;
        for (RequestClass requestClass : settings.requestClasses()) {
            double objective = requestClass.latencyObjectiveSeconds();
            expectedServiceTimes.put(requestClass, objective * INITIAL_SERVICE_TIME_FRACTION);
        }
        tightestLagGate = settings.requestClasses().stream()
                .filter(requestClass -> requestClass.consistency() == ConsistencyLevel.BOUNDED_STALENESS)
                .mapToDouble(RoutingPolicy::lagGate)
                .min()
                .orElse(TIME_GATE);
    }

    // ---- admission ----

    /** Decides how to proceed with a request; called on its arrival and at each tick until it is completed. */
    public Decision route(Request request, double now) {
        lastStallEndedAt = now > nextTickAt + STALL_THRESHOLD ? now : lastStallEndedAt;
        boolean outstanding = !request.outstandingAttempts().isEmpty();
        boolean arriving = now == request.arrivedAt && request.attempts.isEmpty();
        if (arriving) {
            double earned = gate.isListValid(now) ? HEALTH_CHECKS_PER_REQUEST : EXPIRED_LEASE_CHECKS_PER_REQUEST;
            double saved = healthCheckBudget + earned;
            healthCheckBudget = Math.min(HEALTH_CHECK_BUDGET_CAP, saved);
            requestCounts.merge(request.requestClass, 1L, Long::sum);
        }
        if (cannotFinishInTime(request, outstanding, now) || (arriving && shouldShed(request, now))) {
            return rejectOrFail(request);
        }
        if (outstanding && !isHedgeDue(request, now)) {
            return Decision.waitForNextTick();
        }
        if (!mayAttempt(request, now)) {
            return outstanding ? Decision.waitForNextTick() : rejectOrFail(request);
        }
        awaitingHealthCheck = false;
        NodeState node = request.requiresPrimary() ? choosePrimary(request, now) : chooseNodeForRead(request, now);
        if (node != null) {
            return send(request, node, now);
        }
        if (!outstanding && !awaitingHealthCheck && exceedsHoldTime(request, now)) {
            return rejectOrFail(request);
        }
        requestsWaiting |= !outstanding;
        return Decision.waitForNextTick();
    }

    /** Whether no response is likely in time. At low load many responses take less than the expected service time. */
    private boolean cannotFinishInTime(Request request, boolean outstanding, double now) {
        double load = replicaSet(request).readLoad(request.requestClass).value(now);
        double fraction = Math.max(MIN_SERVICE_TIME_FRACTION, Math.min(1, load / SHEDDING_START_LOAD));
        double longest = request.latencyObjectiveSeconds() * MAX_SERVICE_TIME_FRACTION;
        double needed = Math.min(expectedServiceTimes.get(request.requestClass), longest) * fraction;
        return now + (outstanding ? 0 : needed) >= latestUsefulTime(request);
    }

    /** Returns the time after which a response has no value for the client. */
    private static double latestUsefulTime(Request request) {
        double margin = Math.min(MAX_DEADLINE_MARGIN, DEADLINE_MARGIN_FRACTION * request.timeoutSeconds());
        double latest = request.deadline - margin;
        boolean lateIsUseful = request.requestClass.lateWeightFraction() > 0;
        return lateIsUseful ? latest : Math.min(latest, request.latencyObjectiveAt());
    }

    /** Whether to shed an arriving read, at random by load: per-node limits fail if many routers send little each. */
    private boolean shouldShed(Request request, double now) {
        if (request.requiresPrimary()) {
            return false;
        }
        double load = replicaSet(request).readLoad(request.requestClass).value(now);
        double probability = (load - SHEDDING_START_LOAD) / (SHEDDING_FULL_LOAD - SHEDDING_START_LOAD);
        return random.nextDouble() < Math.min(MAX_SHED_PROBABILITY, probability);
    }

    /** Whether another attempt is allowed; an attempt that may execute a request twice needs retry budget. */
    private boolean mayAttempt(Request request, double now) {
        boolean retry = request.firstPossiblyExecutedAttempt() != null;
        return request.attempts.size() < settings.maxAttempts()
                && (!retry || (retryBudget >= 1 && mayRetry(request, now)));
    }

    /** Whether a request has waited longer than allowed for capacity, or a write for an election of a primary. */
    private boolean exceedsHoldTime(Request request, double now) {
        boolean write = request.requiresPrimary();
        if (write && !isPrimaryHealthy(request, now)) {
            double holdTime = ELECTION_HOLD_FRACTION * request.timeoutSeconds();
            return request.firstPossiblyExecutedAttempt() == null && now > request.arrivedAt + holdTime;
        }
        double target = Math.min(request.latencyObjectiveSeconds(), request.timeoutSeconds());
        double holdTime = (write ? WRITE_HOLD_FRACTION : READ_HOLD_FRACTION) * target;
        return request.attempts.isEmpty() && now > request.arrivedAt + holdTime;
    }

    /** Creates an attempt on the node and charges it to the retry budget and the slow-start budget. */
    private Decision send(Request request, NodeState node, double now) {
        if (request.firstPossiblyExecutedAttempt() != null) {
            retryBudget--;
        } else if (request.attempts.isEmpty()) {
            retryBudget = Math.min(retryBudgetCap, retryBudget + RETRY_BUDGET_RATIO);
        }
        double tokenExpiresAt = Double.POSITIVE_INFINITY;
        if (isInSlowStart(node, now)) {
            tokenExpiresAt = node.slowStartBudget.spend(expectedServiceTimes.get(request.requestClass));
        }
        boolean opensConnection = node.useConnection(settings, now);
        var attempt = new Attempt(request, node.node, opensConnection, now, latestUsefulTime(request), tokenExpiresAt);
        node.outstandingAttempts.add(attempt);
        outstandingAttemptCount++;
        return Decision.send(attempt);
    }

    /** Ends a request that is not served: rejects it with a Retry-After if a retry is safe, otherwise fails it. */
    public Decision rejectOrFail(Request request) {
        double fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_FRACTION * random.nextDouble();
        double retryAfter = request.latencyObjectiveSeconds() * fraction;
        retryAfter = Math.min(settings.maxRetryAfterSeconds(), retryAfter);
        RoutingAction action = FinalAnswerPolicy.mayReject(request) ? RoutingAction.REJECT : RoutingAction.FAIL;
        return Decision.end(action, retryAfter, cancellableAttempts(request));
    }

    private List<Attempt> cancellableAttempts(Request request) {
        return settings.cancellationAllowed() ? request.outstandingAttempts() : List.of();
    }

    // ---- retries and hedging ----

    /** Whether a request that may have been executed may be sent again: only if a duplicate has no effect. */
    private static boolean mayRetry(Request request, double now) {
        if (request.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return request.idempotency() == Idempotency.IDEMPOTENT;
        }
        double windowStart = request.firstPossiblyExecutedAttempt().sentAt;
        return now + STALL_MARGIN < windowStart + request.requestClass.deduplicationWindowSeconds();
    }

    /** Whether the node, of the same replica set, would drop a duplicate of an attempt that may have been executed. */
    private static boolean deduplicatesRetry(Request request, NodeState node) {
        boolean keyed = request.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        Attempt first = keyed ? request.firstPossiblyExecutedAttempt() : null;
        return first == null
                || request.requestClass.deduplicationScope() != DeduplicationScope.ZONE
                || first.node.zone().equals(node.node.zone());
    }

    /** Hedges reads on silent nodes and writes on former primaries; hedging every late request would cost too much. */
    private boolean isHedgeDue(Request request, double now) {
        Attempt last = request.attempts.get(request.attempts.size() - 1);
        boolean allowed = settings.hedgingAllowed() && request.idempotency() != Idempotency.NON_IDEMPOTENT;
        if (!allowed || last.outcome != null) {
            return false;
        }
        NodeState node = nodeStates.get(last.node);
        if (request.requiresPrimary()) {
            return node != replicaSet(request).primary();
        }
        if (isOverdue(node, now)) {
            requestHealthCheck(node, now);
        }
        return isSilent(node, now) || isEjected(node);
    }

    /** Whether an attempt that waited for its connection may still be sent; otherwise it ends as NOT_SENT. */
    public boolean mayStillSend(Attempt attempt, double now) {
        return refusalOf(attempt, now) == AttemptRefusal.NONE;
    }

    /** Returns why an attempt may not be sent now; the caller checks it before the first byte is written. */
    public AttemptRefusal refusalOf(Attempt attempt, double now) {
        Request request = attempt.request;
        NodeState node = nodeStates.get(attempt.node);
        if (request.completed) {
            return AttemptRefusal.REQUEST_COMPLETED;
        } else if (now >= attempt.timeoutAt) {
            return AttemptRefusal.NO_TIME_LEFT;
        } else if (!gate.admits(node, now)) {
            return gate.refusalFor(node, now);
        } else if (request.firstPossiblyExecutedAttempt() != attempt && !mayRetry(request, now)) {
            return AttemptRefusal.RETRY_FORBIDDEN;
        } else if (lacksSlowStartToken(attempt, node, now)) {
            return AttemptRefusal.NO_SLOW_START_TOKEN;
        }
        // A replica rejects a write without executing it; a strong read may be answered from old data.
        boolean write = request.consistency() == ConsistencyLevel.WRITE;
        boolean rejectsIfStale = write || settings.replicasRejectStaleReads();
        boolean satisfied = rejectsIfStale || node.claimsPrimary() || satisfiesRead(node, request, now);
        return satisfied ? AttemptRefusal.NONE : AttemptRefusal.READ_TOO_STALE;
    }

    // ---- choice of the primary ----

    /** Returns the primary if it can take the request now, else null; health-checks all members if there is none. */
    private NodeState choosePrimary(Request request, double now) {
        NodeState primary = replicaSet(request).primary();
        if (!isPrimaryHealthy(request, now)) {
            checkForPrimary(replicaSet(request), primary, now);
            return memberToFindPrimary(request, now);
        }
        // Without a health check each router would send its first write after a failover to the former primary.
        boolean usable = !mustAwaitHealthCheck(primary, request, now)
                && isUsable(primary, now)
                && deduplicatesRetry(request, primary)
                && withinSlowStartBudget(primary, request.requestClass, now);
        return usable ? primary : null;
    }

    /**
     * Health-checks the members that may show which of them is primary. A primary that drains shows itself when it has
     * handed over; until then checks of the others would only use up the budget.
     */
    private void checkForPrimary(ReplicaSet replicaSet, NodeState primary, double now) {
        boolean handsOver = primary != null && primary.drainsAsPrimary && !primary.isDrainingOrGone();
        if (handsOver) {
            requestHealthCheck(primary, now);
            return;
        }
        earnElectionCheck(now);
        if (healthCheckBudget >= 1) {
            replicaSet.members.stream()
                    .sorted(Comparator.comparingDouble(member -> member.healthCheckSentAt))
                    .forEach(member -> requestHealthCheck(member, now));
        }
    }

    /**
     * Adds one health check per interval to a budget that is used up, while requests wait for a primary. Otherwise a
     * router with little traffic has no checks left when an election that took longer than its budget ends.
     */
    private void earnElectionCheck(double now) {
        if (healthCheckBudget < 1 && now >= electionCheckEarnedAt + HEALTH_CHECK_INTERVAL) {
            electionCheckEarnedAt = now;
            healthCheckBudget = 1;
        }
    }

    /**
     * Returns the member to which a write is sent to find out whether it is primary, or null. Without health checks
     * nothing else may show which member has become primary. A replica rejects a write without executing it; a strong
     * read it could answer from old data.
     */
    private NodeState memberToFindPrimary(Request request, double now) {
        NodeState primary = replicaSet(request).primary();
        boolean unknown = primary == null || primary.isDrainingOrGone();
        if (settings.healthChecksAllowed() || !unknown || request.consistency() != ConsistencyLevel.WRITE) {
            return null;
        }
        return replicaSet(request).members.stream()
                .filter(member -> now >= member.roles.replicaClaimedAt() + ROLE_RETRY_INTERVAL)
                .filter(member -> isUsableFor(request, member, now))
                .min(Comparator.comparingDouble(member -> member.roles.replicaClaimedAt()))
                .orElse(null);
    }

    /** Whether there is a responsive primary; without one, writes wait for an election instead of failing. */
    private boolean isPrimaryHealthy(Request request, double now) {
        NodeState node = replicaSet(request).primary();
        return node != null
                && !node.isDrainingOrGone()
                && !gate.reportsDraining(node)
                && !isEjected(node)
                && !isOverdue(node, now);
    }

    // ---- choice of a node for a read ----

    /** Returns the node for a read, or null if the read has to wait. */
    private NodeState chooseNodeForRead(Request request, double now) {
        // In order of preference: the next replica in rotation that passes all gates; if replicas reject stale
        // reads, the replica with the least lag; the primary.
        ReplicaSet replicaSet = replicaSet(request);
        NodeState primary = replicaSet(request).primary();
        NodeState dedicated = longReadReplica(request, replicaSet, primary, now);
        if (dedicated != null) {
            boolean usable = !mustAwaitHealthCheck(dedicated, request, now) && isUsableFor(request, dedicated, now);
            return usable ? dedicated : null;
        }
        NodeState chosen = nextInRotation(request, replicaSet, primary, now);
        if (chosen != null || (awaitingHealthCheck && !settings.replicasRejectStaleReads())) {
            return chosen;
        }
        if (settings.replicasRejectStaleReads()) {
            chosen = leastLagging(request, replicaSet, primary, now);
        }
        return chosen == null && canServeRead(primary, replicaSet, request, now) ? primary : chosen;
    }

    /** Selects a replica by round robin; replicas with outdated state are skipped and health-checked. */
    private NodeState nextInRotation(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // Eventual reads first try replicas outside the tightest lag gate, which unloads the up-to-date ones.
        int size = replicaSet.members.size();
        NodeState toCheck = null;
        for (int i = prefersLaggingReplicas(request, replicaSet, now) ? 1 : size + 1; i <= 2 * size; i++) {
            int index = (replicaSet.roundRobinIndex + i) % size;
            NodeState replica = replicaSet.members.get(index);
            boolean laggingOnly = i <= size;
            if (replica == primary || (laggingOnly && replica.lagSeconds <= tightestLagGate)) {
                continue;
            }
            if (isEjected(replica)) {
                sampleHealthCheck(replica, request, now);
            } else if (needsHealthCheck(replica, request, now)) {
                awaitingHealthCheck |= isHealthCheckPending(replica, now);
                toCheck = preferredForHealthCheck(toCheck, replica, request, now);
            } else if (isEligible(replica, request, now) && acceptsTurn(replica, now)) {
                replicaSet.roundRobinIndex = index;
                awaitingHealthCheck = false;
                healthCheckSkippedReplica(toCheck, request, now);
                return replica;
            }
        }
        awaitingHealthCheck = awaitingHealthCheck || (toCheck != null && requestHealthCheck(toCheck, now));
        return null;
    }

    /** Whether a read tries lagging replicas first: eventual reads do while the latency of eventual reads is low. */
    private static boolean prefersLaggingReplicas(Request request, ReplicaSet replicaSet, double now) {
        double load = replicaSet.eventualReadLoad.value(now);
        return request.consistency() == ConsistencyLevel.EVENTUAL
                && load <= Math.max(LOW_LATENCY_RATIO, replicaSet.consistentReadLoad.value(now));
    }

    /** Whether the replica's state is too old for the read; staleness is ignored while the check budget is low. */
    private boolean needsHealthCheck(NodeState replica, Request request, double now) {
        return (hasAmpleHealthCheckBudget() && isStale(replica, now))
                || gate.refusalFor(replica, now) == AttemptRefusal.NODE_UNCONFIRMED
                || (!satisfiesRead(replica, request, now) && !likelySatisfiesRead(replica, request, now));
    }

    /** Returns which of two skipped replicas to health-check: the first, or the first in this router's zone. */
    private NodeState preferredForHealthCheck(NodeState current, NodeState replica, Request request, double now) {
        String zone = settings.zone();
        boolean preferred = current == null || (replica.isInZone(zone) && !current.isInZone(zone));
        boolean due = now >= replica.healthCheckSentAt + HEALTH_CHECK_INTERVAL;
        boolean checkable = due && !replica.isDrainingOrGone() && mayHealthCheck(replica, request, now);
        return preferred && checkable ? replica : current;
    }

    /** Whether the replica is not ejected for staleness, can take the read now, and passes the lag gate. */
    private boolean isEligible(NodeState replica, Request request, double now) {
        return !isEjectedForStaleness(replica, request, now)
                && isUsableFor(request, replica, now)
                && (request.consistency() != ConsistencyLevel.BOUNDED_STALENESS
                        || replica.lagSeconds <= lagGate(request.requestClass));
    }

    /** Whether the replica takes its turn in the rotation; replicas skip turns at random, but never all turns. */
    private boolean acceptsTurn(NodeState replica, double now) {
        // Turns are skipped in slow start, while the replica reports more load than its peers, which other
        // routers may cause, and while it needs a new connection and connecting is slow.
        double averageLoad = replica.replicaSet.averageReplicaLoad();
        double byLoad = (averageLoad + 1) / (replica.reportedLoad + 1);
        double probability = Math.min(settings.capacityFraction(replica.startedAt(), now), byLoad);
        if (replica.needsConnection(settings, now)) {
            probability = Math.min(probability, Math.pow(MIN_CONNECT_TIME / connectTimeEstimate, 2));
        }
        return probability >= 1 || random.nextDouble() < probability;
    }

    /** Returns the replica, the same for all routers, that serves rare long reads; null for other reads. */
    private NodeState longReadReplica(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // A long read may delay replication on its node; spread over all replicas it would make each of them lag.
        double serviceTime = expectedServiceTimes.get(request.requestClass);
        boolean eventual = request.consistency() == ConsistencyLevel.EVENTUAL;
        if (!eventual || serviceTime <= tightestLagGate || !isRareRequestClass(request.requestClass, replicaSet)) {
            return null;
        }
        boolean mayWait = now + 2 * serviceTime < request.latencyObjectiveAt();
        return replicaSet.members.stream()
                .filter(member -> member != primary)
                .filter(member -> mayWait ? isHealthy(member, now) : isUsableFor(request, member, now))
                .min(Comparator.comparing(member -> member.node.id()))
                .orElse(null);
    }

    /** Whether the class has at most one member's share of all requests; more would overload a single replica. */
    private boolean isRareRequestClass(RequestClass requestClass, ReplicaSet replicaSet) {
        long all = requestCounts.values().stream().mapToLong(Long::longValue).sum();
        return requestCounts.getOrDefault(requestClass, 0L) * replicaSet.members.size() <= all;
    }

    /** Returns the usable replica with the least lag, or null. */
    private NodeState leastLagging(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // A replica without a reported position is about as likely to be within the bound as outside.
        double unknownLag = request.maxStalenessSeconds();
        return replicaSet.members.stream()
                .filter(member -> member != primary && !isEjectedForStaleness(member, request, now))
                .filter(member -> isUsableFor(request, member, now))
                .min(Comparator.comparingDouble(member -> member.lagOr(unknownLag)))
                .orElse(null);
    }

    /** Whether the primary is fast and has capacity beyond the part reserved for writes. */
    private boolean canServeRead(NodeState primary, ReplicaSet replicaSet, Request request, double now) {
        boolean healthy = primary != null && primary.consecutiveFailures == 0;
        return healthy
                && replicaSet.primaryLoad.value(now) < LOW_LATENCY_RATIO
                && hasCapacity(primary, PRIMARY_READ_CAPACITY_FRACTION, now)
                && isUsableFor(request, primary, now);
    }

    // ---- consistency ----

    /** Whether the node has provably applied all writes that the read must see; positions never decrease. */
    private boolean satisfiesRead(NodeState node, Request request, double now) {
        return switch (request.consistency()) {
            case EVENTUAL -> true;
            case BOUNDED_STALENESS -> {
                double margin = Math.min(STALL_MARGIN, STALENESS_MARGIN_FRACTION * request.maxStalenessSeconds());
                yield node.appliedPosition >= now + margin - request.maxStalenessSeconds();
            }
            case SESSION -> node.appliedPosition >= requiredSessionPosition(request);
            case WRITE, STRONG -> false;
        };
    }

    /** Returns the newest known last-write position of the session: from the request, peers or this router's record. */
    private double requiredSessionPosition(Request request) {
        double known = request.lastWritePosition;
        double carried = known > 0 ? known + CARRIED_POSITION_PRECISION : 0;
        boolean usesRecord = request.sessionId != null && !settings.requestsCarryLastWrite();
        double recorded = usesRecord ? sessionWrites.position(request.sessionId) : 0;
        return Math.max(carried, Math.max(replicaSet(request).evictedWritePosition, recorded));
    }

    /**
     * Whether a replica that rejects stale reads itself may be tried on the evidence of its last measured lag; the
     * positions known to one of many routers are often old.
     */
    private boolean likelySatisfiesRead(NodeState replica, Request request, double now) {
        return settings.replicasRejectStaleReads()
                && request.consistency() == ConsistencyLevel.BOUNDED_STALENESS
                && replica.lagSeconds <= lagGate(request.requestClass)
                && now < replica.lagMeasuredAt + LAG_VALIDITY;
    }

    private static double lagGate(RequestClass requestClass) {
        return requestClass.maxStalenessSeconds() * LAG_GATE_FRACTION;
    }

    /** Whether the replica lately rejected a read, without a reported position since that shows it has caught up. */
    private static boolean isEjectedForStaleness(NodeState replica, Request request, double now) {
        return now < replica.readRejectedAt + READ_REJECTION_EJECTION_TIME
                && request.consistency() != ConsistencyLevel.EVENTUAL
                && replica.appliedPosition < replica.readRejectedAt - lagGate(request.requestClass);
    }

    // ---- health ----

    private boolean isUsableFor(Request request, NodeState node, double now) {
        return !request.wasAttemptedOn(node.node)
                && isUsable(node, now)
                && deduplicatesRetry(request, node)
                && withinSlowStartBudget(node, request.requestClass, now);
    }

    /** Whether the node may get an attempt now; a node that has failed gets one attempt at a time. */
    private boolean isUsable(NodeState node, double now) {
        boolean probeOutstanding = node.consecutiveFailures > 0 && !node.outstandingAttempts.isEmpty();
        boolean available = gate.admits(node, now) && now >= node.backoffUntil && !isEjected(node);
        return available && !probeOutstanding && !isSilent(node, now) && hasCapacity(node, 1, now);
    }

    private boolean isHealthy(NodeState node, double now) {
        return node.consecutiveFailures == 0 && !node.isDrainingOrGone() && !isSilent(node, now);
    }

    private static boolean isEjected(NodeState node) {
        return node.consecutiveFailures >= EJECTION_THRESHOLD;
    }

    private static boolean isStale(NodeState node, double now) {
        return now - node.lastSeenAt > TIME_GATE;
    }

    /** Whether the node no longer responds: an attempt is overdue, and another is outstanding or a check is overdue. */
    private boolean isSilent(NodeState node, double now) {
        boolean checkOverdue = node.healthCheckPending && now > node.healthCheckSentAt + HEALTH_CHECK_TIMEOUT;
        return isOverdue(node, now) && (node.outstandingAttempts.size() > 1 || checkOverdue);
    }

    /** Whether the oldest attempt is overdue; the time before the end of a stall of this router does not count. */
    private boolean isOverdue(NodeState node, double now) {
        Attempt oldest = node.outstandingAttempts.peek();
        if (oldest == null) {
            return false;
        }
        double since = Math.max(lastStallEndedAt, Math.max(node.lastAttemptResponseAt, oldest.sentAt));
        return now - since > silenceTimeout(oldest.request.requestClass);
    }

    private double silenceTimeout(RequestClass requestClass) {
        return Math.max(MIN_SILENCE_TIMEOUT, SILENCE_FACTOR * expectedServiceTimes.get(requestClass));
    }

    /**
     * Schedules a health check if one is allowed and due, and returns whether it did. The budget for health checks
     * grows with requests, because periodic checks cost large fleets too much.
     */
    private boolean requestHealthCheck(NodeState node, double now) {
        boolean due = now >= node.healthCheckSentAt + HEALTH_CHECK_INTERVAL;
        if (!settings.healthChecksAllowed() || node.isDrainingOrGone() || healthCheckBudget < 1 || !due) {
            return false;
        }
        healthCheckBudget--;
        node.healthCheckSentAt = now;
        node.healthCheckPending = true;
        healthChecksToSend.add(node.node);
        return true;
    }

    /**
     * Whether a read may trigger a health check of the node: in slow start only with a token. Without a token nothing
     * may be sent to the node anyway, and the check by each of many routers opens a connection, which costs the node as
     * much as part of a read.
     */
    private boolean mayHealthCheck(NodeState node, Request request, double now) {
        return withinSlowStartBudget(node, request.requestClass, now);
    }

    private static boolean isHealthCheckPending(NodeState node, double now) {
        return node.healthCheckPending && now < node.healthCheckSentAt + HEALTH_CHECK_TIMEOUT;
    }

    /** Whether a strong read should wait for the health check of a primary that only the endpoint list has named. */
    private static boolean isRoleCheckPending(NodeState node, Request request, double now) {
        return request.consistency() == ConsistencyLevel.STRONG
                && !node.roles.hasReportedRole()
                && node.healthCheckPending
                && now < node.healthCheckSentAt + ROLE_CHECK_TIMEOUT;
    }

    /** Whether a request must wait for a health check of a stale or unconfirmed node; requests the check if needed. */
    private boolean mustAwaitHealthCheck(NodeState node, Request request, double now) {
        boolean unconfirmed = isStale(node, now) || gate.refusalFor(node, now) == AttemptRefusal.NODE_UNCONFIRMED;
        boolean checkable = unconfirmed && mayHealthCheck(node, request, now);
        boolean pending = isHealthCheckPending(node, now) || isRoleCheckPending(node, request, now);
        awaitingHealthCheck = unconfirmed && (pending || (checkable && requestHealthCheck(node, now)));
        return awaitingHealthCheck;
    }

    /** Health-checks a skipped node: with a small probability or, if unconfirmed, while the check budget is ample. */
    private void healthCheckSkippedReplica(NodeState node, Request request, double now) {
        boolean unconfirmed = node != null && gate.refusalFor(node, now) == AttemptRefusal.NODE_UNCONFIRMED;
        if (!unconfirmed) {
            sampleHealthCheck(node, request, now);
        } else if (hasAmpleHealthCheckBudget()) {
            requestHealthCheck(node, now);
        } // otherwise the remaining checks are reserved for requests that find no node
    }

    private boolean hasAmpleHealthCheckBudget() {
        return settings.healthChecksAllowed() && healthCheckBudget > HEALTH_CHECK_BUDGET_CAP / 2;
    }

    /** Health-checks a node that reads skip, with a small probability: no attempt would reveal its recovery. */
    private void sampleHealthCheck(NodeState node, Request request, double now) {
        if (node != null && random.nextDouble() < REFRESH_PROBABILITY && mayHealthCheck(node, request, now)) {
            requestHealthCheck(node, now);
        }
    }

    // ---- capacity ----

    /** Whether less than the fraction of the limit is in use, counting abandoned attempts that may still be queued. */
    private static boolean hasCapacity(NodeState node, double fraction, double now) {
        node.abandonedAttempts.removeIf(abandoned -> hasLeftQueue(abandoned, now));
        int inUse = node.outstandingAttempts.size() + node.abandonedAttempts.size();
        return inUse < Math.max(1, node.concurrencyLimit * fraction);
    }

    private static boolean hasLeftQueue(Attempt abandoned, double now) {
        double objective = abandoned.request.latencyObjectiveSeconds();
        return now > abandoned.sentAt + ABANDONED_ATTEMPT_OBJECTIVES * objective;
    }

    private ReplicaSet replicaSet(Request request) {
        return replicaSet(request.replicaSetId);
    }

    /** Returns the replica set; its rotation starts at random, so that routers begin at different members. */
    private ReplicaSet replicaSet(int id) {
        return replicaSets.computeIfAbsent(
                id, unknown -> new ReplicaSet(random.nextInt(1 << 16), LOAD_SMOOTHING, overall));
    }

    // ---- slow start ----

    private boolean isInSlowStart(NodeState node, double now) {
        return settings.capacityFraction(node.startedAt(), now) < 1;
    }

    /** Whether the node may get a request: in slow start only if this router has a slow-start token for it. */
    private boolean withinSlowStartBudget(NodeState node, RequestClass requestClass, double now) {
        if (!isInSlowStart(node, now)) {
            return true;
        }
        SlowStartBudget budget = node.slowStartBudget;
        double requestWork = expectedServiceTimes.get(requestClass);
        if (budget.isOlderThan(node.startedAt())) {
            // The random initial debt spreads the first requests of many routers over time.
            budget.restart(random.nextDouble() * requestWork, now);
        } else {
            budget.refill(toleratedWorkRate(node, now), requestWork, now);
        }
        return budget.hasToken();
    }

    /** Returns the work rate that a node in slow start tolerates of this router, based on what warm nodes complete. */
    private double toleratedWorkRate(NodeState node, double now) {
        double minWorkRate = MIN_FLEET_WORK_RATE / settings.routerCount();
        double workRate = Math.max(minWorkRate, completedWorkRate.value(now));
        return settings.capacityFraction(node.startedAt(), now) * settings.overloadFactor() * workRate;
    }

    /**
     * Whether an attempt that waited, for example for its connection, has no valid token for a node in slow start: the
     * token has expired, or the node has restarted since. Otherwise all attempts that waited would arrive together.
     */
    private boolean lacksSlowStartToken(Attempt attempt, NodeState node, double now) {
        boolean startedSince = attempt.sentAt < node.startedAt();
        return isInSlowStart(node, now) && (startedSince || now > attempt.slowStartTokenExpiresAt);
    }

    /** Adds the work of an answered request to the rate; requests to hung or overloaded nodes do not count. */
    private void addCompletedWork(RequestClass requestClass, double now) {
        if (now > servingNodesCountedAt + SERVING_NODE_COUNT_INTERVAL) {
            servingNodesCountedAt = now;
            servingNodeCount = nodeStates.values().stream()
                    .filter(node -> !isEjected(node) && !node.isDrainingOrGone())
                    .count();
        }
        double work = expectedServiceTimes.get(requestClass);
        completedWorkRate.add(work / WORK_RATE_DECAY / Math.max(1, servingNodeCount), now);
    }

    // ---- results of attempts ----

    /**
     * Updates all state with the result of an attempt and decides how to proceed with its request.
     *
     * @param completed whether the request has its final answer, or its client has gone
     */
    public Decision onAttemptFinished(Attempt attempt, AttemptResult result, boolean completed, double now) {
        Request request = attempt.request;
        AttemptOutcome outcome = result.outcome();
        attempt.outcome = outcome;
        NodeState node = nodeStates.get(attempt.node);
        node.outstandingAttempts.remove(attempt);
        outstandingAttemptCount--;
        updateConnectTime(attempt, result);
        if (outcome == AttemptOutcome.TIMED_OUT || outcome == AttemptOutcome.CANCELLED) {
            node.abandonedAttempts.add(attempt);
            node.expectedConnections = Math.max(0, node.expectedConnections - 1);
        }
        updateNodeState(node, result, now);
        node.onAttemptResult(attempt, outcome, now);
        updateHealthAndLoad(node, attempt, result, now);
        if (outcome == AttemptOutcome.ANSWERED) {
            recordSessionWrite(request, result, now);
        }
        if (!completed && outcome != AttemptOutcome.ANSWERED) {
            return route(request, now);
        }
        return Decision.end(RoutingAction.DONE, 0, cancellableAttempts(request));
    }

    /** Estimates connect time as the time beyond the expected service time of attempts that opened a connection. */
    private void updateConnectTime(Attempt attempt, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        boolean responded = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.CONNECT_FAILED;
        if (attempt.opensConnection && result.elapsedSeconds() > 0 && responded) {
            double sample = result.elapsedSeconds() - expectedServiceTimes.get(attempt.request.requestClass);
            double smoothed = smooth(connectTimeEstimate, sample, CONNECT_TIME_SMOOTHING);
            connectTimeEstimate = Math.max(MIN_CONNECT_TIME, smoothed);
        }
    }

    /** Records the last-write position of the session of an answered write, unless requests carry it. */
    private void recordSessionWrite(Request request, AttemptResult result, double now) {
        boolean write = request.consistency() == ConsistencyLevel.WRITE;
        if (write && request.sessionId != null && !settings.requestsCarryLastWrite()) {
            double position = result.appliedPosition() > 0 ? result.appliedPosition() : now;
            sessionWrites.record(request.sessionId, replicaSet(request), position);
        }
    }

    /** Updates the node's state with what it reported in the response to an attempt or a health check. */
    private void updateNodeState(NodeState node, AttemptResult result, double now) {
        if (result.outcome() == AttemptOutcome.ANSWERED || result.role() != Role.UNKNOWN) {
            node.lastSeenAt = now;
        }
        node.raiseAppliedPosition(Math.max(result.appliedPosition(), result.reportedPosition()));
        updateRole(node, result, now);
        node.reportedLoad = result.reportedLoad() >= 0 ? result.reportedLoad() : node.reportedLoad;
        node.replicaSet.raisePrimaryPosition(node);
        updateLag(node, result, now);
    }

    /** Records the role shown by the response, and the role in the load report, which is older. */
    private static void updateRole(NodeState node, AttemptResult result, double now) {
        // A load report is dated by its position; as a replica's position may be older than its report, that age
        // is bounded. Otherwise a former primary that returns with an unchanged position would still count as primary.
        if (result.role() == Role.PRIMARY) {
            node.claimPrimary(now - result.elapsedSeconds() / 2);
        } else if (result.role() == Role.REPLICA) {
            node.roles.claimReplica(now);
        }
        if (result.reportedRole() == Role.PRIMARY) {
            node.claimPrimary(result.reportedPosition());
        } else if (result.reportedRole() == Role.REPLICA) {
            node.roles.claimReplica(Math.max(result.reportedPosition(), now - MAX_REPORT_AGE));
        }
    }

    /** Updates the lag if a position was reported; a replica without recent requests keeps its last measured lag. */
    private void updateLag(NodeState node, AttemptResult result, double now) {
        if (result.appliedPosition() > 0 || result.reportedPosition() > 0) {
            double reportedAt = result.appliedPosition() > 0 ? now : now - TYPICAL_REPORT_AGE;
            // The log has grown since the primary last reported its position.
            double newest = Math.max(node.replicaSet.newestPrimaryPosition, reportedAt);
            node.lagSeconds = newest - node.appliedPosition;
            node.lagMeasuredAt = now;
        }
    }

    private void updateHealthAndLoad(NodeState node, Attempt attempt, AttemptResult result, double now) {
        RequestClass requestClass = attempt.request.requestClass;
        ReplicaSet replicaSet = node.replicaSet;
        LoadEstimate load = node.claimsPrimary() ? replicaSet.primaryLoad : replicaSet.readLoad(requestClass);
        double objective = requestClass.latencyObjectiveSeconds();
        double latencyRatio = result.elapsedSeconds() / objective;
        switch (result.outcome()) {
            case ANSWERED -> {
                onAnswered(node, attempt, result.elapsedSeconds(), now);
                load.addSample(latencyRatio, now);
                lowerLimitIfSlow(node, latencyRatio);
                raiseLimitIfFast(node);
            }
            case REJECTED -> {
                node.lastAttemptResponseAt = now;
                node.readRejectedAt = requestClass.requiresPrimary() ? node.readRejectedAt : now;
            }
            case OVERLOADED -> {
                load.addSample(1, now);
                decreaseLimit(node, OVERLOAD_LIMIT_DECREASE);
                backOff(node, 0, now);
            }
            case ERROR, DRAINING -> backOff(node, 0, now);
            case CONNECT_FAILED -> backOff(node, 1, now);
            case RESET -> {
                // A reset alone does not show a dead node; a dead node also refuses new connections.
                if (node.lastAttemptResponseAt < attempt.sentAt) {
                    backOff(node, 0, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                // A shorter client timeout is no evidence against the node.
                boolean longWait = attempt.timeoutAt > attempt.request.arrivedAt + objective / 2;
                boolean late = longWait && result.outcome() == AttemptOutcome.TIMED_OUT;
                load.addSample(late ? 1 : latencyRatio, now);
                lowerLimitIfSlow(node, Math.max(node.latencyRatio, latencyRatio));
                boolean silent = attempt.sentAt > node.lastAttemptResponseAt;
                if (silent && result.elapsedSeconds() > silenceTimeout(requestClass)) {
                    backOff(node, 1, now);
                }
            }
            case NOT_SENT -> {}
        }
    }

    private void onAnswered(NodeState node, Attempt attempt, double elapsedSeconds, double now) {
        node.lastAttemptResponseAt = now;
        // Queues are first in, first out: attempts sent before this one have left the queue too.
        node.abandonedAttempts.removeIf(abandoned -> abandoned.sentAt <= attempt.sentAt);
        node.consecutiveFailures = 0;
        node.backoffCount = 0;
        RequestClass requestClass = attempt.request.requestClass;
        addCompletedWork(requestClass, now);
        double expected = expectedServiceTimes.get(requestClass);
        expectedServiceTimes.put(requestClass, smooth(expected, elapsedSeconds, SERVICE_TIME_SMOOTHING));
    }

    private static double smooth(double average, double sample, double weight) {
        return average + weight * (sample - average);
    }

    /** Starts a backoff of the node; its length doubles with each backoff since the last answer, up to a maximum. */
    private void backOff(NodeState node, int failures, double now) {
        // Without health checks only another attempt can show a recovery, so failures must not eject the node.
        int maxFailures = settings.healthChecksAllowed() ? Integer.MAX_VALUE : EJECTION_THRESHOLD - 1;
        node.consecutiveFailures = Math.min(node.consecutiveFailures + failures, maxFailures);
        node.backoffUntil = now + Math.min(MAX_BACKOFF, MIN_BACKOFF * Math.pow(2, node.backoffCount++));
    }

    /** Keeps latency below about a third of the objective: longer queues would delay all requests for long. */
    private void lowerLimitIfSlow(NodeState node, double latencyRatio) {
        double sample = Math.min(latencyRatio, MAX_LATENCY_RATIO);
        node.latencyRatio = smooth(node.latencyRatio, sample, LATENCY_RATIO_SMOOTHING);
        if (node.latencyRatio > HIGH_LATENCY_RATIO) {
            decreaseLimit(node, SLOW_LIMIT_DECREASE);
        }
    }

    private void decreaseLimit(NodeState node, double factor) {
        node.concurrencyLimit = Math.max(minConcurrencyLimit, node.concurrencyLimit * factor);
    }

    private static void raiseLimitIfFast(NodeState node) {
        boolean inUse = node.outstandingAttempts.size() + 1 >= node.concurrencyLimit * LIMIT_IN_USE_FRACTION;
        if (node.latencyRatio < LOW_LATENCY_RATIO && inUse) {
            node.concurrencyLimit += LIMIT_INCREASE / node.concurrencyLimit;
        }
    }

    // ---- ticks ----

    /** Returns when to route all unfinished requests again, and the health checks and the poll that are due now. */
    public TickResult tick(double now) {
        boolean pollEndpoints = now >= nextPollAt;
        nextPollAt = pollEndpoints ? now + POLL_TIMEOUT : nextPollAt;
        double idleSeconds = Math.max(BUSY_TICK, Math.min(IDLE_TICK, nextPollAt - now));
        boolean busy = requestsWaiting || outstandingAttemptCount > 0;
        double seconds = !healthChecksToSend.isEmpty() ? HEALTH_CHECK_TICK : busy ? BUSY_TICK : idleSeconds;
        nextTickAt = now + seconds;
        var result = new TickResult(seconds, List.copyOf(healthChecksToSend), pollEndpoints);
        healthChecksToSend.clear();
        requestsWaiting = false;
        return result;
    }

    // ---- endpoint list ----

    /** Applies an endpoint list: it replaces the known list if it is complete, otherwise it contains the changes. */
    public void onEndpointList(List<Endpoint> endpoints, boolean complete, double now) {
        if (complete) {
            removeUnlistedNodes(endpoints);
        }
        for (Endpoint endpoint : endpoints) {
            NodeState node = nodeStates.computeIfAbsent(endpoint.node(), added -> addNode(endpoint));
            if (endpoint.state() == Endpoint.State.GONE) {
                node.endpoint = endpointAfterRemoval(node);
            } else {
                NodeLifecycle.onListed(node, endpoint, settings.healthChecksAllowed(), now);
            }
        }
        removeUnusedNodes();
        // The first list is cached and precedes any poll; each later list shows that the watch works.
        nextPollAt = nextPollAt > 0 ? Double.POSITIVE_INFINITY : nextPollAt;
        endpointListLate = false;
    }

    private void removeUnlistedNodes(List<Endpoint> endpoints) {
        Set<Node> listed = endpoints.stream().map(Endpoint::node).collect(Collectors.toSet());
        nodeStates.values().stream()
                .filter(node -> !listed.contains(node.node))
                .forEach(node -> node.endpoint = endpointAfterRemoval(node));
    }

    private void removeUnusedNodes() {
        List<NodeState> unused =
                nodeStates.values().stream().filter(NodeState::isUnused).toList();
        for (NodeState node : unused) {
            nodeStates.remove(node.node);
            node.replicaSet.members.remove(node);
            node.abandonedAttempts.clear();
            departedNodes.add(node);
        }
    }

    private NodeState addNode(Endpoint endpoint) {
        Node node = endpoint.node();
        NodeState departed = departedNodes.takeReturning(node.id());
        boolean returns = departed != null && departed.node.replicaSetId() == node.replicaSetId();
        RoleEvidence roles = returns ? departed.roles : new RoleEvidence();
        double limit = Math.max(minConcurrencyLimit, INITIAL_FLEET_CONCURRENCY / settings.routerCount());
        ReplicaSet replicaSet = replicaSet(node.replicaSetId());
        var state = new NodeState(node, replicaSet, limit, settings.overloadWindowSeconds(), roles);
        if (returns) {
            NodeLifecycle.onReturned(departed, state, endpoint);
        }
        replicaSet.members.add(state);
        return state;
    }

    /** Returns the endpoint of a node that is gone from the list: null if that is binding or the node was draining. */
    private Endpoint endpointAfterRemoval(NodeState node) {
        return settings.goneIsBinding() || node.isDrainingOrGone() ? null : node.endpoint;
    }

    /** Schedules another poll after a random delay, as a poll of the endpoint list failed or its watch broke. */
    public void onEndpointListFailed(double now) {
        if (settings.endpointListMustBePolled()) {
            nextPollAt = now + MIN_POLL_RETRY_DELAY + random.nextDouble();
        }
    }

    /** Schedules a poll at once, as a watch was not answered in time; does so only once until a list arrives. */
    public void onEndpointListLate(double now) {
        nextPollAt = endpointListLate ? nextPollAt : now;
        endpointListLate = true;
    }

    /** Returns a random time that a watch may stay open, so that routers do not renew their watches all at once. */
    public double nextWatchTimeoutSeconds() {
        return MIN_WATCH_TIMEOUT + (MAX_WATCH_TIMEOUT - MIN_WATCH_TIMEOUT) * random.nextDouble();
    }

    // ---- health check results and peers ----

    /** Applies the result of a health check; success leaves one failure, as hung nodes pass health checks too. */
    public void onHealthCheck(Node node, AttemptResult result, double now) {
        NodeState state = nodeStates.get(node);
        if (state == null) {
            onHealthCheckOfDepartedNode(node, result, now);
            return;
        }
        state.healthCheckPending = false;
        state.onHealthCheckResult(now - result.elapsedSeconds(), result.outcome(), now);
        state.drainsAsPrimary = result.outcome() == AttemptOutcome.DRAINING && result.role() == Role.PRIMARY;
        updateNodeState(state, result, now); // a draining node reports its role and position with an error
        if (result.outcome() == AttemptOutcome.ANSWERED) {
            state.consecutiveFailures = Math.min(state.consecutiveFailures, 1);
        } else if (result.outcome() != AttemptOutcome.NOT_SENT) {
            backOff(state, 1, now);
        }
    }

    /**
     * Records the role and the draining that a node reports while it is gone from the list; see {@link NodeLifecycle}.
     */
    private void onHealthCheckOfDepartedNode(Node node, AttemptResult result, double now) {
        NodeState departed = departedNodes.find(node.id());
        if (departed != null) {
            departed.onHealthCheckResult(now - result.elapsedSeconds(), result.outcome(), now);
            updateRole(departed, result, now);
        }
    }

    /** Applies an observation of peers; their failures count as one, as only their network path may be broken. */
    public void onPeerObservation(Node node, PeerObservation observation, double now) {
        NodeState state = nodeStates.get(node);
        if (state == null || state.hasRestartedSince(observation)) {
            return;
        }
        state.merge(observation);
        boolean recent = now < observation.lastFailureAt() + TIME_GATE;
        if (observation.failedRouterCount() > 0 && observation.lastFailureAt() > state.lastSeenAt && recent) {
            state.consecutiveFailures = Math.max(1, state.consecutiveFailures);
        }
        state.replicaSet.raisePrimaryPosition(state);
    }

    // ---- inspection ----

    /** Whether the node is in the endpoint list or has an attempt outstanding. */
    public boolean isKnown(Node node) {
        return nodeStates.containsKey(node);
    }

    /** Describes the nodes for the log: their counts, and the first ones that are unusable or have attempts. */
    public String describeNodes(double now) {
        var summary = new NodeSummary(MAX_DESCRIBED_NODES);
        nodeStates.values().forEach(node -> summary.add(node, isStale(node, now), isUsable(node, now), now));
        return summary.text();
    }
}
