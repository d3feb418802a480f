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
    private final RoutingPolicy decide;
    private final InFlightRequests hand;
    private final RoutingSettings settings;
    /**
     * Idle connections by node, as the times since which they have been idle; at most as many as were ever open at
     * once.
     */
    private final Map<Node, ArrayDeque<Double>> idle = new HashMap<>();
    /** Nodes of the endpoint list by id; one entry per node of the fleet. */
    private final Map<String, Node> listed = new HashMap<>();

    private final Map<Node, Double> drainingSince = new HashMap<>();
    /** Attempts without an outcome; removed when the outcome arrives. */
    private final Map<Attempt, SimulatedAttempt> attempts = new LinkedHashMap<>();

    private final BiConsumer<Request, RoutingAction> answered;
    /** Requests whose client still waits; removed with the final answer. */
    private final Set<Request> waiting = new HashSet<>();
    /** Position of the last write that this router answered, by session; one entry per session. */
    private final Map<String, Double> wrote = new HashMap<>();

    private PeerLink peers = PeerLink.NONE;
    /** Newest revision of the endpoint list that this router received from discovery itself. */
    private long revision = -1;

    private long told;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private boolean turning;

    private static final class SimulatedAttempt {
        NodeJob job;
        NodeModel at;
    }

    RouterModel(
            VirtualScheduler scheduler,
            SimulatedFleet fleet,
            RoutingSettings settings,
            long seed,
            BiConsumer<Request, RoutingAction> answered) {
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.settings = settings;
        this.answered = answered;
        decide = new RoutingPolicy(settings, seed);
        hand = new InFlightRequests(decide, fault -> {
            throw fault;
        });
    }

    void join(PeerLink others) {
        peers = others;
    }

    /** Applies endpoint-list entries received from discovery itself and forwards them to the peers. */
    void listed(List<Endpoint> entries, boolean whole, long as) {
        revision = Math.max(revision, as);
        peers.listed(entries, whole, as);
        listed(entries, whole);
    }

    long revision() {
        return revision;
    }

    /**
     * Applies an entry received from a peer. As in the production router, an entry older than the revision received
     * from discovery only takes effect if it closes the node (draining or gone).
     */
    @Override
    public void told(Endpoint entry, long as) {
        if (as >= revision || entry.state() != Endpoint.State.READY) {
            listed(List.of(entry), false);
        }
    }

    @Override
    public void told(String node, PeerObservation what) {
        told++;
        if (listed.containsKey(node)) {
            decide.onPeerObservation(listed.get(node), what, scheduler.now());
        }
    }

    /** Number of observations of nodes received from peers. */
    long told() {
        return told;
    }

    /** Minimum position for a read of the session, as far as this router and its peers know. */
    double needs(String session) {
        return Math.max(wrote.getOrDefault(session, 0.0), peers.needs(session));
    }

    private void listed(List<Endpoint> entries, boolean whole) {
        for (Endpoint entry : entries) {
            listed.put(entry.node().id(), entry.node());
            if (entry.state() == Endpoint.State.DRAINING) {
                drainingSince.putIfAbsent(entry.node(), scheduler.now());
            } else {
                drainingSince.remove(entry.node());
            }
        }
        decide.onEndpointList(entries, whole, scheduler.now());
        turn();
    }

    void take(Request command) {
        waiting.add(command);
        hand.admit(command, scheduler.now());
        turn();
    }

    /** Schedules one tick for all events of the same virtual time. */
    private void turn() {
        if (!turning) {
            turning = true;
            scheduler.scheduleAt(scheduler.now(), () -> {
                turning = false;
                settle();
            });
        }
    }

    private void settle() {
        double now = scheduler.now();
        hand.timedOutAttempts(now)
                .forEach(dispatch -> end(
                        dispatch, AttemptResult.withoutReport(AttemptOutcome.TIMED_OUT, now - dispatch.sentAt), true));
        InFlightRequests.DecisionBatch turn = hand.tick(now);
        turn.routedRequests().forEach(order -> carryOut(order.request(), order.decision()));
        turn.tickResult().healthChecks().forEach(this::probe);
        peers.used(turn.tickResult().healthChecks().size(), 0);
        if (turn.wakeAfterSeconds() > 0 || wakeAt <= now) {
            wake(
                    turn.wakeAfterSeconds() > 0
                            ? now + turn.wakeAfterSeconds()
                            : now + Math.max(LEAST_WAKE, hand.secondsUntilNextTick(now)));
        }
    }

    /** Minimum seconds until the next tick; far below any time on which a decision depends. */
    private static final double LEAST_WAKE = 1e-4;

    private void wake(double at) {
        wakeAt = at;
        scheduler.scheduleAt(at, () -> {
            if (wakeAt == at) {
                settle();
            }
        });
    }

    private void carryOut(Request command, Decision choice) {
        choice.attemptsToCancel()
                .forEach(dispatch -> end(
                        dispatch,
                        AttemptResult.withoutReport(AttemptOutcome.CANCELLED, scheduler.now() - dispatch.sentAt),
                        true));
        if (choice.action() == RoutingAction.SEND) {
            peers.used(0, command.attempts.size() > 1 ? 1 : 0);
            send(choice.attempt());
        } else if (choice.action() != RoutingAction.WAIT && waiting.remove(command)) {
            // A cancelled attempt may repeat DONE after the final answer, so only the first one counts.
            if (choice.action() != RoutingAction.DONE
                    && changes(command)
                    && command.attempts.stream().anyMatch(sent -> sent.outcome == null || !sent.outcome.notExecuted)) {
                peers.written(command, fleet.mark(command), null);
            }
            answered.accept(command, choice.action());
        }
    }

    // ---- attempts ----

    private boolean connects(Node node) {
        ArrayDeque<Double> since = idle.computeIfAbsent(node, any -> new ArrayDeque<>());
        while (!since.isEmpty() && scheduler.now() - since.peekLast() > settings.connectionIdleTimeoutSeconds()) {
            since.pollLast();
        }
        return since.poll() == null;
    }

    private void send(Attempt dispatch) {
        Double told = drainingSince.get(dispatch.node);
        if (told != null) {
            fleet.audit().sentToDraining(dispatch.node, told, scheduler.now());
        }
        var attempt = new SimulatedAttempt();
        attempts.put(dispatch, attempt);
        double connecting = connects(dispatch.node) ? fleet.connecting() : 0;
        scheduler.scheduleAfter(fleet.way() + connecting, () -> arrive(dispatch, attempt));
    }

    private void arrive(Attempt dispatch, SimulatedAttempt attempt) {
        NodeModel at = fleet.node(dispatch.node);
        if (attempts.get(dispatch) != attempt || (at.silent() && at.up())) {
            return; // cancelled in transit, or the node is hung: the router's timeout ends the attempt
        }
        if (!at.up()) {
            back(dispatch, attempt, at.life, AttemptResult.withoutReport(AttemptOutcome.CONNECT_FAILED, 0));
            return;
        }
        double needed = fleet.needed(dispatch.request, dispatch.sentAt);
        boolean writes = dispatch.request.requestClass.consistency() == ConsistencyLevel.WRITE;
        if ((writes && at.role != Role.PRIMARY)
                || (!writes && settings.replicasRejectStaleReads() && at.position() < needed)) {
            back(dispatch, attempt, at.life, tell(at, AttemptOutcome.REJECTED));
            return;
        }
        int life = at.life;
        double work = fleet.work(dispatch.request);
        attempt.at = at;
        attempt.job = new NodeJob(work, scheduler.now(), done -> {
            double position = writes ? fleet.group(at.node.replicaSetId()).commit() : at.position();
            fleet.audit().ran(dispatch.request, at.node, position, needed, scheduler.now());
            back(dispatch, attempt, life, tell(at, AttemptOutcome.ANSWERED));
        });
        if (at.warmth() < 1) {
            fleet.audit().worked(at.node, work, fleet.cores() * at.warmth(), scheduler.now());
        }
        if (!at.cores.offer(attempt.job)) {
            back(dispatch, attempt, life, tell(at, AttemptOutcome.OVERLOADED));
        }
    }

    private AttemptResult tell(NodeModel node, AttemptOutcome outcome) {
        double position = node.position();
        return new AttemptResult(
                outcome, 0, node.role, position, node.role, position, fleet.reports() ? node.cores.inside() : -1);
    }

    private void back(Attempt dispatch, SimulatedAttempt attempt, int life, AttemptResult told) {
        scheduler.scheduleAfter(fleet.way(), () -> {
            NodeModel at = fleet.node(dispatch.node);
            if (attempts.get(dispatch) == attempt) {
                boolean lost = at.life != life;
                double took = scheduler.now() - dispatch.sentAt;
                end(
                        dispatch,
                        lost
                                ? AttemptResult.withoutReport(AttemptOutcome.RESET, took)
                                : new AttemptResult(
                                        told.outcome(),
                                        took,
                                        told.role(),
                                        told.appliedPosition(),
                                        told.reportedRole(),
                                        told.reportedPosition(),
                                        told.reportedLoad()),
                        lost);
            }
        });
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param lost whether the connection was closed, so that it does not become idle
     */
    private void end(Attempt dispatch, AttemptResult reply, boolean lost) {
        SimulatedAttempt attempt = attempts.remove(dispatch);
        if (attempt == null) {
            return;
        }
        if (attempt.job != null && reply.outcome() != AttemptOutcome.ANSWERED) {
            attempt.at.cores.cancel(attempt.job);
        }
        if (!lost && reply.outcome() != AttemptOutcome.CONNECT_FAILED) {
            idle.computeIfAbsent(dispatch.node, any -> new ArrayDeque<>()).push(scheduler.now());
        }
        Request command = dispatch.request;
        if (reply.outcome() == AttemptOutcome.ANSWERED) {
            fleet.wrote(command, reply.appliedPosition(), this);
        }
        tellPeers(dispatch, reply);
        hand.onAttemptFinished(
                dispatch, reply, reply.outcome() == AttemptOutcome.ANSWERED && !command.completed, scheduler.now());
        turn();
    }

    private static boolean changes(Request command) {
        return command.requestClass.consistency() == ConsistencyLevel.WRITE
                && command.requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private void tellPeers(Attempt dispatch, AttemptResult reply) {
        Request command = dispatch.request;
        peers.looked(dispatch.node, reply);
        if (reply.outcome() == AttemptOutcome.ANSWERED
                && command.requestClass.consistency() == ConsistencyLevel.WRITE) {
            if (command.sessionId != null) {
                wrote.merge(command.sessionId, reply.appliedPosition(), Math::max);
                peers.wrote(command, reply.appliedPosition());
            }
            if (changes(command)) {
                peers.written(command, fleet.mark(command), dispatch.node);
            }
        }
    }

    /** Resets all connections and attempts to a crashed node. */
    void reset(Node node) {
        idle.remove(node);
        List.copyOf(attempts.keySet()).stream()
                .filter(dispatch -> dispatch.node.equals(node))
                .forEach(dispatch -> end(
                        dispatch,
                        AttemptResult.withoutReport(AttemptOutcome.RESET, scheduler.now() - dispatch.sentAt),
                        true));
    }

    private void probe(Node node) {
        double asked = scheduler.now();
        scheduler.scheduleAfter(2 * fleet.way(), () -> {
            NodeModel at = fleet.node(node);
            if (at.up() && !at.silent()) {
                probed(node, tell(at, AttemptOutcome.ANSWERED));
            } else {
                scheduler.scheduleAt(
                        asked + fleet.probeTimeout(),
                        () -> probed(
                                node,
                                AttemptResult.withoutReport(
                                        at.up() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED, 0)));
            }
        });
    }

    private void probed(Node node, AttemptResult reply) {
        peers.looked(node, reply);
        decide.onHealthCheck(node, reply, scheduler.now());
        turn();
    }
}
