package clayhook.lab.model;

import clayhook.Choice;
import clayhook.Choice.Verdict;
import clayhook.Command;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.Decide;
import clayhook.Dispatch;
import clayhook.Listing;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.Role;
import clayhook.Settings;
import clayhook.Told;
import clayhook.hand.Hand;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** One router in virtual time: the real module and hand; connections and the way to nodes are modelled. */
final class RouterModel implements Hearing {
    private final Timeline timeline;
    private final Fleet fleet;
    private final Decide decide;
    private final Hand hand;
    private final Settings settings;
    /** Idle connections by node, as the times since when; at most as many as were ever out at once. */
    private final Map<Node, ArrayDeque<Double>> idle = new HashMap<>();
    /** By id; one a node of the fleet. */
    private final Map<String, Node> listed = new HashMap<>();

    private final Map<Node, Double> drainingSince = new HashMap<>();
    /** Attempts whose outcome is awaited; each leaves with it. */
    private final Map<Dispatch, Attempt> attempts = new LinkedHashMap<>();

    private final BiConsumer<Command, Verdict> answered;
    /** Those whose client waits; each leaves with its final answer. */
    private final Set<Command> waiting = new HashSet<>();
    /** The last write of each session that this router answered; a row a session. */
    private final Map<String, Double> wrote = new HashMap<>();

    private Peers peers = Peers.NONE;
    /** The newest revision of the list that this router heard itself. */
    private long revision = -1;

    private long told;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private boolean turning;

    private static final class Attempt {
        Job job;
        NodeModel at;
    }

    RouterModel(Timeline timeline, Fleet fleet, Settings settings, long seed, BiConsumer<Command, Verdict> answered) {
        this.timeline = timeline;
        this.fleet = fleet;
        this.settings = settings;
        this.answered = answered;
        decide = new Decide(settings, seed);
        hand = new Hand(decide, fault -> {
            throw fault;
        });
    }

    void join(Peers others) {
        peers = others;
    }

    /** The list itself told that. */
    void listed(List<Listing> entries, boolean whole, long as) {
        revision = Math.max(revision, as);
        peers.listed(entries, whole, as);
        listed(entries, whole);
    }

    long revision() {
        return revision;
    }

    /** As on sockets: overtaken by what this router has heard itself, it counts only where it closes a node. */
    @Override
    public void told(Listing entry, long as) {
        if (as >= revision || entry.state() != Listing.State.READY) {
            listed(List.of(entry), false);
        }
    }

    @Override
    public void told(String node, Told what) {
        told++;
        if (listed.containsKey(node)) {
            decide.told(listed.get(node), what, timeline.now());
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

    private void listed(List<Listing> entries, boolean whole) {
        for (Listing entry : entries) {
            listed.put(entry.node().id(), entry.node());
            if (entry.state() == Listing.State.DRAINING) {
                drainingSince.putIfAbsent(entry.node(), timeline.now());
            } else {
                drainingSince.remove(entry.node());
            }
        }
        decide.listed(entries, whole, timeline.now());
        turn();
    }

    void take(Command command) {
        waiting.add(command);
        hand.taken(command, timeline.now());
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
        hand.overdue(now)
                .forEach(dispatch -> end(dispatch, Reply.untold(Outcome.TIMED_OUT, now - dispatch.sentAt), true));
        Hand.Turn turn = hand.settle(now);
        turn.orders().forEach(order -> carryOut(order.command(), order.choice()));
        turn.pause().probes().forEach(this::probe);
        peers.used(turn.pause().probes().size(), 0);
        if (turn.wake() > 0 || wakeAt <= now) {
            wake(turn.wake() > 0 ? now + turn.wake() : now + Math.max(LEAST_WAKE, hand.remaining(now)));
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

    private void carryOut(Command command, Choice choice) {
        choice.recall()
                .forEach(dispatch ->
                        end(dispatch, Reply.untold(Outcome.CANCELLED, timeline.now() - dispatch.sentAt), true));
        if (choice.verdict() == Verdict.SEND) {
            peers.used(0, command.dispatches.size() > 1 ? 1 : 0);
            send(choice.dispatch());
        } else if (choice.verdict() != Verdict.NOT_YET && waiting.remove(command)) {
            // A dispatch that was recalled says once more that all is done.
            if (choice.verdict() != Verdict.DONE
                    && changes(command)
                    && command.dispatches.stream().anyMatch(sent -> sent.outcome == null || !sent.outcome.neverRan)) {
                peers.written(command, fleet.mark(command), null);
            }
            answered.accept(command, choice.verdict());
        }
    }

    // ---- to nodes and back ----

    private boolean connects(Node node) {
        ArrayDeque<Double> since = idle.computeIfAbsent(node, any -> new ArrayDeque<>());
        while (!since.isEmpty() && timeline.now() - since.peekLast() > settings.connectionIdle()) {
            since.pollLast();
        }
        return since.poll() == null;
    }

    private void send(Dispatch dispatch) {
        Double told = drainingSince.get(dispatch.node);
        if (told != null) {
            fleet.audit().sentToDraining(dispatch.node, told, timeline.now());
        }
        var attempt = new Attempt();
        attempts.put(dispatch, attempt);
        double connecting = connects(dispatch.node) ? fleet.connecting() : 0;
        timeline.in(fleet.way() + connecting, () -> arrive(dispatch, attempt));
    }

    private void arrive(Dispatch dispatch, Attempt attempt) {
        NodeModel at = fleet.node(dispatch.node);
        if (attempts.get(dispatch) != attempt || at.silent() && at.up()) {
            return; // given up on the way, or nobody reads it: the router's time limit ends it
        }
        if (!at.up()) {
            back(dispatch, attempt, at.life, Reply.untold(Outcome.CONNECT_FAILED, 0));
            return;
        }
        double needed = fleet.needed(dispatch.command, dispatch.sentAt);
        boolean writes = dispatch.command.group.level() == ReadLevel.WRITE;
        if (writes && at.role != Role.PRIMARY || !writes && settings.replicasCheck() && at.position() < needed) {
            back(dispatch, attempt, at.life, tell(at, Outcome.TURNED_AWAY));
            return;
        }
        int life = at.life;
        double work = fleet.work(dispatch.command);
        attempt.at = at;
        attempt.job = new Job(work, timeline.now(), done -> {
            double position = writes ? fleet.group(at.node.group()).commit() : at.position();
            fleet.audit().ran(dispatch.command, at.node, position, needed, timeline.now());
            back(dispatch, attempt, life, tell(at, Outcome.ANSWERED));
        });
        if (at.warmth() < 1) {
            fleet.audit().worked(at.node, work, fleet.cores() * at.warmth(), timeline.now());
        }
        if (!at.cores.offer(attempt.job)) {
            back(dispatch, attempt, life, tell(at, Outcome.FULL));
        }
    }

    private Reply tell(NodeModel node, Outcome outcome) {
        double position = node.position();
        return new Reply(
                outcome, 0, node.role, position, node.role, position, fleet.reports() ? node.cores.inside() : -1);
    }

    private void back(Dispatch dispatch, Attempt attempt, int life, Reply told) {
        timeline.in(fleet.way(), () -> {
            NodeModel at = fleet.node(dispatch.node);
            if (attempts.get(dispatch) == attempt) {
                boolean lost = at.life != life;
                double took = timeline.now() - dispatch.sentAt;
                end(
                        dispatch,
                        lost
                                ? Reply.untold(Outcome.RESET, took)
                                : new Reply(
                                        told.outcome(),
                                        took,
                                        told.role(),
                                        told.position(),
                                        told.reportedRole(),
                                        told.reportedPosition(),
                                        told.load()),
                        lost);
            }
        });
    }

    /** An outcome; {@code lost}: the connection went with it. */
    private void end(Dispatch dispatch, Reply reply, boolean lost) {
        Attempt attempt = attempts.remove(dispatch);
        if (attempt == null) {
            return;
        }
        if (attempt.job != null && reply.outcome() != Outcome.ANSWERED) {
            attempt.at.cores.cancel(attempt.job);
        }
        if (!lost && reply.outcome() != Outcome.CONNECT_FAILED) {
            idle.computeIfAbsent(dispatch.node, any -> new ArrayDeque<>()).push(timeline.now());
        }
        Command command = dispatch.command;
        if (reply.outcome() == Outcome.ANSWERED) {
            fleet.wrote(command, reply.position(), this);
        }
        tellPeers(dispatch, reply);
        hand.ended(dispatch, reply, reply.outcome() == Outcome.ANSWERED && !command.over, timeline.now());
        turn();
    }

    private static boolean changes(Command command) {
        return command.group.level() == ReadLevel.WRITE && command.group.effect() != Effect.REPLAYABLE;
    }

    private void tellPeers(Dispatch dispatch, Reply reply) {
        Command command = dispatch.command;
        peers.looked(dispatch.node, reply);
        if (reply.outcome() == Outcome.ANSWERED && command.group.level() == ReadLevel.WRITE) {
            if (command.session != null) {
                wrote.merge(command.session, reply.position(), Math::max);
                peers.wrote(command, reply.position());
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
                .forEach(
                        dispatch -> end(dispatch, Reply.untold(Outcome.RESET, timeline.now() - dispatch.sentAt), true));
    }

    private void probe(Node node) {
        double asked = timeline.now();
        timeline.in(2 * fleet.way(), () -> {
            NodeModel at = fleet.node(node);
            if (at.up() && !at.silent()) {
                probed(node, tell(at, Outcome.ANSWERED));
            } else {
                timeline.at(
                        asked + fleet.probeTimeout(),
                        () -> probed(node, Reply.untold(at.up() ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, 0)));
            }
        });
    }

    private void probed(Node node, Reply reply) {
        peers.looked(node, reply);
        decide.probed(node, reply, timeline.now());
        turn();
    }
}
