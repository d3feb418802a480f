package clayhook.nodes;

import clayhook.Node;
import clayhook.protocol.NodeMessage;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The connections to one node, and the attempts that wait for one. */
final class Pool {
    final Node node;
    InetSocketAddress address;
    private final Nodes nodes;
    /** Newest first. */
    private final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();

    private final Set<NodeConnection> opening = new LinkedHashSet<>();
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    /** Connections that stand, open or carry something. */
    private int open;
    /** The probe that is out, or null. */
    private Attempt probe;

    Pool(Nodes nodes, Node node, InetSocketAddress address) {
        this.nodes = nodes;
        this.node = node;
        this.address = address;
    }

    /** Another address: the old connections carry on what they have and get nothing new. */
    void moved(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        closeIdle(Double.POSITIVE_INFINITY);
        // Guards against failing attempts, and judging the node, by connections to where it is no more.
        List<NodeConnection> old = List.copyOf(opening);
        opening.clear();
        old.forEach(NodeConnection::close);
        serve();
    }

    void probe() {
        if (probe == null) {
            probe = new Attempt(node, null, null, nodes.now());
            add(probe);
        }
    }

    void add(Attempt attempt) {
        // Guards against a sweep that is rarer than connections are closed by their node: nothing else was in hand.
        closeIdle(nodes.idleBefore());
        waiting.add(attempt);
        serve();
    }

    private void serve() {
        for (Attempt next : List.copyOf(waiting)) {
            if (next.ended) {
                continue;
            } else if (!idle.isEmpty() && !nodes.mayGo(next)) {
                abandon(next, new Ending.CalledOff(next.stage));
                continue;
            }
            NodeConnection fitting = idleFor(next);
            if (fitting != null && waiting.remove(next)) {
                idle.remove(fitting);
                fitting.start(next, nodes.query(next));
            } else if (fitting == null && !idle.isEmpty() && opening.size() < waiting.size()) {
                NodeConnection other = idle.pollLast();
                if (other.quiet()) {
                    opening.add(other);
                    other.tune(next.outgoing.settings(), nodes.now());
                } else {
                    other.close();
                }
            }
        }
        while (opening.size() < waiting.size()) {
            if (!nodes.mayOpen()) {
                // Guards against holding the want of our own descriptors against a node: nothing was asked of it.
                ended(waiting.poll(), new Ending.CalledOff(Stage.NOT_CONNECTED), null);
                continue;
            }
            var connection = new NodeConnection(this, address, nodes.allowance, nodes.now());
            open++;
            opening.add(connection);
            nodes.connect(connection);
        }
    }

    /** An idle connection that it may be written to, or null; ones found ended or spoilt on the way are closed. */
    private NodeConnection idleFor(Attempt attempt) {
        for (NodeConnection connection : List.copyOf(idle)) {
            if (attempt.fits(connection) && connection.quiet()) {
                return connection;
            } else if (attempt.fits(connection)) {
                connection.close();
            }
        }
        return null;
    }

    void opened(NodeConnection connection) {
        nodes.opened();
        gotReady(connection);
    }

    /**
     * Guards against opening one after the other to a node that ends each at once: that is a connection that failed.
     */
    private void gotReady(NodeConnection connection) {
        if (connection.quiet()) {
            opening.remove(connection);
            freed(connection);
        } else {
            connection.close();
        }
    }

    void freed(NodeConnection connection) {
        if (!connection.address.equals(address)) {
            connection.close();
            serve();
            return;
        }
        connection.idleSince = nodes.now();
        idle.push(connection);
        serve();
    }

    /** A connection was given other settings, or its node refused them: then so is a statement that asks for them. */
    void tuned(NodeConnection connection, Ending.Concluded refusal, Map<String, String> asked) {
        Attempt refused = refusal == null
                ? null
                : waiting.stream()
                        .filter(attempt -> attempt.outgoing != null
                                && attempt.outgoing.settings().equals(asked))
                        .findFirst()
                        .orElse(null);
        if (refused != null) {
            waiting.remove(refused);
            ended(refused, refusal, null);
        }
        gotReady(connection);
    }

    /** A connection ended; one that never came up takes the attempt that has waited longest with it. */
    void closed(NodeConnection connection, boolean up, String refusal) {
        open--;
        idle.remove(connection);
        nodes.closed();
        if (opening.remove(connection) && waiting.size() > opening.size()) {
            ended(
                    waiting.poll(),
                    !up && refusal != null && refusal.equals(Ending.FULL)
                            ? new Ending.Refused(refusal)
                            : new Ending.Broken(Stage.NOT_CONNECTED),
                    null);
        }
    }

    void ended(Attempt attempt, Ending ending, NodeConnection by) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        probe = attempt == probe ? null : probe;
        nodes.ended(attempt, ending, by);
    }

    /** Stops waiting for an attempt. */
    void abandon(Attempt attempt, Ending ending) {
        if (attempt.connection != null) {
            attempt.connection.abandon(ending);
        } else {
            waiting.remove(attempt);
            ended(attempt, ending, null);
        }
    }

    /** Ends connections that have been opening and the probe that has been out since before then; and idle ones. */
    void sweep(double begunBefore, double idleBefore) {
        // Guards against holding for a connection what its client, the node or the limits of repeats have called off.
        for (Attempt next : List.copyOf(waiting)) {
            if (nodes.calledOff(next)) {
                abandon(next, new Ending.CalledOff(next.stage));
            }
        }
        List.copyOf(opening).stream()
                .filter(c -> c.gettingReadySince < begunBefore)
                .forEach(NodeConnection::close);
        if (probe != null && probe.startedAt < begunBefore) {
            abandon(probe, new Ending.Silent(probe.stage));
        }
        closeIdle(idleBefore);
    }

    /** Closes the connections idle since before that time; returns how many. */
    int closeIdle(double before) {
        var old = new ArrayList<NodeConnection>();
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            old.add(idle.pollLast());
        }
        old.forEach(NodeConnection::close);
        return old.size();
    }

    ByteBuf startup() {
        return nodes.startup();
    }

    boolean agrees(NodeMessage.ParameterStatus told) {
        return nodes.agrees(told.name(), told.value());
    }

    int longestAnswer() {
        return nodes.longestAnswer();
    }

    boolean takeMemory(int bytes) {
        return nodes.allowance.take(bytes);
    }

    void giveMemory(int bytes) {
        nodes.allowance.give(bytes);
    }

    double now() {
        return nodes.now();
    }

    /** No connection and no attempt is left of it. */
    boolean unused() {
        return open == 0 && waiting.isEmpty();
    }

    int idle() {
        return idle.size();
    }

    double oldestIdle() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSince;
    }

    void refused(NodeMessage.ErrorResponse error) {
        nodes.refused(node, error);
    }

    void log(String line) {
        nodes.log(line);
    }
}
