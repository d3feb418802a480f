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

/**
 * All decisions of one router: where a request goes, whether it is retried, hedged, held, shed or failed.
 *
 * <p>For replica sets with one primary and lagging replicas it does what a proxy such as Envoy calls:
 *
 * <ul>
 *   <li>load balancing: round robin over the replicas that are fresh enough for a read;
 *   <li>load shedding, adaptive concurrency limits and a retry budget;
 *   <li>outlier detection, with health checks on demand, and slow start.
 * </ul>
 *
 * <p>The caller asks {@link #route} about each new request and reports results to {@link #onAttemptFinished}.
 *
 * <p>After each batch of events it calls {@link #tick}; after the time returned it routes all requests again.
 *
 * <p>Pure: no I/O and no clock; the same seed and the same calls give the same decisions.
 *
 * <p>Not thread-safe: confined to the event loop. All times are seconds; log positions are commit times.
 */
public final class RoutingPolicy {
    // ---- tuned values; "objective" is the latency objective of the request class ----

    private static final double MAX_DEADLINE_MARGIN = 0.03; // before the deadline, as the router may stall
    private static final double DEADLINE_MARGIN_FRACTION = 0.1; // of the timeout, for short timeouts
    /** The gate refuses an attempt at least this many seconds before a rule would forbid it, but at short bounds. */
    public static final double MIN_STALL_MARGIN = 0.1;

    private static final double STALL_MARGIN = 0.15; // the router may be held up so long before it writes
    private static final double STALENESS_MARGIN_FRACTION = 0.1; // of the bound, for short bounds
    private static final double INITIAL_SERVICE_TIME_FRACTION = 0.25; // of the objective, before any response
    private static final double SERVICE_TIME_SMOOTHING = 0.02; // weight of a response
    private static final double MIN_SERVICE_TIME_FRACTION = 0.25; // a quarter of responses come by then
    private static final double MAX_SERVICE_TIME_FRACTION = 0.5; // of the objective: more is not asked for
    private static final double SHEDDING_STARTS_AT = 0.4; // load above that of work without queues
    private static final double SHEDDING_FULL_AT = 0.65; // load below that at which most responses are late
    private static final double MAX_SHED_PROBABILITY = 0.9; // the rest shows whether the load has fallen
    // A burst lasts seconds; a sample weighs a tenth among many, and more the longer none has come.
    private static final LoadEstimate.Smoothing LOAD_SMOOTHING = new LoadEstimate.Smoothing(3, 0.1, 0.25);

    private static final double READ_HOLD_FRACTION = 0.08; // of the objective: a client does better to retry
    private static final double WRITE_HOLD_FRACTION = 0.5; // of the objective: only one node takes writes
    private static final double ELECTION_HOLD_FRACTION = 0.45; // of the timeout: clients may retry elsewhere
    private static final double RETRY_BUDGET_RATIO = 0.2; // retries and hedged requests per request
    private static final double RETRY_BUDGET_FLEET_CAP = 90; // saved up by all routers together
    private static final double MIN_RETRY_AFTER_FRACTION = 0.1; // of the objective: a retry is still in time
    private static final double RETRY_AFTER_JITTER_FRACTION = 0.2; // of the objective: spreads the retries

    private static final double LAG_GATE_FRACTION = 0.75; // of the staleness bound; a half did a little worse
    private static final double TIME_GATE = 1; // a node not seen for so long is stale
    private static final double LAG_VALIDITY = 5; // lag comes and goes with load, over seconds
    private static final double READ_REJECTION_EJECTION_TIME = 10; // unless a newer position ends it
    private static final double CARRIED_POSITION_PRECISION = 0.001; // positions in requests are rounded down
    private static final int MAX_REMEMBERED_SESSIONS = 20_000; // more than write while replicas usually lag
    private static final double MAX_REPORT_AGE = 5; // of load reports that arrive late
    private static final double TYPICAL_REPORT_AGE = 0.25; // load reports are renewed a few times a second

    private static final int EJECTION_THRESHOLD = 2; // consecutive failures: a single one may be chance
    private static final double MIN_SILENCE_TIMEOUT = 0.2; // above ordinary stalls, below short objectives
    private static final double SILENCE_FACTOR = 3; // of the expected service time: about its 95th percentile
    private static final double MIN_BACKOFF = 0.05; // doubles with each further failure
    private static final double MAX_BACKOFF = 1; // a node that has recovered is soon used again
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.45; // most reads find nodes seen lately
    private static final double UNCONFIRMED_CHECKS_PER_REQUEST = 1; // while each node has to confirm itself
    private static final double HEALTH_CHECK_BUDGET_CAP = 15; // two or three per member of a replica set
    private static final double HEALTH_CHECK_TIMEOUT = 0.02; // a few round trips
    private static final double HEALTH_CHECK_INTERVAL = 0.15; // load reports are renewed about as often
    private static final double REFRESH_PROBABILITY = 0.1; // enough to find that a node has recovered

    private static final double INITIAL_FLEET_CONCURRENCY = 10; // of all routers: a few per core of a node
    private static final double MIN_FLEET_CONCURRENCY = 4; // of all routers: any node does that much
    private static final double LOW_LATENCY_RATIO = 0.25; // below, limits rise and the primary takes reads
    private static final double HIGH_LATENCY_RATIO = 0.32; // above, limits fall: service times spread widely
    private static final double LATENCY_RATIO_SMOOTHING = 0.1; // weight of an attempt
    private static final double MAX_LATENCY_RATIO = 2; // the most that one attempt counts
    private static final double LIMIT_INCREASE = 0.5; // additive, per limit's worth of responses
    private static final double LIMIT_IN_USE_FRACTION = 0.7; // a limit that is not in use does not rise
    private static final double SLOW_LIMIT_DECREASE = 0.97; // multiplicative, per response of a slow node
    private static final double OVERLOAD_LIMIT_DECREASE = 0.8; // multiplicative, per overload response
    private static final double PRIMARY_READ_FRACTION = 0.5; // of its limit; the rest is for writes
    private static final double ABANDONED_FOR_OBJECTIVES = 2; // then an abandoned attempt has left the queue
    private static final double MIN_CONNECT_TIME = 0.02; // a few round trips and some work
    private static final double CONNECT_TIME_SMOOTHING = 0.1; // weight of an attempt

    private static final double MIN_FLEET_WORK_RATE = 0.15; // of all routers: a part of one core of a node
    private static final double WORK_RATE_DECAY = 4; // some rotations over the nodes, little of a slow start
    private static final double SERVING_NODE_COUNT_INTERVAL = 0.1; // a count per response costs too much

    private static final double HEALTH_CHECK_TICK = 0.004; // a round trip
    private static final double BUSY_TICK = 0.01; // a small part of short objectives
    private static final double IDLE_TICK = 1; // nothing is due but the poll of the endpoint list
    private static final double STALL_THRESHOLD = 0.1; // lateness of a tick: half the silence timeout
    private static final double POLL_TIMEOUT = 5; // after neither a list nor a failure
    private static final double MIN_POLL_RETRY_DELAY = 0.5; // up to a second more spreads the routers
    private static final double MIN_WATCH_TIMEOUT = 7; // long beside the cost of a poll
    private static final double MAX_WATCH_TIMEOUT = 10; // short beside what a broken watch misses
    private static final int MAX_DESCRIBED_NODES = 20; // in a log line; a fleet may have thousands

    // ---- state ----

    private final RoutingSettings settings;
    private final Random random;
    private final Map<Node, NodeState> nodeStates = new LinkedHashMap<>();
    private final Map<Integer, ReplicaSet> replicaSets = new LinkedHashMap<>();
    private final ReplicaSet overall = new ReplicaSet(0, LOAD_SMOOTHING, null); // only the load of all sets
    private final Map<RequestClass, Double> expectedServiceTimes = new LinkedHashMap<>();
    private final Map<RequestClass, Long> requestCounts = new LinkedHashMap<>();
    private final SessionWrites sessionWrites = new SessionWrites(MAX_REMEMBERED_SESSIONS);
    private final DecayingRate completedWorkRate = new DecayingRate(WORK_RATE_DECAY); // s/s per serving node
    private final List<Node> healthChecksToSend = new ArrayList<>();
    private final double tightestLagGate;
    private final double minConcurrencyLimit;
    private final double retryBudgetCap;
    private double retryBudget;
    private double healthCheckBudget = HEALTH_CHECK_BUDGET_CAP;
    private boolean awaitingHealthCheck; // by the request that was routed last
    private boolean requestsWaiting; // since the last tick
    private int outstandingAttemptCount;
    private double connectTimeEstimate = MIN_CONNECT_TIME;
    private long servingNodeCount;
    private double servingNodesCountedAt = NEVER;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private double lastStallEndedAt;
    private double nextPollAt;
    private boolean endpointListLate; // since the last list arrived
    private final AttemptGate gate;

    /** Creates the policy of a router whose endpoint list is pushed without omission, so that it never lapses. */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        this(settings, seed, EndpointListLease.unlimited());
    }

    /**
     * Creates the policy of one router; each router needs a seed of its own, to choose unlike the others.
     *
     * @param lease says how long the endpoint list may be relied on; its owner renews it
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

    /** Decides what to do with a request now: on arrival, and at each tick until it is completed. */
    public Decision route(Request request, double now) {
        lastStallEndedAt = now > nextTickAt + STALL_THRESHOLD ? now : lastStallEndedAt;
        boolean outstanding = !request.outstandingAttempts().isEmpty();
        boolean arriving = now == request.arrivedAt && request.attempts.isEmpty();
        if (arriving) {
            double earned = gate.isListValid(now) ? HEALTH_CHECKS_PER_REQUEST : UNCONFIRMED_CHECKS_PER_REQUEST;
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
        NodeState node = request.requiresPrimary() ? choosePrimary(request, now) : chooseReader(request, now);
        if (node != null) {
            return send(request, node, now);
        }
        if (!outstanding && !awaitingHealthCheck && exceedsHoldTime(request, now)) {
            return rejectOrFail(request);
        }
        requestsWaiting |= !outstanding;
        return Decision.waitForNextTick();
    }

    /** Whether no response can be expected in time; at low load many need less than the expected time. */
    private boolean cannotFinishInTime(Request request, boolean outstanding, double now) {
        double load = replicaSet(request).readLoad(request.requestClass).value(now);
        double fraction = Math.max(MIN_SERVICE_TIME_FRACTION, Math.min(1, load / SHEDDING_STARTS_AT));
        double longest = request.latencyObjectiveSeconds() * MAX_SERVICE_TIME_FRACTION;
        double needed = Math.min(expectedServiceTimes.get(request.requestClass), longest) * fraction;
        return now + (outstanding ? 0 : needed) >= latestUsefulTime(request);
    }

    /** The time after which a response is worth nothing to the client. */
    private static double latestUsefulTime(Request request) {
        double margin = Math.min(MAX_DEADLINE_MARGIN, DEADLINE_MARGIN_FRACTION * request.timeoutSeconds());
        double latest = request.deadline - margin;
        boolean lateIsUseful = request.requestClass.lateWeightFraction() > 0;
        return lateIsUseful ? latest : Math.min(latest, request.latencyObjectiveAt());
    }

    /** Sheds arriving reads at random, by load: limits per node fail where many routers send little each. */
    private boolean shouldShed(Request request, double now) {
        if (request.requiresPrimary()) {
            return false;
        }
        double load = replicaSet(request).readLoad(request.requestClass).value(now);
        double probability = (load - SHEDDING_STARTS_AT) / (SHEDDING_FULL_AT - SHEDDING_STARTS_AT);
        return random.nextDouble() < Math.min(MAX_SHED_PROBABILITY, probability);
    }

    /** Whether there may be another attempt; one that may repeat an execution takes retry budget. */
    private boolean mayAttempt(Request request, double now) {
        boolean retry = request.firstPossiblyExecutedAttempt() != null;
        return request.attempts.size() < settings.maxAttempts()
                && (!retry || (retryBudget >= 1 && mayRetry(request, now)));
    }

    /** Whether a request has waited so long for capacity, or a write for an election, that it is rejected. */
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

    /** Ends a request that is not served: rejects it with a Retry-After if a retry is safe, else fails it. */
    public Decision rejectOrFail(Request request) {
        // A client may retry what is idempotent, was not executed, or has a key that every node knows.
        boolean safe = request.idempotency() == Idempotency.IDEMPOTENT
                || request.firstPossiblyExecutedAttempt() == null
                || (request.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
        double fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_FRACTION * random.nextDouble();
        double retryAfter = request.latencyObjectiveSeconds() * fraction;
        retryAfter = Math.min(settings.maxRetryAfterSeconds(), retryAfter);
        RoutingAction action = safe ? RoutingAction.REJECT : RoutingAction.FAIL;
        return Decision.end(action, retryAfter, cancellableAttempts(request));
    }

    private List<Attempt> cancellableAttempts(Request request) {
        return settings.cancellationAllowed() ? request.outstandingAttempts() : List.of();
    }

    // ---- retries and hedging ----

    /** Whether a request that may have been executed may be sent again: only where nodes drop a duplicate. */
    private static boolean mayRetry(Request request, double now) {
        if (request.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return request.idempotency() == Idempotency.IDEMPOTENT;
        }
        double windowStart = request.firstPossiblyExecutedAttempt().sentAt;
        return now + STALL_MARGIN < windowStart + request.requestClass.deduplicationWindowSeconds();
    }

    /** Whether the node, one of the same replica set, drops a duplicate of what may have been executed. */
    private static boolean deduplicatesRetry(Request request, NodeState node) {
        boolean keyed = request.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        Attempt first = keyed ? request.firstPossiblyExecutedAttempt() : null;
        return first == null
                || request.requestClass.deduplicationScope() != DeduplicationScope.ZONE
                || first.node.zone().equals(node.node.zone());
    }

    /** Hedges reads of silent nodes, and writes of former primaries; lateness alone is not worth the work. */
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

    /** Whether an attempt that waited for its connection may be sent; if not, it ends as NOT_SENT. */
    public boolean mayStillSend(Attempt attempt, double now) {
        return refusalOf(attempt, now) == AttemptRefusal.NONE;
    }

    /** Why an attempt may not be sent now, or not any more; asked before its first byte is written. */
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
        boolean primary = request.requiresPrimary() || node.claimsPrimary();
        boolean satisfied = settings.replicasRejectStaleReads() || primary || satisfiesRead(node, request, now);
        return satisfied ? AttemptRefusal.NONE : AttemptRefusal.READ_TOO_STALE;
    }

    // ---- choice of the primary ----

    /** Returns the primary if it can take the request now, else null; checks all members if there is none. */
    private NodeState choosePrimary(Request request, double now) {
        NodeState primary = replicaSet(request).primary();
        if (!isPrimaryHealthy(request, now)) {
            replicaSet(request).members.forEach(member -> requestHealthCheck(member, now));
            return null;
        }
        // Without a check, each router would send its first write after a failover to the former primary.
        boolean usable = !mustAwaitHealthCheck(primary, request, now)
                && isUsable(primary, now)
                && deduplicatesRetry(request, primary)
                && withinSlowStartBudget(primary, request.requestClass, now);
        return usable ? primary : null;
    }

    /** Whether a primary responds; if not, writes wait for an election instead of failing at a dead node. */
    private boolean isPrimaryHealthy(Request request, double now) {
        NodeState node = replicaSet(request).primary();
        return node != null && !node.isDrainingOrGone() && !isEjected(node) && !isOverdue(node, now);
    }

    // ---- choice of a reader ----

    /** Returns the node for a read, or null if it has to wait. */
    private NodeState chooseReader(Request request, double now) {
        // First the next replica in rotation that passes all gates; then, where replicas reject stale reads
        // themselves, the one that lags least; then the primary.
        ReplicaSet replicaSet = replicaSet(request);
        NodeState primary = replicaSet(request).primary();
        NodeState dedicated = longReadReplica(request, replicaSet, primary, now);
        if (dedicated != null) {
            boolean usable = !mustAwaitHealthCheck(dedicated, request, now) && isUsableFor(request, dedicated, now);
            return usable ? dedicated : null;
        }
        NodeState reader = nextInRotation(request, replicaSet, primary, now);
        if (reader != null || (awaitingHealthCheck && !settings.replicasRejectStaleReads())) {
            return reader;
        }
        if (settings.replicasRejectStaleReads()) {
            reader = leastLagging(request, replicaSet, primary, now);
        }
        return reader == null && canTakeRead(primary, replicaSet, request, now) ? primary : reader;
    }

    /** Round robin over the replicas; those of which too little is known are passed over and checked. */
    private NodeState nextInRotation(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // Eventual reads try replicas outside the tightest lag gate first, which spares the others.
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
                toCheck = preferredToCheck(toCheck, replica, request, now);
            } else if (isEligible(replica, request, now) && acceptsTurn(replica, now)) {
                replicaSet.roundRobinIndex = index;
                awaitingHealthCheck = false;
                checkPassedOver(toCheck, request, now);
                return replica;
            }
        }
        awaitingHealthCheck = awaitingHealthCheck || (toCheck != null && requestHealthCheck(toCheck, now));
        return null;
    }

    /** For eventual reads, while these are not slow there. */
    private static boolean prefersLaggingReplicas(Request request, ReplicaSet replicaSet, double now) {
        double load = replicaSet.eventualReadLoad.value(now);
        return request.consistency() == ConsistencyLevel.EVENTUAL
                && load <= Math.max(LOW_LATENCY_RATIO, replicaSet.consistentReadLoad.value(now));
    }

    /** Whether too little is known of a replica for the read; stale ones pass while checks are scarce. */
    private boolean needsHealthCheck(NodeState replica, Request request, double now) {
        return (hasPlentyOfHealthChecks() && isStale(replica, now))
                || gate.refusalFor(replica, now) == AttemptRefusal.NODE_UNCONFIRMED
                || (!satisfiesRead(replica, request, now) && !likelySatisfiesRead(replica, request, now));
    }

    /** Of two replicas that were passed over, the one to check: the first, or the first in the own zone. */
    private NodeState preferredToCheck(NodeState current, NodeState replica, Request request, double now) {
        String zone = settings.zone();
        boolean preferred = current == null || (replica.isInZone(zone) && !current.isInZone(zone));
        boolean due = now >= replica.healthCheckSentAt + HEALTH_CHECK_INTERVAL;
        boolean checkable = due && !replica.isDrainingOrGone() && mayCheck(replica, request, now);
        return preferred && checkable ? replica : current;
    }

    /** Whether the replica is not ejected, can take the read now, and passes the lag gate. */
    private boolean isEligible(NodeState replica, Request request, double now) {
        return !isEjectedForStaleness(replica, request, now)
                && isUsableFor(request, replica, now)
                && (request.consistency() != ConsistencyLevel.BOUNDED_STALENESS
                        || replica.lagSeconds <= lagGate(request.requestClass));
    }

    /** Whether the replica takes its turn; it passes some up at random, but none for good. */
    private boolean acceptsTurn(NodeState replica, double now) {
        // Less often in slow start, while it reports more load than its peers, which other routers may
        // cause, and while it needs a connection and connecting takes long.
        double averageLoad = replica.replicaSet.averageReplicaLoad();
        double byLoad = (averageLoad + 1) / (replica.reportedLoad + 1);
        double probability = Math.min(settings.capacityFraction(replica.startedAt(), now), byLoad);
        if (replica.needsConnection(settings, now)) {
            probability = Math.min(probability, Math.pow(MIN_CONNECT_TIME / connectTimeEstimate, 2));
        }
        return probability >= 1 || random.nextDouble() < probability;
    }

    /** The replica, the same for all routers, that takes rare long reads; null for other reads. */
    private NodeState longReadReplica(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // A long read may hold up replication where it runs; spread over all replicas, each of them lags.
        double serviceTime = expectedServiceTimes.get(request.requestClass);
        boolean eventual = request.consistency() == ConsistencyLevel.EVENTUAL;
        if (!eventual || serviceTime <= tightestLagGate || !isRare(request.requestClass, replicaSet)) {
            return null;
        }
        boolean mayWait = now + 2 * serviceTime < request.latencyObjectiveAt();
        return replicaSet.members.stream()
                .filter(member -> member != primary)
                .filter(member -> mayWait ? isUndisturbed(member, now) : isUsableFor(request, member, now))
                .min(Comparator.comparing(member -> member.node.id()))
                .orElse(null);
    }

    /** At most one member's share of requests: more would only form a queue at a single replica. */
    private boolean isRare(RequestClass requestClass, ReplicaSet replicaSet) {
        long all = requestCounts.values().stream().mapToLong(Long::longValue).sum();
        return requestCounts.getOrDefault(requestClass, 0L) * replicaSet.members.size() <= all;
    }

    private NodeState leastLagging(Request request, ReplicaSet replicaSet, NodeState primary, double now) {
        // A replica that never reported a position is as likely to be within the bound as not.
        double unknownLag = request.maxStalenessSeconds();
        return replicaSet.members.stream()
                .filter(member -> member != primary && !isEjectedForStaleness(member, request, now))
                .filter(member -> isUsableFor(request, member, now))
                .min(Comparator.comparingDouble(member -> member.lagOr(unknownLag)))
                .orElse(null);
    }

    /** Whether the primary is fast and has capacity beyond what it keeps for writes. */
    private boolean canTakeRead(NodeState primary, ReplicaSet replicaSet, Request request, double now) {
        boolean healthy = primary != null && primary.consecutiveFailures == 0;
        return healthy
                && replicaSet.primaryLoad.value(now) < LOW_LATENCY_RATIO
                && hasCapacity(primary, PRIMARY_READ_FRACTION, now)
                && isUsableFor(request, primary, now);
    }

    // ---- consistency ----

    /** Whether the node is known to have applied all that the read has to see; positions never decrease. */
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

    /** The last write of the request's session, as the request, peers or this router know it. */
    private double requiredSessionPosition(Request request) {
        double known = request.lastWritePosition;
        double carried = known > 0 ? known + CARRIED_POSITION_PRECISION : 0;
        boolean remembers = request.sessionId != null && !settings.requestsCarryLastWrite();
        double remembered = remembers ? sessionWrites.position(request.sessionId) : 0;
        return Math.max(carried, Math.max(replicaSet(request).forgottenWritePosition, remembered));
    }

    /** A replica that checks reads itself may be tried: what one of many routers knows of it is often old. */
    private boolean likelySatisfiesRead(NodeState replica, Request request, double now) {
        return settings.replicasRejectStaleReads()
                && request.consistency() == ConsistencyLevel.BOUNDED_STALENESS
                && replica.lagSeconds <= lagGate(request.requestClass)
                && now < replica.lagMeasuredAt + LAG_VALIDITY;
    }

    private static double lagGate(RequestClass requestClass) {
        return requestClass.maxStalenessSeconds() * LAG_GATE_FRACTION;
    }

    /** After the replica rejected a read, until it reports a position which shows that it has caught up. */
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

    /** Whether the node may get an attempt now; one that has failed gets one at a time. */
    private boolean isUsable(NodeState node, double now) {
        boolean onTrial = node.consecutiveFailures > 0 && !node.outstandingAttempts.isEmpty();
        boolean available = gate.admits(node, now) && now >= node.backoffUntil && !isEjected(node);
        return available && !onTrial && !isSilent(node, now) && hasCapacity(node, 1, now);
    }

    private boolean isUndisturbed(NodeState node, double now) {
        return node.consecutiveFailures == 0 && !node.isDrainingOrGone() && !isSilent(node, now);
    }

    private static boolean isEjected(NodeState node) {
        return node.consecutiveFailures >= EJECTION_THRESHOLD;
    }

    private static boolean isStale(NodeState node, double now) {
        return now - node.lastSeenAt > TIME_GATE;
    }

    /** Whether the node no longer responds: an attempt is overdue, and so is another or a health check. */
    private boolean isSilent(NodeState node, double now) {
        boolean checkOverdue = node.healthCheckPending && now > node.healthCheckSentAt + HEALTH_CHECK_TIMEOUT;
        return isOverdue(node, now) && (node.outstandingAttempts.size() > 1 || checkOverdue);
    }

    /** Whether the oldest attempt is overdue; time before a stall of this router does not count. */
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

    /** Schedules a health check; requests pay for them, as periodic ones cost large fleets too much. */
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
     * Whether a read may have the node checked: in slow start only with a token. Without one nothing may be sent to it
     * anyway, and the check of each of many routers opens a connection, which costs the node as much as part of a read.
     */
    private boolean mayCheck(NodeState node, Request request, double now) {
        return withinSlowStartBudget(node, request.requestClass, now);
    }

    private static boolean isHealthCheckPending(NodeState node, double now) {
        return node.healthCheckPending && now < node.healthCheckSentAt + HEALTH_CHECK_TIMEOUT;
    }

    /** Whether a request has to wait for a check of a stale or unconfirmed node, which is requested here. */
    private boolean mustAwaitHealthCheck(NodeState node, Request request, double now) {
        boolean unconfirmed = isStale(node, now) || gate.refusalFor(node, now) == AttemptRefusal.NODE_UNCONFIRMED;
        boolean checkable = unconfirmed && mayCheck(node, request, now);
        awaitingHealthCheck =
                unconfirmed && (isHealthCheckPending(node, now) || (checkable && requestHealthCheck(node, now)));
        return awaitingHealthCheck;
    }

    /** Checks a node that a read passed over: now and then, or, where it has to confirm itself, while checks last. */
    private void checkPassedOver(NodeState node, Request request, double now) {
        boolean unconfirmed = node != null && gate.refusalFor(node, now) == AttemptRefusal.NODE_UNCONFIRMED;
        if (!unconfirmed) {
            sampleHealthCheck(node, request, now);
        } else if (hasPlentyOfHealthChecks()) {
            requestHealthCheck(node, now);
        } // else the checks that are left are for requests that find no node
    }

    private boolean hasPlentyOfHealthChecks() {
        return settings.healthChecksAllowed() && healthCheckBudget > HEALTH_CHECK_BUDGET_CAP / 2;
    }

    /** Checks a node that reads pass over now and then, as no attempt would show its recovery. */
    private void sampleHealthCheck(NodeState node, Request request, double now) {
        if (node != null && random.nextDouble() < REFRESH_PROBABILITY && mayCheck(node, request, now)) {
            requestHealthCheck(node, now);
        }
    }

    // ---- capacity ----

    /** Whether that part of the limit is free; the node may still work on attempts that were abandoned. */
    private static boolean hasCapacity(NodeState node, double fraction, double now) {
        node.abandonedAttempts.removeIf(abandoned -> hasLeftQueue(abandoned, now));
        int inUse = node.outstandingAttempts.size() + node.abandonedAttempts.size();
        return inUse < Math.max(1, node.concurrencyLimit * fraction);
    }

    private static boolean hasLeftQueue(Attempt abandoned, double now) {
        double objective = abandoned.request.latencyObjectiveSeconds();
        return now > abandoned.sentAt + ABANDONED_FOR_OBJECTIVES * objective;
    }

    private ReplicaSet replicaSet(Request request) {
        return replicaSet(request.replicaSetId);
    }

    /** Rotations start at random, so that routers do not all send their first reads to the same member. */
    private ReplicaSet replicaSet(int id) {
        return replicaSets.computeIfAbsent(
                id, unknown -> new ReplicaSet(random.nextInt(1 << 16), LOAD_SMOOTHING, overall));
    }

    // ---- slow start ----

    private boolean isInSlowStart(NodeState node, double now) {
        return settings.capacityFraction(node.startedAt(), now) < 1;
    }

    /** Whether a node may get a request: always, but in slow start only within this router's budget for it. */
    private boolean withinSlowStartBudget(NodeState node, RequestClass requestClass, double now) {
        if (!isInSlowStart(node, now)) {
            return true;
        }
        SlowStartBudget budget = node.slowStartBudget;
        double requestWork = expectedServiceTimes.get(requestClass);
        if (budget.isOlderThan(node.startedAt())) {
            // The random debt spreads the first requests of many routers.
            budget.restart(random.nextDouble() * requestWork, now);
        } else {
            budget.refill(toleratedWorkRate(node, now), requestWork, now);
        }
        return budget.hasToken();
    }

    /** This router's part of the work that a node in slow start tolerates, by the work that warm nodes do for it. */
    private double toleratedWorkRate(NodeState node, double now) {
        double minWorkRate = MIN_FLEET_WORK_RATE / settings.routerCount();
        double workRate = Math.max(minWorkRate, completedWorkRate.value(now));
        return settings.capacityFraction(node.startedAt(), now) * settings.overloadFactor() * workRate;
    }

    /**
     * Whether an attempt that waited, for its connection say, has lost the right to a node in slow start: its token has
     * expired, or the node has started since. Otherwise all that waited together would arrive together.
     */
    private boolean lacksSlowStartToken(Attempt attempt, NodeState node, double now) {
        boolean startedSince = attempt.sentAt < node.startedAt();
        return isInSlowStart(node, now) && (startedSince || now > attempt.slowStartTokenExpiresAt);
    }

    /** Counts a response as work done; what was sent to hung or overloaded nodes does not count. */
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

    /** Learns from a result and decides what is next; {@code completed}: answered, or the client has gone. */
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
            rememberWrite(request, result, now);
        }
        if (!completed && outcome != AttemptOutcome.ANSWERED) {
            return route(request, now);
        }
        return Decision.end(RoutingAction.DONE, 0, cancellableAttempts(request));
    }

    /** What an attempt that opened a connection took beyond the expected service time is connect time. */
    private void updateConnectTime(Attempt attempt, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        boolean responded = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.CONNECT_FAILED;
        if (attempt.opensConnection && result.elapsedSeconds() > 0 && responded) {
            double sample = result.elapsedSeconds() - expectedServiceTimes.get(attempt.request.requestClass);
            double smoothed = smooth(connectTimeEstimate, sample, CONNECT_TIME_SMOOTHING);
            connectTimeEstimate = Math.max(MIN_CONNECT_TIME, smoothed);
        }
    }

    private void rememberWrite(Request request, AttemptResult result, double now) {
        boolean write = request.consistency() == ConsistencyLevel.WRITE;
        if (write && request.sessionId != null && !settings.requestsCarryLastWrite()) {
            double position = result.appliedPosition() > 0 ? result.appliedPosition() : now;
            sessionWrites.record(request.sessionId, replicaSet(request), position);
        }
    }

    /** Takes over what a node said of itself with the result of an attempt or a health check. */
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

    /** Takes over the role that a response shows, and the older one in the load report. */
    private static void updateRole(NodeState node, AttemptResult result, double now) {
        // A load report is as old as its position, though a replica's position may be older. A former
        // primary that is back, its position unchanged, would otherwise still be taken for the primary.
        if (result.role() == Role.PRIMARY) {
            node.claimPrimary(now - result.elapsedSeconds() / 2);
        } else if (result.role() == Role.REPLICA) {
            node.replicaClaimedAt = now;
        }
        if (result.reportedRole() == Role.PRIMARY) {
            node.claimPrimary(result.reportedPosition());
        } else if (result.reportedRole() == Role.REPLICA) {
            node.claimReplica(Math.max(result.reportedPosition(), now - MAX_REPORT_AGE));
        }
    }

    /** Lag counts as of the last report: a replica that was not asked for a while has not fallen behind. */
    private void updateLag(NodeState node, AttemptResult result, double now) {
        if (result.appliedPosition() > 0 || result.reportedPosition() > 0) {
            double reportedAt = result.appliedPosition() > 0 ? now : now - TYPICAL_REPORT_AGE;
            // The log has gone on since the primary was last heard.
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
            case ERROR -> backOff(node, 0, now);
            case CONNECT_FAILED -> backOff(node, 1, now);
            case RESET -> {
                // Connections break for other reasons than dead nodes, and those accept no new connections.
                if (node.lastAttemptResponseAt < attempt.sentAt) {
                    backOff(node, 0, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                // A client's shorter wait says nothing of the node.
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
        // Queues are first in, first out: what was sent before this attempt has left the queue too.
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

    /** Leaves the node alone, twice as long after each failure since its last answer. */
    private void backOff(NodeState node, int failures, double now) {
        // Without health checks only another attempt can show a recovery, so that failures do not eject.
        int maxFailures = settings.healthChecksAllowed() ? Integer.MAX_VALUE : EJECTION_THRESHOLD - 1;
        node.consecutiveFailures = Math.min(node.consecutiveFailures + failures, maxFailures);
        node.backoffUntil = now + Math.min(MAX_BACKOFF, MIN_BACKOFF * Math.pow(2, node.backoffCount++));
    }

    /** Keeps responses within a third of the objective: longer queues make all requests late for long. */
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

    /** Returns when to ask again about all requests that are not completed, and what else is due now. */
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

    /** Takes over the endpoint list: all of it if it is complete, otherwise what changed. */
    public void onEndpointList(List<Endpoint> endpoints, boolean complete, double now) {
        if (complete) {
            nodeStates.values().forEach(node -> node.endpoint = endpointAfterRemoval(node));
        }
        for (Endpoint endpoint : endpoints) {
            NodeState node = nodeStates.computeIfAbsent(endpoint.node(), this::addNode);
            node.endpoint = endpoint.state() == Endpoint.State.GONE ? endpointAfterRemoval(node) : endpoint;
        }
        nodeStates.values().removeIf(node -> node.isUnused() && node.replicaSet.members.remove(node));
        // The first list is a cached one, from before any poll; a later one shows that the watch works.
        nextPollAt = nextPollAt > 0 ? Double.POSITIVE_INFINITY : nextPollAt;
        endpointListLate = false;
    }

    private NodeState addNode(Node node) {
        double limit = Math.max(minConcurrencyLimit, INITIAL_FLEET_CONCURRENCY / settings.routerCount());
        var state = new NodeState(node, replicaSet(node.replicaSetId()), limit, settings.overloadWindowSeconds());
        state.replicaSet.members.add(state);
        return state;
    }

    /** Where being gone from the list is not binding, it counts only for a node that was draining. */
    private Endpoint endpointAfterRemoval(NodeState node) {
        return settings.goneIsBinding() || node.isDrainingOrGone() ? null : node.endpoint;
    }

    /** A poll of the endpoint list failed or its watch broke: polls again, after a random delay. */
    public void onEndpointListFailed(double now) {
        if (settings.endpointListMustBePolled()) {
            nextPollAt = now + MIN_POLL_RETRY_DELAY + random.nextDouble();
        }
    }

    /** A watch did not answer in time: polls at once, but only once until a list arrives. */
    public void onEndpointListLate(double now) {
        nextPollAt = endpointListLate ? nextPollAt : now;
        endpointListLate = true;
    }

    /** Draws the time that a watch may stay open, so that routers do not renew their watches all at once. */
    public double nextWatchTimeoutSeconds() {
        return MIN_WATCH_TIMEOUT + (MAX_WATCH_TIMEOUT - MIN_WATCH_TIMEOUT) * random.nextDouble();
    }

    // ---- health check results and peers ----

    /** Takes over the result of a health check. Success leaves one failure: hung nodes answer checks too. */
    public void onHealthCheck(Node node, AttemptResult result, double now) {
        NodeState state = nodeStates.get(node);
        if (state == null) {
            return;
        }
        state.healthCheckPending = false;
        state.onHealthCheckResult(now - result.elapsedSeconds(), result.outcome(), now);
        if (result.outcome() == AttemptOutcome.ANSWERED) {
            updateNodeState(state, result, now);
            state.consecutiveFailures = Math.min(state.consecutiveFailures, 1);
        } else if (result.outcome() != AttemptOutcome.NOT_SENT) {
            backOff(state, 1, now);
        }
    }

    /** Takes over what peers observed; failures count as one, as their way to the node may be broken. */
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

    /** Whether the node is listed, or has an attempt outstanding. */
    public boolean isKnown(Node node) {
        return nodeStates.containsKey(node);
    }

    /** Describes the nodes for the log: counts, and the first that are unusable or have attempts. */
    public String describeNodes(double now) {
        var summary = new NodeSummary(MAX_DESCRIBED_NODES);
        nodeStates.values().forEach(node -> summary.add(node, isStale(node, now), isUsable(node, now), now));
        return summary.text();
    }
}
