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

/** One router in virtual time: the real module and hand; connections and the way to nodes are modelled. */
final class RouterModel implements PeerObservationListener {
    private final VirtualScheduler timeline;
    private final SimulatedFleet fleet;
    private final RoutingPolicy decide;
    private final InFlightRequests hand;
    private final RoutingSettings settings;
    /** Idle connections by node, as the times since when; at most as many as were ever out at once. */
    private final Map<Node, ArrayDeque<Double>> idle = new HashMap<>();
    /** By id; one a node of the fleet. */
    private final Map<String, Node> listed = new HashMap<>();

    private final Map<Node, Double> drainingSince = new HashMap<>();
    /** Attempts whose outcome is awaited; each leaves with it. */
    private final Map<Attempt, SimulatedAttempt> attempts = new LinkedHashMap<>();

    private final BiConsumer<Request, RoutingAction> answered;
    /** Those whose client waits; each leaves with its final answer. */
    private final Set<Request> waiting = new HashSet<>();
    /** The last write of each session that this router answered; a row a session. */
    private final Map<String, Double> wrote = new HashMap<>();

    private PeerLink peers = PeerLink.NONE;
    /** The newest revision of the list that this router heard itself. */
    private long revision = -1;

    private long told;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private boolean turning;

    private static final class SimulatedAttempt {
        NodeJob job;
        NodeModel at;
    }

    RouterModel(
            VirtualScheduler timeline,
            SimulatedFleet fleet,
            RoutingSettings settings,
            long seed,
            BiConsumer<Request, RoutingAction> answered) {
        this.timeline = timeline;
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

    /** The list itself told that. */
    void listed(List<Endpoint> entries, boolean whole, long as) {
        revision = Math.max(revision, as);
        peers.listed(entries, whole, as);
        listed(entries, whole);
    }

    long revision() {
        return revision;
    }

    /** As on sockets: overtaken by what this router has heard itself, it counts only where it closes a node. */
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
            decide.onPeerObservation(listed.get(node), what, timeline.now());
        }
    }

    /** How often peers told something of a node. */
    long told() {
        return told;
    }

    /** The position that a read of that session must see, as far as this router and its peers know. */
    double needs(String session) {
        return Math.max(wrote.getOrDefault(session, 0.0), peers.needs(session));
    }

    private void listed(List<Endpoint> entries, boolean whole) {
        for (Endpoint entry : entries) {
            listed.put(entry.node().id(), entry.node());
            if (entry.state() == Endpoint.State.DRAINING) {
                drainingSince.putIfAbsent(entry.node(), timeline.now());
            } else {
                drainingSince.remove(entry.node());
            }
        }
        decide.onEndpointList(entries, whole, timeline.now());
        turn();
    }

    void take(Request command) {
        waiting.add(command);
        hand.admit(command, timeline.now());
        turn();
    }

    /** What has happened at one time is told in one turn. */
    private void turn() {
        if (!turning) {
            turning = true;
            timeline.at(timeline.now(), () -> {
                turning = false;
                settle();
            });
        }
    }

    private void settle() {
        double now = timeline.now();
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

    /** Far below any time that is decided by. */
    private static final double LEAST_WAKE = 1e-4;

    private void wake(double at) {
        wakeAt = at;
        timeline.at(at, () -> {
            if (wakeAt == at) {
                settle();
            }
        });
    }

    private void carryOut(Request command, Decision choice) {
        choice.attemptsToCancel()
                .forEach(dispatch -> end(
                        dispatch,
                        AttemptResult.withoutReport(AttemptOutcome.CANCELLED, timeline.now() - dispatch.sentAt),
                        true));
        if (choice.action() == RoutingAction.SEND) {
            peers.used(0, command.attempts.size() > 1 ? 1 : 0);
            send(choice.attempt());
        } else if (choice.action() != RoutingAction.WAIT && waiting.remove(command)) {
            // A dispatch that was recalled says once more that all is done.
            if (choice.action() != RoutingAction.DONE
                    && changes(command)
                    && command.attempts.stream().anyMatch(sent -> sent.outcome == null || !sent.outcome.notExecuted)) {
                peers.written(command, fleet.mark(command), null);
            }
            answered.accept(command, choice.action());
        }
    }

    // ---- to nodes and back ----

    private boolean connects(Node node) {
        ArrayDeque<Double> since = idle.computeIfAbsent(node, any -> new ArrayDeque<>());
        while (!since.isEmpty() && timeline.now() - since.peekLast() > settings.connectionIdleTimeoutSeconds()) {
            since.pollLast();
        }
        return since.poll() == null;
    }

    private void send(Attempt dispatch) {
        Double told = drainingSince.get(dispatch.node);
        if (told != null) {
            fleet.audit().sentToDraining(dispatch.node, told, timeline.now());
        }
        var attempt = new SimulatedAttempt();
        attempts.put(dispatch, attempt);
        double connecting = connects(dispatch.node) ? fleet.connecting() : 0;
        timeline.in(fleet.way() + connecting, () -> arrive(dispatch, attempt));
    }

    private void arrive(Attempt dispatch, SimulatedAttempt attempt) {
        NodeModel at = fleet.node(dispatch.node);
        if (attempts.get(dispatch) != attempt || (at.silent() && at.up())) {
            return; // given up on the way, or nobody reads it: the router's time limit ends it
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
        attempt.job = new NodeJob(work, timeline.now(), done -> {
            double position = writes ? fleet.group(at.node.replicaSetId()).commit() : at.position();
            fleet.audit().ran(dispatch.request, at.node, position, needed, timeline.now());
            back(dispatch, attempt, life, tell(at, AttemptOutcome.ANSWERED));
        });
        if (at.warmth() < 1) {
            fleet.audit().worked(at.node, work, fleet.cores() * at.warmth(), timeline.now());
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
        timeline.in(fleet.way(), () -> {
            NodeModel at = fleet.node(dispatch.node);
            if (attempts.get(dispatch) == attempt) {
                boolean lost = at.life != life;
                double took = timeline.now() - dispatch.sentAt;
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

    /** An outcome; {@code lost}: the connection went with it. */
    private void end(Attempt dispatch, AttemptResult reply, boolean lost) {
        SimulatedAttempt attempt = attempts.remove(dispatch);
        if (attempt == null) {
            return;
        }
        if (attempt.job != null && reply.outcome() != AttemptOutcome.ANSWERED) {
            attempt.at.cores.cancel(attempt.job);
        }
        if (!lost && reply.outcome() != AttemptOutcome.CONNECT_FAILED) {
            idle.computeIfAbsent(dispatch.node, any -> new ArrayDeque<>()).push(timeline.now());
        }
        Request command = dispatch.request;
        if (reply.outcome() == AttemptOutcome.ANSWERED) {
            fleet.wrote(command, reply.appliedPosition(), this);
        }
        tellPeers(dispatch, reply);
        hand.onAttemptFinished(
                dispatch, reply, reply.outcome() == AttemptOutcome.ANSWERED && !command.completed, timeline.now());
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

    /** A node has died: what is out there is reset. */
    void reset(Node node) {
        idle.remove(node);
        List.copyOf(attempts.keySet()).stream()
                .filter(dispatch -> dispatch.node.equals(node))
                .forEach(dispatch -> end(
                        dispatch,
                        AttemptResult.withoutReport(AttemptOutcome.RESET, timeline.now() - dispatch.sentAt),
                        true));
    }

    private void probe(Node node) {
        double asked = timeline.now();
        timeline.in(2 * fleet.way(), () -> {
            NodeModel at = fleet.node(node);
            if (at.up() && !at.silent()) {
                probed(node, tell(at, AttemptOutcome.ANSWERED));
            } else {
                timeline.at(
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
        decide.onHealthCheck(node, reply, timeline.now());
        turn();
    }
}
