package clayhook;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * All decisions of one router. A front asks {@link #route} for each command taken, {@link #onAttemptFinished} for each
 * outcome and {@link #tick} once it has told all it heard; after the pause it asks {@link #route} for every command in
 * hand. News comes by {@link #onEndpointList}, {@link #onEndpointListFailed} and {@link #onHealthCheck}.
 */
public final class RoutingPolicy {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** What this router knows of one member of a group; kept while the node list or a dispatch has it. */
    private static final class NodeState {
        final Node node;
        Endpoint endpoint;
        double appliedPosition;
        /** How far it was behind its primary when it last told a position. */
        double lagSeconds, lagMeasuredAt = NEVER;
        /** The last answer or probe, and the last answer to a dispatch. */
        double lastSeenAt = NEVER, lastAttemptResponseAt = NEVER;
        /** The times of the newest evidence that it is primary, and that it is not. */
        double primaryClaimedAt = NEVER, replicaClaimedAt = NEVER;
        /** Dispatches out, oldest first; each leaves with its outcome. */
        final ArrayDeque<Attempt> outstandingAttempts = new ArrayDeque<>();
        /** Dispatches abandoned that it may still work on; emptied by answers to later ones and by age. */
        final ArrayDeque<Attempt> abandonedAttempts = new ArrayDeque<>();
        /** How many dispatches it may have, and its smoothed time of answer over the response target. */
        double concurrencyLimit, latencyRatio;

        double reportedLoad; // commands that it last reported to hold
        /** Connections that should stand to it, as long as they are used. */
        int expectedConnections;

        double lastUsedAt = NEVER;
        /** Failures since the last answer, or probe but for one. */
        int consecutiveFailures;

        double readRejectedAt = NEVER;
        /** The last probe, and whether it is still out. */
        double healthCheckSentAt = NEVER;

        boolean healthCheckPending;
        /** It is left alone until then, the longer the more it was full or failed since its last answer. */
        double backoffUntil = NEVER;

        int backoffCount;
        /** What it may still be sent while it is cold. */
        double slowStartBudget, slowStartBudgetAt = NEVER;

        NodeState(Node node, double window) {
            this.node = node;
            this.concurrencyLimit = window;
        }

        /** Rule 3: it drains or is gone, and gets nothing new; the grace is left unused. */
        boolean isDrainingOrGone() {
            return endpoint == null || endpoint.state() == Endpoint.State.DRAINING;
        }

        /** By the newer evidence; the list's late word counts only until the node itself has spoken. */
        boolean claimsPrimary() {
            boolean unheard = primaryClaimedAt == NEVER && replicaClaimedAt == NEVER;
            return unheard ? endpoint != null && endpoint.primary() : primaryClaimedAt > replicaClaimedAt;
        }
    }

    /** A group of nodes that hold the same data. */
    private static final class ReplicaSet {
        final List<NodeState> members = new ArrayList<>();
        /** Starts anywhere. Guards against all routers sending their first reads to the same member. */
        int roundRobinIndex;
        /** On its replicas, of reads without a bound and of others, as they go elsewhere; on its primary. */
        final LoadEstimate eventualReadLoad, consistentReadLoad, primaryLoad;
        /** The newest position told by its primary. */
        double newestPrimaryPosition;
        /** The newest write forgotten; every session read must cover it. */
        double forgottenWritePosition;

        ReplicaSet(int turn, ReplicaSet all) {
            this.roundRobinIndex = turn;
            eventualReadLoad = new LoadEstimate(all == null ? null : all.eventualReadLoad);
            consistentReadLoad = new LoadEstimate(all == null ? null : all.consistentReadLoad);
            primaryLoad = new LoadEstimate(all == null ? null : all.primaryLoad);
        }

        LoadEstimate readLoad(RequestClass group) {
            return group.consistency() == ConsistencyLevel.EVENTUAL ? eventualReadLoad : consistentReadLoad;
        }
    }

    /** Recent times of answers over the response target; late ones and full nodes count as one. */
    private static final class LoadEstimate {
        /** The same of all node groups, into which it fades while nothing comes; null for that itself. */
        final LoadEstimate overall;

        double lastValue, lastUpdatedAt = NEVER;

        LoadEstimate(LoadEstimate overall) {
            this.overall = overall;
        }

        double value(double now) {
            double rest = overall == null ? lastValue : overall.lastValue;
            return rest + (lastValue - rest) * Math.exp((lastUpdatedAt - now) / LOAD_DECAY_SECONDS);
        }

        void addSample(double sample, double now) {
            double weight = Math.max(0.1, Math.min(0.25, 1 - Math.exp((lastUpdatedAt - now) / LOAD_DECAY_SECONDS)));
            lastValue = value(now) + weight * (Math.min(1, sample) - value(now));
            lastUpdatedAt = now;
            if (overall != null) {
                overall.addSample(sample, now);
            }
        }
    }

    /** An outcome weighs a tenth where many come, more the longer none has come; a burst lasts seconds. */
    private static final double LOAD_DECAY_SECONDS = 3;

    private record LastWrite(ReplicaSet replicaSet, double position) {}

    private final RoutingSettings settings;
    private final Random random;
    private final Map<Node, NodeState> nodeStates = new LinkedHashMap<>();
    private final Map<Integer, ReplicaSet> replicaSets = new LinkedHashMap<>();
    /** The usual time of an answer, a row a command group. */
    private final Map<RequestClass, Double> expectedServiceTimes = new LinkedHashMap<>();
    /** Commands so far, a row a command group. */
    private final Map<RequestClass, Long> requestCounts = new LinkedHashMap<>();
    /** The last write of each session, where this router must remember; the oldest go when they are many. */
    private final Map<String, LastWrite> lastWrites = new LinkedHashMap<>();

    private final double tightestLagGate, minConcurrencyLimit, retryBudgetCap;
    private double retryBudget;
    /** Members to be probed, until the next pause; and the probes that may still be sent. */
    private final List<Node> healthChecksToSend = new ArrayList<>();

    private double healthCheckBudget = HEALTH_CHECK_BUDGET_CAP;
    /** What a dispatch takes longer when it opens a connection. */
    private double connectTimeEstimate = MIN_CONNECT_TIME;
    /** The work that this router had answered a second, and when that was reckoned. */
    private double completedWorkRate, completedWorkRateAt;
    /** The list is late since it was told last. */
    private boolean endpointListLate;
    /** When it should be asked again, and since when it has been without standing still itself. */
    private double nextTickAt = Double.POSITIVE_INFINITY, lastStallEndedAt, nextPollAt;
    /** Stands for all groups: it has no members, but the pressures that theirs fade into. */
    private final ReplicaSet overall = new ReplicaSet(0, null);

    private int outstandingAttemptCount;
    /** Nodes that bear work, and when they were counted. */
    private long servingNodeCount;

    private double servingNodesCountedAt = NEVER;
    /** A command is held; and the one asked about waits for a look. */
    private boolean requestsWaiting, awaitingHealthCheck;

    public RoutingPolicy(RoutingSettings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        nextPollAt = settings.endpointListMustBePolled() ? 0 : Double.POSITIVE_INFINITY;
        minConcurrencyLimit = Math.max(1, MIN_FLEET_CONCURRENCY / settings.routerCount());
        retryBudgetCap = Math.max(1, RETRY_BUDGET_FLEET_CAP / settings.routerCount());
        retryBudget = retryBudgetCap;
        tightestLagGate = settings.requestClasses().stream()
                .filter(g -> g.consistency() == ConsistencyLevel.BOUNDED_STALENESS)
                .mapToDouble(g -> g.maxStalenessSeconds() * LAG_GATE_FRACTION)
                .min()
                .orElse(TIME_GATE);
        settings.requestClasses()
                .forEach(group ->
                        expectedServiceTimes.put(group, group.latencyObjectiveSeconds() / 4)); // until told better
    }

    // ---- where to send a command ----

    /** Where to send this command now: a dispatch, not yet, or never. */
    public Decision route(Request cmd, double now) {
        // Guards against taking this router's own stand for the silence of every node.
        lastStallEndedAt = now > nextTickAt + STALL_THRESHOLD ? now : lastStallEndedAt;
        boolean sent = !cmd.outstandingAttempts().isEmpty();
        boolean first = now == cmd.arrivedAt && cmd.attempts.isEmpty();
        healthCheckBudget = first
                ? Math.min(HEALTH_CHECK_BUDGET_CAP, healthCheckBudget + HEALTH_CHECKS_PER_REQUEST)
                : healthCheckBudget;
        requestCounts.merge(cmd.requestClass, first ? 1L : 0, Long::sum);
        // Guards against work for answers that earn nothing: what can earn nothing is given up at once.
        if (cannotFinishInTime(cmd, now, sent) || first && shouldShed(cmd, now)) {
            return rejectOrFail(cmd);
        } else if (sent && !isHedgeDue(cmd, now)) {
            return keepWaiting(false);
        }
        boolean extra = cmd.firstPossiblyExecutedAttempt() != null;
        if (cmd.attempts.size() >= settings.maxAttempts() || extra && (retryBudget < 1 || !mayRetry(cmd, now))) {
            return sent ? keepWaiting(false) : rejectOrFail(cmd);
        }
        awaitingHealthCheck = false;
        NodeState row = cmd.requestClass.requiresPrimary()
                ? choosePrimary(cmd, now)
                : chooseReader(cmd, replicaSet(cmd.replicaSetId), now);
        if (row == null) {
            return sent || awaitingHealthCheck || !exceedsHoldTime(cmd, now) ? keepWaiting(!sent) : rejectOrFail(cmd);
        }
        retryBudget =
                Math.min(retryBudgetCap, retryBudget + (extra ? -1 : cmd.attempts.isEmpty() ? RETRY_BUDGET_RATIO : 0));
        return send(cmd, row, now);
    }

    /** What trouble may add to the work: a fifth of the commands, and for all routers this many at once. */
    private static final double RETRY_BUDGET_RATIO = 0.2, RETRY_BUDGET_FLEET_CAP = 90;

    /** Probes a command brings: most reads find a fresh row; the store is two or three looks at a group. */
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.45, HEALTH_CHECK_BUDGET_CAP = 15;

    /** Guards against probing by routers times nodes: members are looked at when a command needs it. */
    private boolean requestHealthCheck(NodeState row, double now) {
        if (!settings.healthChecksAllowed()
                || row.isDrainingOrGone()
                || healthCheckBudget < 1
                || now < row.healthCheckSentAt + HEALTH_CHECK_INTERVAL) {
            return false;
        }
        healthCheckBudget--;
        row.healthCheckSentAt = now;
        row.healthCheckPending = true;
        healthChecksToSend.add(row.node);
        return true;
    }

    private static boolean isHealthCheckPending(NodeState row, double now) {
        return row.healthCheckPending && now < row.healthCheckSentAt + HEALTH_CHECK_TIMEOUT;
    }

    /** What a stale row is about to be sent waits for a look at it, where that can be had. */
    private boolean mustAwaitHealthCheck(NodeState row, double now) {
        awaitingHealthCheck = isStale(row, now) && (isHealthCheckPending(row, now) || requestHealthCheck(row, now));
        return awaitingHealthCheck;
    }

    /** A few round trips; and about the time in which reports are made anew. */
    private static final double HEALTH_CHECK_TIMEOUT = 0.02, HEALTH_CHECK_INTERVAL = 0.15;

    /** Guards against a gate that stays empty because nothing is sent to those that it dropped. */
    private void sampleHealthCheck(NodeState row, double now) {
        if (row != null && random.nextDouble() < REFRESH_PROBABILITY) {
            requestHealthCheck(row, now);
        }
    }

    /** One read in ten is often enough to keep a replica's row, or to find that it is back. */
    private static final double REFRESH_PROBABILITY = 0.1;

    private Decision keepWaiting(boolean held) {
        requestsWaiting |= held;
        return Decision.waitForNextTick();
    }

    private Decision send(Request cmd, NodeState row, double now) {
        row.slowStartBudget -= expectedServiceTimes.get(cmd.requestClass);
        boolean connects = needsConnection(row, now);
        row.expectedConnections = connects
                ? row.outstandingAttempts.size() / settings.connectionConcurrency() + 1
                : row.expectedConnections;
        row.lastUsedAt = now;
        Attempt dispatch = new Attempt(cmd, row.node, connects, now, latestUsefulTime(cmd));
        row.outstandingAttempts.add(dispatch);
        outstandingAttemptCount++;
        return Decision.send(dispatch);
    }

    /** Guards against queues that no window holds down, since each of many routers has but a dispatch out. */
    private boolean shouldShed(Request cmd, double now) {
        double part = (replicaSet(cmd.replicaSetId).readLoad(cmd.requestClass).value(now) - SHEDDING_STARTS_AT)
                / (SHEDDING_FULL_AT - SHEDDING_STARTS_AT);
        return !cmd.requestClass.requiresPrimary() && random.nextDouble() < Math.min(MAX_SHED_PROBABILITY, part);
    }

    /** Above what work itself takes of the target, below where most answers come late; a few always test. */
    private static final double SHEDDING_STARTS_AT = 0.4, SHEDDING_FULL_AT = 0.65, MAX_SHED_PROBABILITY = 0.9;

    /** Guards against turning away clients that wait for less than a usual answer takes: half come sooner. */
    private boolean cannotFinishInTime(Request cmd, double now, boolean sent) {
        double pressure =
                replicaSet(cmd.replicaSetId).readLoad(cmd.requestClass).value(now);
        double part = Math.max(MIN_SERVICE_TIME_FRACTION, Math.min(1, pressure / SHEDDING_STARTS_AT));
        double least =
                Math.min(expectedServiceTimes.get(cmd.requestClass), cmd.requestClass.latencyObjectiveSeconds() / 2)
                        * part;
        return now + (sent ? 0 : least) >= latestUsefulTime(cmd);
    }

    /** Of the usual time: a quarter of answers come by then; where work presses, the whole is asked for. */
    private static final double MIN_SERVICE_TIME_FRACTION = 0.25;

    /** Guards against dispatches held into their limit and lines of late writes; they wait for a primary. */
    private boolean exceedsHoldTime(Request cmd, double now) {
        boolean write = cmd.requestClass.requiresPrimary();
        double target = Math.min(cmd.requestClass.latencyObjectiveSeconds(), cmd.deadline - cmd.arrivedAt);
        boolean election = write && !isPrimaryHealthy(cmd.replicaSetId, now);
        double hold = election
                ? ELECTION_HOLD_FRACTION * (cmd.deadline - cmd.arrivedAt)
                : (write ? WRITE_HOLD_FRACTION : READ_HOLD_FRACTION) * target;
        return (election ? cmd.firstPossiblyExecutedAttempt() == null : cmd.attempts.isEmpty())
                && now > cmd.arrivedAt + hold;
    }

    /** A few looks for room: a client that is asked back at once does better than one that is held. */
    private static final double READ_HOLD_FRACTION = 0.08;
    /** A line at the one node that takes writes is worth more; without a primary there may be another try. */
    private static final double WRITE_HOLD_FRACTION = 0.5, ELECTION_HOLD_FRACTION = 0.45;

    private static double latestUsefulTime(Request cmd) {
        double last =
                cmd.deadline - Math.min(MAX_DEADLINE_MARGIN, DEADLINE_MARGIN_FRACTION * (cmd.deadline - cmd.arrivedAt));
        return cmd.requestClass.lateWeightFraction() > 0
                ? last
                : Math.min(last, cmd.arrivedAt + cmd.requestClass.latencyObjectiveSeconds());
    }

    /** Guards against a last answer too late where this router stood still: a few of its usual pauses. */
    private static final double MAX_DEADLINE_MARGIN = 0.03, DEADLINE_MARGIN_FRACTION = 0.1;

    /** The final answer to a command that this router gives up: a throttle wherever the rules allow it. */
    public Decision rejectOrFail(Request cmd) {
        boolean harmless = cmd.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || cmd.firstPossiblyExecutedAttempt() == null
                || cmd.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && cmd.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        // Soon enough for an answer within the target, spread so that clients don't return together.
        double advice = Math.min(
                settings.maxRetryAfterSeconds(),
                cmd.requestClass.latencyObjectiveSeconds() * (0.1 + 0.2 * random.nextDouble()));
        return new Decision(
                harmless ? RoutingAction.REJECT : RoutingAction.FAIL,
                null,
                advice,
                settings.cancellationAllowed() ? cmd.outstandingAttempts() : List.of());
    }

    /** Rule 2: a command that may have run goes out again only as its effect allows. */
    private boolean mayRetry(Request cmd, double now) {
        return cmd.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || cmd.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && now
                                < cmd.firstPossiblyExecutedAttempt().sentAt
                                        + cmd.requestClass.deduplicationWindowSeconds();
    }

    /** Rule 2: repeats of a keyed command stay among the nodes that drop them; all here are of its group. */
    private static boolean deduplicatesRetry(Request cmd, NodeState row) {
        Attempt first = cmd.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                ? cmd.firstPossiblyExecutedAttempt()
                : null;
        return first == null
                || cmd.requestClass.deduplicationScope() != DeduplicationScope.ZONE
                || first.node.zone().equals(row.node.zone());
    }

    /** For a silent node or a replaced primary only: copies for lateness cost more work than they saved. */
    private boolean isHedgeDue(Request cmd, double now) {
        Attempt last = cmd.attempts.get(cmd.attempts.size() - 1);
        if (!settings.hedgingAllowed()
                || cmd.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || last.outcome != null) {
            return false;
        }
        NodeState row = nodeStates.get(last.node);
        if (cmd.requestClass.requiresPrimary()) {
            return row != primaryOf(cmd.replicaSetId);
        }
        if (isOverdue(row, now)) {
            requestHealthCheck(row, now);
        }
        return isSilent(row, now) || row.consecutiveFailures >= EJECTION_THRESHOLD;
    }

    /** Whether a dispatch that waited for its connection may still go out; if not, it was never sent. */
    public boolean mayStillSend(Attempt dispatch, double now) {
        Request cmd = dispatch.request;
        NodeState row = nodeStates.get(dispatch.node);
        boolean checked =
                settings.replicasRejectStaleReads() || cmd.requestClass.requiresPrimary() || row.claimsPrimary();
        return !cmd.completed
                && now < dispatch.timeoutAt
                && !row.isDrainingOrGone()
                && (cmd.firstPossiblyExecutedAttempt() == dispatch || mayRetry(cmd, now))
                && (checked || satisfiesRead(row, replicaSet(cmd.replicaSetId), cmd, now));
    }

    // ---- choosing a member ----

    private NodeState choosePrimary(Request cmd, double now) {
        NodeState row = primaryOf(cmd.replicaSetId);
        if (!isPrimaryHealthy(cmd.replicaSetId, now)) {
            replicaSet(cmd.replicaSetId).members.forEach(member -> requestHealthCheck(member, now));
            return null;
        }
        // Guards against sending the first write of every router to a primary that is one no more.
        return !mustAwaitHealthCheck(row, now)
                        && isUsable(row, now)
                        && deduplicatesRetry(cmd, row)
                        && withinSlowStartBudget(row, cmd.requestClass, now)
                ? row
                : null;
    }

    /** Guards against throwing writes at a dead or hung primary while its successor is elected. */
    private boolean isPrimaryHealthy(int group, double now) {
        NodeState row = primaryOf(group);
        return row != null
                && !row.isDrainingOrGone()
                && row.consecutiveFailures < EJECTION_THRESHOLD
                && !isOverdue(row, now);
    }

    private NodeState chooseReader(Request cmd, ReplicaSet team, double now) {
        NodeState primary = primaryOf(cmd.replicaSetId);
        if (cmd.requestClass.consistency() == ConsistencyLevel.EVENTUAL
                && expectedServiceTimes.get(cmd.requestClass) > tightestLagGate
                && isRare(cmd.requestClass, team)) {
            NodeState keeper = longReadReplica(team, primary, cmd, now);
            if (keeper != null) {
                return !mustAwaitHealthCheck(keeper, now) && isUsableFor(cmd, keeper, now) ? keeper : null;
            }
        }
        int size = team.members.size();
        NodeState unseen = null;
        // Reads without a bound go round those outside the gate first, while they bear it: it spares others.
        boolean spares = cmd.requestClass.consistency() == ConsistencyLevel.EVENTUAL
                && team.eventualReadLoad.value(now) <= Math.max(LOW_LATENCY_RATIO, team.consistentReadLoad.value(now));
        for (int i = spares ? 1 : size + 1; i <= 2 * size; i++) {
            int at = (team.roundRobinIndex + i) % size;
            NodeState row = team.members.get(at);
            if (row == primary || i <= size && row.lagSeconds <= tightestLagGate) {
                continue;
            }
            if (row.consecutiveFailures >= EJECTION_THRESHOLD) {
                sampleHealthCheck(row, now);
            } else if (settings.healthChecksAllowed()
                            && isStale(row, now)
                            && healthCheckBudget > HEALTH_CHECK_BUDGET_CAP / 2
                    || !satisfiesRead(row, team, cmd, now) && !likelySatisfiesRead(row, cmd, now)) {
                awaitingHealthCheck |= isHealthCheckPending(row, now);
                boolean better = unseen == null || isInOwnZone(row) && !isInOwnZone(unseen);
                unseen = better && !row.isDrainingOrGone() && now >= row.healthCheckSentAt + HEALTH_CHECK_INTERVAL
                        ? row
                        : unseen;
            } else if (isEligible(row, cmd, now) && acceptsTurn(row, now)) {
                team.roundRobinIndex = at;
                awaitingHealthCheck = false;
                sampleHealthCheck(unseen, now);
                return row;
            }
        }
        awaitingHealthCheck = awaitingHealthCheck || unseen != null && requestHealthCheck(unseen, now);
        if (awaitingHealthCheck && !settings.replicasRejectStaleReads()) {
            return null;
        }
        NodeState ahead = team.members.stream()
                .filter(row -> settings.replicasRejectStaleReads()
                        && row != primary
                        && !isEjectedForStaleness(row, cmd, now)
                        && isUsableFor(cmd, row, now))
                .min(Comparator.comparingDouble(row -> estimatedLag(row, cmd)))
                .orElse(null);
        if (ahead != null) {
            return ahead;
        }
        // The primary keeps half its room for what it alone can take, and all of it once it is slow.
        boolean spare =
                primary != null && primary.consecutiveFailures == 0 && team.primaryLoad.value(now) < LOW_LATENCY_RATIO;
        return spare && hasCapacity(primary, 0.5, now) && isUsableFor(cmd, primary, now) ? primary : null;
    }

    /** Where it was heard so seldom that none is known to cover: a replica that checks reads may be tried. */
    private boolean likelySatisfiesRead(NodeState row, Request cmd, double now) {
        return settings.replicasRejectStaleReads()
                && cmd.requestClass.consistency() == ConsistencyLevel.BOUNDED_STALENESS
                && row.lagSeconds <= cmd.requestClass.maxStalenessSeconds() * LAG_GATE_FRACTION
                && now < row.lagMeasuredAt + LAG_VALIDITY;
    }

    /** Lags come and go with the load of nodes, over seconds. */
    private static final double LAG_VALIDITY = 5;

    /** As last told; one that has told nothing is as likely in time as not. */
    private static double estimatedLag(NodeState row, Request cmd) {
        return row.appliedPosition > 0 ? row.lagSeconds : cmd.requestClass.maxStalenessSeconds();
    }

    /**
     * One replica bears them all, for every router. Guards against sending it what is no exception: work or a line at
     * crowded nodes made it long: such reads would all go to one node, whose line then confirms it.
     */
    private boolean isRare(RequestClass group, ReplicaSet team) {
        long all = requestCounts.values().stream().mapToLong(Long::longValue).sum();
        return requestCounts.get(group) * team.members.size() <= all;
    }

    /** Guards against long reads that stop the log on all replicas in turn: they keep to one everywhere. */
    private NodeState longReadReplica(ReplicaSet team, NodeState primary, Request cmd, double now) {
        boolean waits = now + 2 * expectedServiceTimes.get(cmd.requestClass)
                < cmd.arrivedAt + cmd.requestClass.latencyObjectiveSeconds();
        return team.members.stream()
                .filter(row -> row != primary
                        && (!waits
                                ? isUsableFor(cmd, row, now)
                                : row.consecutiveFailures == 0 && !row.isDrainingOrGone() && !isSilent(row, now)))
                .min(Comparator.comparing(row -> row.node.id()))
                .orElse(null);
    }

    /** The lag gate, the bench and the health of a replica; the time gate stands where looks are asked. */
    private boolean isEligible(NodeState row, Request cmd, double now) {
        return !isEjectedForStaleness(row, cmd, now)
                && isUsableFor(cmd, row, now)
                && (cmd.requestClass.consistency() != ConsistencyLevel.BOUNDED_STALENESS
                        || row.lagSeconds <= cmd.requestClass.maxStalenessSeconds() * LAG_GATE_FRACTION);
    }

    /** Guards against one blip costing ten seconds: a position told since, within the gate, ends it. */
    private boolean isEjectedForStaleness(NodeState row, Request cmd, double now) {
        return now < row.readRejectedAt + READ_REJECTION_EJECTION_TIME
                && cmd.requestClass.consistency() != ConsistencyLevel.EVENTUAL
                && row.appliedPosition
                        < row.readRejectedAt - cmd.requestClass.maxStalenessSeconds() * LAG_GATE_FRACTION;
    }

    private boolean isInOwnZone(NodeState row) {
        return row.node.zone().equals(settings.zone());
    }

    private static boolean isStale(NodeState row, double now) {
        return now - row.lastSeenAt > TIME_GATE;
    }

    /** One second, as the design starts; its half of the bound did a little worse everywhere than this. */
    private static final double TIME_GATE = 1, LAG_GATE_FRACTION = 0.75;

    /** Rule 5: a position already told reaches what the read must see. Positions stay valid once told. */
    private boolean satisfiesRead(NodeState row, ReplicaSet team, Request cmd, double now) {
        return switch (cmd.requestClass.consistency()) {
            case EVENTUAL -> true;
            case BOUNDED_STALENESS -> row.appliedPosition >= now - cmd.requestClass.maxStalenessSeconds();
            case SESSION -> row.appliedPosition >= requiredSessionPosition(cmd, team);
            case WRITE, STRONG -> false;
        };
    }

    private double requiredSessionPosition(Request cmd, ReplicaSet team) {
        // The mark is told to a part of a millisecond, by the client or by other routers.
        double carried = cmd.lastWritePosition > 0 ? cmd.lastWritePosition + 0.001 : 0;
        LastWrite last =
                cmd.sessionId == null || settings.requestsCarryLastWrite() ? null : lastWrites.get(cmd.sessionId);
        return Math.max(carried, Math.max(team.forgottenWritePosition, last == null ? 0 : last.position));
    }

    private boolean isUsableFor(Request cmd, NodeState row, double now) {
        return !cmd.wasAttemptedOn(row.node)
                && isUsable(row, now)
                && deduplicatesRetry(cmd, row)
                && withinSlowStartBudget(row, cmd.requestClass, now);
    }

    /** A node with a failure against it gets one dispatch at a time. */
    private boolean isUsable(NodeState row, double now) {
        return !row.isDrainingOrGone()
                && now >= row.backoffUntil
                && row.consecutiveFailures < EJECTION_THRESHOLD
                && (row.consecutiveFailures == 0 || row.outstandingAttempts.isEmpty())
                && !isSilent(row, now)
                && hasCapacity(row, 1, now);
    }

    /** One failure can be chance; two in a row are a state. */
    private static final int EJECTION_THRESHOLD = 2;

    /** Guards against filling a node again whose work goes on after the time limit or a recall. */
    private static boolean hasCapacity(NodeState row, double part, double now) {
        // Windows keep queues well under one response target, so after two the dispatch has left its queue.
        row.abandonedAttempts.removeIf(d -> now > d.sentAt + 2 * d.request.requestClass.latencyObjectiveSeconds());
        return row.outstandingAttempts.size() + row.abandonedAttempts.size() < Math.max(1, row.concurrencyLimit * part);
    }

    /** Guards against second copies of what is merely slow: one dispatch overdue is no silence by itself. */
    private boolean isSilent(NodeState row, double now) {
        return isOverdue(row, now)
                && (row.outstandingAttempts.size() > 1
                        || row.healthCheckPending && now > row.healthCheckSentAt + HEALTH_CHECK_TIMEOUT);
    }

    private boolean isOverdue(NodeState row, double now) {
        Attempt oldest = row.outstandingAttempts.peek();
        return oldest != null
                && now - Math.max(lastStallEndedAt, Math.max(row.lastAttemptResponseAt, oldest.sentAt))
                        > silenceTimeout(oldest.request.requestClass);
    }

    private double silenceTimeout(RequestClass group) {
        return Math.max(MIN_SILENCE_TIMEOUT, SILENCE_FACTOR * expectedServiceTimes.get(group));
    }
    /** Above ordinary pauses, below the shortest targets; the 95th percentile of usual spreads of work. */
    private static final double MIN_SILENCE_TIMEOUT = 0.2, SILENCE_FACTOR = 3;

    /** A part of its turns for a node that is cold, crowded, or would have to be connected to. */
    private boolean acceptsTurn(NodeState row, double now) {
        // Guards against a node crowded by other routers or slow for another cause, if it reports that.
        double usualLoad = replicaSet(row.node.replicaSetId()).members.stream()
                .filter(r -> !r.claimsPrimary())
                .mapToDouble(r -> r.reportedLoad)
                .average()
                .orElse(0);
        double part = Math.min(capacityFraction(row, now), (usualLoad + 1) / (row.reportedLoad + 1));
        // Guards against opening connections all over while that is slow and takes more than the work itself.
        part = needsConnection(row, now) ? Math.min(part, Math.pow(MIN_CONNECT_TIME / connectTimeEstimate, 2)) : part;
        return part >= 1 || random.nextDouble() < part;
    }

    /** Seconds: a few round trips and some work. */
    private static final double MIN_CONNECT_TIME = 0.02;

    private boolean needsConnection(NodeState row, double now) {
        return row.outstandingAttempts.size() >= row.expectedConnections * settings.connectionConcurrency()
                || now - row.lastUsedAt > settings.connectionIdleTimeoutSeconds();
    }

    /** The part of its capacity that a node has at the least, by the time since its listed start. */
    private double capacityFraction(NodeState row, double now) {
        double since = row.endpoint == null ? 0 : row.endpoint.startedAt();
        boolean warm = since <= 0 || settings.slowStartSeconds() <= 0;
        double grown = Math.max(0, Math.min(1, (now - since) / settings.slowStartSeconds()));
        return warm ? 1 : settings.initialCapacityFraction() + (1 - settings.initialCapacityFraction()) * grown;
    }

    /** Rule 4: work for a cold node stays within this router's share of what would push it over. */
    private boolean withinSlowStartBudget(NodeState row, RequestClass group, double now) {
        if (capacityFraction(row, now) >= 1) {
            return true;
        }
        double share = Math.max(MIN_FLEET_WORK_RATE / settings.routerCount(), completedWorkRate(now));
        double rate = capacityFraction(row, now) * settings.overloadFactor() * SLOW_START_SAFETY_FACTOR * share;
        // What was sent before its start is past. Guards against the first commands of many routers coming at
        // once: a share of less than one command starts at any place in its turn.
        row.slowStartBudget = row.slowStartBudgetAt < row.endpoint.startedAt()
                ? -random.nextDouble() * expectedServiceTimes.get(group)
                : Math.min(0, row.slowStartBudget + rate * (now - row.slowStartBudgetAt));
        row.slowStartBudgetAt = now;
        return row.slowStartBudget >= 0;
    }

    /** Of what warm nodes bear; and work a second, part of a core, that any does if no answer came lately. */
    private static final double SLOW_START_SAFETY_FACTOR = 0.75, MIN_FLEET_WORK_RATE = 0.15;

    /** Counted ten times a second. Guards against going through all nodes for each answer. */
    private long servingNodeCount(double now) {
        if (now > servingNodesCountedAt + 0.1) {
            servingNodeCount = nodeStates.values().stream()
                    .filter(r -> r.consecutiveFailures < EJECTION_THRESHOLD && !r.isDrainingOrGone())
                    .count();
            servingNodesCountedAt = now;
        }
        return servingNodeCount;
    }

    private double completedWorkRate(double now) {
        return completedWorkRate * Math.exp((completedWorkRateAt - now) / WORK_RATE_DECAY_SECONDS);
    }

    /** Long enough to average over the turns, short beside the time in which a node warms. */
    private static final double WORK_RATE_DECAY_SECONDS = 4;

    private ReplicaSet replicaSet(int group) {
        return replicaSets.computeIfAbsent(group, any -> new ReplicaSet(random.nextInt(1 << 16), overall));
    }

    private NodeState primaryOf(int group) {
        return replicaSet(group).members.stream()
                .filter(NodeState::claimsPrimary)
                .max(Comparator.comparingDouble(row -> row.primaryClaimedAt))
                .orElse(null);
    }

    // ---- what to do after an outcome ----

    /** What to do after this outcome; {@code over} tells that the command has its final answer. */
    public Decision onAttemptFinished(Attempt dispatch, AttemptResult reply, boolean over, double now) {
        Request cmd = dispatch.request;
        dispatch.outcome = reply.outcome();
        NodeState row = nodeStates.get(dispatch.node);
        row.outstandingAttempts.remove(dispatch);
        outstandingAttemptCount--;
        if (dispatch.opensConnection && reply.elapsedSeconds() > 0) {
            double extra = reply.elapsedSeconds() - expectedServiceTimes.get(cmd.requestClass);
            boolean told =
                    reply.outcome() == AttemptOutcome.ANSWERED || reply.outcome() == AttemptOutcome.CONNECT_FAILED;
            connectTimeEstimate = told
                    ? Math.max(MIN_CONNECT_TIME, connectTimeEstimate + 0.1 * (extra - connectTimeEstimate))
                    : connectTimeEstimate;
        }
        if (reply.outcome() == AttemptOutcome.TIMED_OUT || reply.outcome() == AttemptOutcome.CANCELLED) {
            row.abandonedAttempts.add(dispatch);
            row.expectedConnections = Math.max(0, row.expectedConnections - 1);
        }
        updateNodeState(row, reply, now);
        updateHealthAndLoad(row, dispatch, reply, now);
        if (reply.outcome() == AttemptOutcome.ANSWERED
                && cmd.requestClass.consistency() == ConsistencyLevel.WRITE
                && cmd.sessionId != null
                && !settings.requestsCarryLastWrite()) {
            rememberWrite(cmd, reply, now);
        }
        boolean done = over || reply.outcome() == AttemptOutcome.ANSWERED;
        List<Attempt> recall = done && settings.cancellationAllowed() ? cmd.outstandingAttempts() : List.of();
        return done ? new Decision(RoutingAction.DONE, null, 0, recall) : route(cmd, now);
    }

    private void updateNodeState(NodeState row, AttemptResult reply, double now) {
        if (reply.outcome() == AttemptOutcome.ANSWERED || reply.role() != Role.UNKNOWN) {
            row.lastSeenAt = now;
        }
        row.appliedPosition =
                Math.max(row.appliedPosition, Math.max(reply.appliedPosition(), reply.reportedPosition()));
        if (reply.role() == Role.PRIMARY) {
            row.primaryClaimedAt = Math.max(row.primaryClaimedAt, now - reply.elapsedSeconds() / 2);
        } else if (reply.role() == Role.REPLICA) {
            row.replicaClaimedAt = now;
        }
        // A report is as old as its position says, but a replica's may be older. Guards against a former
        // primary that comes back, its position where it stood, and goes on being taken for the primary.
        if (reply.reportedRole() == Role.PRIMARY) {
            row.primaryClaimedAt = Math.max(row.primaryClaimedAt, reply.reportedPosition());
        } else if (reply.reportedRole() == Role.REPLICA) {
            row.replicaClaimedAt =
                    Math.max(row.replicaClaimedAt, Math.max(reply.reportedPosition(), now - MAX_REPORT_AGE));
        }
        row.reportedLoad = reply.reportedLoad() >= 0 ? reply.reportedLoad() : row.reportedLoad;
        ReplicaSet team = replicaSet(row.node.replicaSetId());
        team.newestPrimaryPosition = row.claimsPrimary()
                ? Math.max(team.newestPrimaryPosition, row.appliedPosition)
                : team.newestPrimaryPosition;
        // Measured when told: a replica that was not asked for a while has not fallen behind by that.
        boolean told = reply.appliedPosition() > 0 || reply.reportedPosition() > 0;
        // Guards against measuring by a primary that was itself heard long ago: its log has gone on since.
        double newest =
                Math.max(team.newestPrimaryPosition, reply.appliedPosition() > 0 ? now : now - TYPICAL_REPORT_AGE);
        row.lagSeconds = told ? newest - row.appliedPosition : row.lagSeconds;
        row.lagMeasuredAt = told ? now : row.lagMeasuredAt;
    }

    /** Reports arrive within a few seconds even when late; most are made anew a few times a second. */
    private static final double MAX_REPORT_AGE = 5, TYPICAL_REPORT_AGE = 0.25;

    private void updateHealthAndLoad(NodeState row, Attempt dispatch, AttemptResult reply, double now) {
        RequestClass group = dispatch.request.requestClass;
        ReplicaSet team = replicaSet(row.node.replicaSetId());
        LoadEstimate pressure = row.claimsPrimary() ? team.primaryLoad : team.readLoad(group);
        double slowness = reply.elapsedSeconds() / group.latencyObjectiveSeconds();
        switch (reply.outcome()) {
            case ANSWERED -> {
                row.lastAttemptResponseAt = now;
                // Queues are served in order: what went out before this dispatch has left the queue too.
                row.abandonedAttempts.removeIf(d -> d.sentAt <= dispatch.sentAt);
                row.consecutiveFailures = row.backoffCount = 0;
                // Guards against a cold budget swollen by sends that full or hung nodes never worked on.
                completedWorkRate = completedWorkRate(now)
                        + expectedServiceTimes.get(group)
                                / WORK_RATE_DECAY_SECONDS
                                / Math.max(1, servingNodeCount(now));
                completedWorkRateAt = now;
                expectedServiceTimes.merge(group, reply.elapsedSeconds(), (old, took) -> old + 0.02 * (took - old));
                pressure.addSample(slowness, now);
                lowerLimitIfSlow(row, slowness);
                if (row.latencyRatio < LOW_LATENCY_RATIO
                        && row.outstandingAttempts.size() + 1 >= row.concurrencyLimit * 0.7) {
                    row.concurrencyLimit += 0.5 / row.concurrencyLimit;
                }
            }
            case REJECTED -> {
                row.lastAttemptResponseAt = now;
                row.readRejectedAt = group.requiresPrimary() ? row.readRejectedAt : now;
            }
            case OVERLOADED -> {
                pressure.addSample(1, now);
                row.concurrencyLimit = Math.max(minConcurrencyLimit, row.concurrencyLimit * 0.8);
                backOff(row, 0, now);
            }
            case ERROR, CONNECT_FAILED, RESET -> {
                // Guards against leaving nodes out for what befalls connections: the dead take no new ones.
                if (reply.outcome() != AttemptOutcome.RESET || row.lastAttemptResponseAt < dispatch.sentAt) {
                    backOff(row, reply.outcome() == AttemptOutcome.CONNECT_FAILED ? 1 : 0, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                // Guards against taking a client's short wait for the slowness of nodes.
                boolean late = reply.outcome() == AttemptOutcome.TIMED_OUT
                        && dispatch.timeoutAt > dispatch.request.arrivedAt + group.latencyObjectiveSeconds() / 2;
                pressure.addSample(late ? 1 : slowness, now);
                lowerLimitIfSlow(row, Math.max(row.latencyRatio, slowness));
                if (dispatch.sentAt > row.lastAttemptResponseAt && reply.elapsedSeconds() > silenceTimeout(group)) {
                    backOff(row, 1, now);
                }
            }
        }
    }

    /** For all routers together: a few for each core of a small machine; what any machine does at once. */
    private static final double INITIAL_FLEET_CONCURRENCY = 10, MIN_FLEET_CONCURRENCY = 4;
    /** The document's circuit break. */
    private static final double READ_REJECTION_EJECTION_TIME = 10;

    /** Guards against asking full, failing, hung or dead nodes over and over: each time doubles the rest. */
    private void backOff(NodeState row, int strikes, double now) {
        // Where nothing may be probed only another dispatch can tell that it is back.
        row.consecutiveFailures = Math.min(
                row.consecutiveFailures + strikes,
                settings.healthChecksAllowed() ? Integer.MAX_VALUE : EJECTION_THRESHOLD - 1);
        row.backoffUntil = now + Math.min(1, 0.05 * Math.pow(2, row.backoffCount++));
    }

    /** Of the response target: the rest is for the spread of work, which is wide. */
    private static final double LOW_LATENCY_RATIO = 0.25, HIGH_LATENCY_RATIO = 0.32;

    /** Keeps answers under a third of the target. Guards against queues that make all late for long. */
    private void lowerLimitIfSlow(NodeState row, double slowness) {
        row.latencyRatio += 0.1 * (Math.min(slowness, 2) - row.latencyRatio);
        if (row.latencyRatio > HIGH_LATENCY_RATIO) {
            row.concurrencyLimit = Math.max(minConcurrencyLimit, row.concurrencyLimit * 0.97);
        }
    }

    private void rememberWrite(Request cmd, AttemptResult reply, double now) {
        LastWrite told = new LastWrite(
                replicaSet(cmd.replicaSetId), reply.appliedPosition() > 0 ? reply.appliedPosition() : now);
        lastWrites.merge(cmd.sessionId, told, (a, b) -> a.position > b.position ? a : b);
        // Forgetting never allows a stale read: later session reads of the group must cover what is dropped.
        if (lastWrites.size() > MAX_REMEMBERED_SESSIONS) {
            LastWrite oldest = lastWrites.remove(lastWrites.keySet().iterator().next());
            oldest.replicaSet.forgottenWritePosition =
                    Math.max(oldest.replicaSet.forgottenWritePosition, oldest.position);
        }
    }

    /** More than write in the time that replicas are seldom behind; it bounds the memory whatever comes. */
    private static final int MAX_REMEMBERED_SESSIONS = 20_000;

    // ---- how long to wait ----

    /** How long to wait until this router is asked again about all it holds, and what else is due. */
    public TickResult tick(double now) {
        boolean watch = now >= nextPollAt;
        // Neither list nor failure within five seconds: the call is lost.
        nextPollAt = watch ? now + 5 : nextPollAt;
        double idle = Math.max(BUSY_TICK, Math.min(IDLE_TICK, nextPollAt - now));
        double seconds = !healthChecksToSend.isEmpty()
                ? HEALTH_CHECK_TICK
                : requestsWaiting || outstandingAttemptCount > 0 ? BUSY_TICK : idle;
        nextTickAt = now + seconds;
        var pause = new TickResult(seconds, List.copyOf(healthChecksToSend), watch);
        healthChecksToSend.clear();
        requestsWaiting = false;
        return pause;
    }

    /** A round trip; a small part of short targets; to mind the list; half the patience with others. */
    private static final double HEALTH_CHECK_TICK = 0.004, BUSY_TICK = 0.01, IDLE_TICK = 1, STALL_THRESHOLD = 0.1;

    // ---- news ----

    /** The node list: all of it, or what changed. */
    public void onEndpointList(List<Endpoint> entries, boolean whole, double now) {
        nodeStates.values().forEach(row -> row.endpoint = whole ? endpointAfterRemoval(row) : row.endpoint);
        for (Endpoint entry : entries) {
            NodeState row = nodeStates.computeIfAbsent(entry.node(), node -> {
                NodeState made = new NodeState(
                        node, Math.max(minConcurrencyLimit, INITIAL_FLEET_CONCURRENCY / settings.routerCount()));
                replicaSet(node.replicaSetId()).members.add(made);
                return made;
            });
            row.endpoint = entry.state() == Endpoint.State.GONE ? endpointAfterRemoval(row) : entry;
        }
        nodeStates
                .values()
                .removeIf(row -> row.endpoint == null
                        && row.outstandingAttempts.isEmpty()
                        && replicaSet(row.node.replicaSetId()).members.remove(row));
        // The cached list comes before anything was asked; any later one shows that the watch stands.
        nextPollAt = nextPollAt > 0 ? Double.POSITIVE_INFINITY : nextPollAt;
        endpointListLate = false;
    }

    /**
     * For the log: how many nodes there are and were heard lately, and of those that are out of use or have something
     * out the first few: what is out of the window, tenths of seconds since heard, what is special.
     */
    public String describeNodes(double now) {
        // Guards against standing still for a line: no formats, no lists of any length.
        var text = new StringBuilder();
        int lately = 0, told = 0, left = 0;
        for (NodeState row : nodeStates.values()) {
            lately += isStale(row, now) ? 0 : 1;
            boolean out = row.isDrainingOrGone() || !isUsable(row, now);
            if (!out && row.outstandingAttempts.isEmpty()) {
                continue;
            } else if (told >= MAX_DESCRIBED_NODES) {
                left++;
                continue;
            }
            told++;
            text.append(", ")
                    .append(row.node.id())
                    .append(' ')
                    .append(row.outstandingAttempts.size())
                    .append('/')
                    .append((int) row.concurrencyLimit)
                    .append(' ')
                    .append(row.lastSeenAt == NEVER ? -1 : (long) (10 * (now - row.lastSeenAt)))
                    .append(row.claimsPrimary() ? " primary" : "")
                    .append(row.isDrainingOrGone() ? " closed" : out ? " out" : "");
        }
        return nodeStates.size() + " known, " + lately + " heard in the last second" + text
                + (left > 0 ? ", and " + left + " more" : "");
    }

    /** Enough to see what is wrong; any list of nodes may be longer. */
    private static final int MAX_DESCRIBED_NODES = 20;

    /** Whether it may still be sent something, or an outcome is awaited of it. */
    public boolean isKnown(Node node) {
        return nodeStates.containsKey(node);
    }

    /** Where the list's word that a node is gone binds nobody, it counts only of a node that drained. */
    private Endpoint endpointAfterRemoval(NodeState row) {
        return settings.goneIsBinding() || row.isDrainingOrGone() ? null : row.endpoint;
    }

    /** A call to the node list failed, or its watch broke; it is asked again, not all routers at once. */
    public void onEndpointListFailed(double now) {
        nextPollAt =
                settings.endpointListMustBePolled() ? now + MIN_POLL_RETRY_DELAY + random.nextDouble() : nextPollAt;
    }

    /** Two calls with their turns, and this before each, fit into the time after which news counts. */
    private static final double MIN_POLL_RETRY_DELAY = 0.5;

    /** The answer to a call that waited is late. Guards against finding a silent watch out too late. */
    public void onEndpointListLate(double now) {
        nextPollAt = endpointListLate ? nextPollAt : now; // what it misses soon counts as told; but not over and over
        endpointListLate = true;
    }

    /** Seconds that a call had best wait: watches that fall silent together are not opened anew so. */
    public double nextWatchTimeoutSeconds() {
        return MIN_WATCH_TIMEOUT + (MAX_WATCH_TIMEOUT - MIN_WATCH_TIMEOUT) * random.nextDouble();
    }

    /** Long beside the cost of a call; short beside what a router may miss on a silent watch. */
    private static final double MIN_WATCH_TIMEOUT = 7, MAX_WATCH_TIMEOUT = 10;

    /** What other routers saw of a node. It never makes a claim younger than it was there. */
    public void onPeerObservation(Node node, PeerObservation said, double now) {
        NodeState row = nodeStates.get(node);
        if (row == null || row.endpoint != null && row.endpoint.startedAt() > said.incarnationStartedAt()) {
            return; // of another life of the node
        }
        row.appliedPosition = Math.max(row.appliedPosition, said.appliedPosition());
        row.primaryClaimedAt = Math.max(row.primaryClaimedAt, said.primaryClaimedAt());
        row.replicaClaimedAt = Math.max(row.replicaClaimedAt, said.replicaClaimedAt());
        row.lagSeconds = said.lagMeasuredAt() > row.lagMeasuredAt ? said.lagSeconds() : row.lagSeconds;
        row.lagMeasuredAt = Math.max(row.lagMeasuredAt, said.lagMeasuredAt());
        row.reportedLoad = said.lastSeenAt() > row.lastSeenAt && said.loadWeight() > 0 ? said.load() : row.reportedLoad;
        // Guards against one router's broken way to a node: what failed others makes doubt, no sentence.
        double heard = Math.max(row.lastSeenAt, said.lastSeenAt());
        boolean failed =
                said.failedRouterCount() > 0 && said.lastFailureAt() > heard && now < said.lastFailureAt() + TIME_GATE;
        row.consecutiveFailures = failed ? Math.max(1, row.consecutiveFailures) : row.consecutiveFailures;
        row.lastSeenAt = heard;
        ReplicaSet team = replicaSet(node.replicaSetId());
        team.newestPrimaryPosition = row.claimsPrimary()
                ? Math.max(team.newestPrimaryPosition, row.appliedPosition)
                : team.newestPrimaryPosition;
    }

    /** A probe came back. */
    public void onHealthCheck(Node node, AttemptResult reply, double now) {
        NodeState row = nodeStates.get(node);
        if (row != null && reply.outcome() == AttemptOutcome.ANSWERED) {
            row.healthCheckPending = false;
            updateNodeState(row, reply, now);
            row.consecutiveFailures = Math.min(row.consecutiveFailures, 1);
        } else if (row != null) {
            row.healthCheckPending = false;
            if (reply.outcome() != AttemptOutcome.NOT_SENT) {
                backOff(row, 1, now);
            }
        }
    }
}
