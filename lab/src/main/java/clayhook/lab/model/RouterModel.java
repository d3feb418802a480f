package clayhook.lab.model;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.Request;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.Role;
import clayhook.RoutingPolicy;
import clayhook.RoutingSettings;
import clayhook.inflight.InFlightRequests;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * A router in virtual time: the production routing policy and in-flight requests, with modelled connections and network
 * latency.
 */
final class RouterModel implements PeerObservationListener {
    private final VirtualScheduler scheduler;
    private final SimulatedFleet fleet;
    private final RoutingPolicy policy;
    private final InFlightRequests inFlightRequests;
    private final RoutingSettings settings;
    /**
     * Idle connections by node, as the times since which they have been idle; at most as many as were ever open at
     * once.
     */
    private final Map<Node, ArrayDeque<Double>> idleConnections = new HashMap<>();
    /** Nodes of the endpoint list by id; one entry per node of the fleet. */
    private final Map<String, Node> nodesById = new HashMap<>();

    private final Map<Node, Double> drainingSince = new HashMap<>();
    /** Attempts without an outcome; removed when the outcome arrives. */
    private final Map<Attempt, SimulatedAttempt> pendingAttempts = new LinkedHashMap<>();

    private final BiConsumer<Request, RoutingAction> onFinalAnswer;
    /** Requests whose client still waits; removed with the final answer. */
    private final Set<Request> waitingRequests = new HashSet<>();
    /** Position of the last write that this router answered, by session; one entry per session. */
    private final Map<String, Double> lastWritePositions = new HashMap<>();

    private PeerLink peers = PeerLink.NONE;
    /** Newest revision of the endpoint list that this router received from discovery itself. */
    private long revision = -1;

    private long peerObservations;
    private double nextWakeAt = Double.POSITIVE_INFINITY;
    private boolean tickScheduled;

    private static final class SimulatedAttempt {
        NodeJob job;
        NodeModel target;
    }

    RouterModel(
            VirtualScheduler scheduler,
            SimulatedFleet fleet,
            RoutingSettings settings,
            long seed,
            BiConsumer<Request, RoutingAction> onFinalAnswer) {
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.settings = settings;
        this.onFinalAnswer = onFinalAnswer;
        policy = new RoutingPolicy(settings, seed);
        inFlightRequests = new InFlightRequests(policy, fault -> {
            throw fault;
        });
    }

    void connectPeers(PeerLink link) {
        peers = link;
    }

    /** Applies endpoint-list entries received from discovery itself and forwards them to the peers. */
    void onEndpointList(List<Endpoint> entries, boolean complete, long listRevision) {
        revision = Math.max(revision, listRevision);
        peers.onEndpointList(entries, complete, listRevision);
        onEndpointList(entries, complete);
    }

    long revision() {
        return revision;
    }

    /**
     * Applies an entry received from a peer. As in the production router, an entry older than the revision received
     * from discovery only takes effect if it closes the node (draining or gone).
     */
    @Override
    public void onPeerEndpoint(Endpoint entry, long listRevision) {
        if (listRevision >= revision || entry.state() != Endpoint.State.READY) {
            onEndpointList(List.of(entry), false);
        }
    }

    @Override
    public void onPeerObservation(String node, PeerObservation observation) {
        peerObservations++;
        if (nodesById.containsKey(node)) {
            policy.onPeerObservation(nodesById.get(node), observation, scheduler.now());
        }
    }

    /** Number of observations of nodes received from peers. */
    long peerObservations() {
        return peerObservations;
    }

    /** Minimum position for a read of the session, as far as this router and its peers know. */
    double requiredPosition(String session) {
        return Math.max(lastWritePositions.getOrDefault(session, 0.0), peers.requiredPosition(session));
    }

    private void onEndpointList(List<Endpoint> entries, boolean complete) {
        for (Endpoint entry : entries) {
            nodesById.put(entry.node().id(), entry.node());
            if (entry.state() == Endpoint.State.DRAINING) {
                drainingSince.putIfAbsent(entry.node(), scheduler.now());
            } else {
                drainingSince.remove(entry.node());
            }
        }
        policy.onEndpointList(entries, complete, scheduler.now());
        scheduleTick();
    }

    void admit(Request request) {
        waitingRequests.add(request);
        inFlightRequests.admit(request, scheduler.now());
        scheduleTick();
    }

    /** Schedules one tick for all events of the same virtual time. */
    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            scheduler.scheduleAt(scheduler.now(), () -> {
                tickScheduled = false;
                runTick();
            });
        }
    }

    private void runTick() {
        double now = scheduler.now();
        inFlightRequests
                .timedOutAttempts(now)
                .forEach(attempt -> finish(
                        attempt, AttemptResult.withoutReport(AttemptOutcome.TIMED_OUT, now - attempt.sentAt), true));
        InFlightRequests.DecisionBatch batch = inFlightRequests.tick(now);
        batch.routedRequests().forEach(routed -> execute(routed.request(), routed.decision()));
        batch.tickResult().healthChecks().forEach(this::checkHealth);
        peers.onQuotaUsed(batch.tickResult().healthChecks().size(), 0);
        if (batch.wakeAfterSeconds() > 0 || nextWakeAt <= now) {
            scheduleWake(
                    batch.wakeAfterSeconds() > 0
                            ? now + batch.wakeAfterSeconds()
                            : now + Math.max(MIN_WAKE_SECONDS, inFlightRequests.secondsUntilNextTick(now)));
        }
    }

    /** Minimum seconds until the next tick; far below any time on which a decision depends. */
    private static final double MIN_WAKE_SECONDS = 1e-4;

    private void scheduleWake(double time) {
        nextWakeAt = time;
        scheduler.scheduleAt(time, () -> {
            if (nextWakeAt == time) {
                runTick();
            }
        });
    }

    private void execute(Request request, Decision decision) {
        decision.attemptsToCancel()
                .forEach(attempt -> finish(
                        attempt,
                        AttemptResult.withoutReport(AttemptOutcome.CANCELLED, scheduler.now() - attempt.sentAt),
                        true));
        if (decision.action() == RoutingAction.SEND) {
            peers.onQuotaUsed(0, request.attempts.size() > 1 ? 1 : 0);
            send(decision.attempt());
        } else if (decision.action() != RoutingAction.WAIT && waitingRequests.remove(request)) {
            // A cancelled attempt may repeat DONE after the final answer, so only the first one counts.
            if (decision.action() != RoutingAction.DONE
                    && changesData(request)
                    && request.attempts.stream()
                            .anyMatch(sentAttempt -> sentAttempt.outcome == null || !sentAttempt.outcome.notExecuted)) {
                peers.onWriteOutcome(request, fleet.writeId(request), null);
            }
            onFinalAnswer.accept(request, decision.action());
        }
    }

    // ---- attempts ----

    private boolean needsConnection(Node node) {
        ArrayDeque<Double> idleSince = idleConnections.computeIfAbsent(node, any -> new ArrayDeque<>());
        while (!idleSince.isEmpty()
                && scheduler.now() - idleSince.peekLast() > settings.connectionIdleTimeoutSeconds()) {
            idleSince.pollLast();
        }
        return idleSince.poll() == null;
    }

    private void send(Attempt attempt) {
        Double notifiedAt = drainingSince.get(attempt.node);
        if (notifiedAt != null) {
            fleet.audit().sentToDraining(attempt.node, notifiedAt, scheduler.now());
        }
        var simulated = new SimulatedAttempt();
        pendingAttempts.put(attempt, simulated);
        double connecting = needsConnection(attempt.node) ? fleet.connectSeconds() : 0;
        scheduler.scheduleAfter(fleet.oneWayLatency() + connecting, () -> arrive(attempt, simulated));
    }

    private void arrive(Attempt attempt, SimulatedAttempt simulated) {
        NodeModel target = fleet.node(attempt.node);
        if (pendingAttempts.get(attempt) != simulated || (target.isHung() && target.up())) {
            return; // cancelled in transit, or the node is hung: the router's timeout ends the attempt
        }
        if (!target.up()) {
            respond(
                    attempt,
                    simulated,
                    target.incarnation,
                    AttemptResult.withoutReport(AttemptOutcome.CONNECT_FAILED, 0));
            return;
        }
        double requiredPosition = fleet.requiredPosition(attempt.request, attempt.sentAt);
        boolean isWrite = attempt.request.requestClass.consistency() == ConsistencyLevel.WRITE;
        if ((isWrite && target.role != Role.PRIMARY)
                || (!isWrite && settings.replicasRejectStaleReads() && target.position() < requiredPosition)) {
            respond(attempt, simulated, target.incarnation, report(target, AttemptOutcome.REJECTED));
            return;
        }
        int incarnation = target.incarnation;
        double workSeconds = fleet.workSeconds(attempt.request);
        simulated.target = target;
        simulated.job = new NodeJob(workSeconds, scheduler.now(), done -> {
            double position = isWrite ? fleet.group(target.node.replicaSetId()).commit() : target.position();
            fleet.audit().executed(attempt.request, target.node, position, requiredPosition, scheduler.now());
            respond(attempt, simulated, incarnation, report(target, AttemptOutcome.ANSWERED));
        });
        if (target.warmth() < 1) {
            fleet.audit()
                    .workAtColdNode(target.node, workSeconds, fleet.coresPerNode() * target.warmth(), scheduler.now());
        }
        if (!target.cores.offer(simulated.job)) {
            respond(attempt, simulated, incarnation, report(target, AttemptOutcome.OVERLOADED));
        }
    }

    private AttemptResult report(NodeModel node, AttemptOutcome outcome) {
        double position = node.position();
        return new AttemptResult(
                outcome,
                0,
                node.role,
                position,
                node.role,
                position,
                fleet.sendsLoadReports() ? node.cores.jobs() : -1);
    }

    private void respond(Attempt attempt, SimulatedAttempt simulated, int incarnation, AttemptResult result) {
        scheduler.scheduleAfter(fleet.oneWayLatency(), () -> {
            NodeModel target = fleet.node(attempt.node);
            if (pendingAttempts.get(attempt) == simulated) {
                boolean connectionLost = target.incarnation != incarnation;
                double seconds = scheduler.now() - attempt.sentAt;
                finish(
                        attempt,
                        connectionLost
                                ? AttemptResult.withoutReport(AttemptOutcome.RESET, seconds)
                                : new AttemptResult(
                                        result.outcome(),
                                        seconds,
                                        result.role(),
                                        result.appliedPosition(),
                                        result.reportedRole(),
                                        result.reportedPosition(),
                                        result.reportedLoad()),
                        connectionLost);
            }
        });
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param connectionLost whether the connection was closed, so that it does not become idle
     */
    private void finish(Attempt attempt, AttemptResult result, boolean connectionLost) {
        SimulatedAttempt simulated = pendingAttempts.remove(attempt);
        if (simulated == null) {
            return;
        }
        if (simulated.job != null && result.outcome() != AttemptOutcome.ANSWERED) {
            simulated.target.cores.cancel(simulated.job);
        }
        if (!connectionLost && result.outcome() != AttemptOutcome.CONNECT_FAILED) {
            idleConnections
                    .computeIfAbsent(attempt.node, any -> new ArrayDeque<>())
                    .push(scheduler.now());
        }
        Request request = attempt.request;
        if (result.outcome() == AttemptOutcome.ANSWERED) {
            fleet.onWriteAnswered(request, result.appliedPosition(), this);
        }
        publishToPeers(attempt, result);
        inFlightRequests.onAttemptFinished(
                attempt, result, result.outcome() == AttemptOutcome.ANSWERED && !request.completed, scheduler.now());
        scheduleTick();
    }

    private static boolean changesData(Request request) {
        return request.requestClass.consistency() == ConsistencyLevel.WRITE
                && request.requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private void publishToPeers(Attempt attempt, AttemptResult result) {
        Request request = attempt.request;
        peers.onAttemptResult(attempt.node, result);
        if (result.outcome() == AttemptOutcome.ANSWERED
                && request.requestClass.consistency() == ConsistencyLevel.WRITE) {
            if (request.sessionId != null) {
                lastWritePositions.merge(request.sessionId, result.appliedPosition(), Math::max);
                peers.onSessionWrite(request, result.appliedPosition());
            }
            if (changesData(request)) {
                peers.onWriteOutcome(request, fleet.writeId(request), attempt.node);
            }
        }
    }

    /** Resets all connections and attempts to a crashed node. */
    void reset(Node node) {
        idleConnections.remove(node);
        List.copyOf(pendingAttempts.keySet()).stream()
                .filter(attempt -> attempt.node.equals(node))
                .forEach(attempt -> finish(
                        attempt,
                        AttemptResult.withoutReport(AttemptOutcome.RESET, scheduler.now() - attempt.sentAt),
                        true));
    }

    private void checkHealth(Node node) {
        double sentAt = scheduler.now();
        scheduler.scheduleAfter(2 * fleet.oneWayLatency(), () -> {
            NodeModel target = fleet.node(node);
            if (target.up() && !target.isHung()) {
                onHealthCheckResult(node, report(target, AttemptOutcome.ANSWERED));
            } else {
                scheduler.scheduleAt(
                        sentAt + fleet.healthCheckTimeout(),
                        () -> onHealthCheckResult(
                                node,
                                AttemptResult.withoutReport(
                                        target.up() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED, 0)));
            }
        });
    }

    private void onHealthCheckResult(Node node, AttemptResult result) {
        peers.onAttemptResult(node, result);
        policy.onHealthCheck(node, result, scheduler.now());
        scheduleTick();
    }
}
