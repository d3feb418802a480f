package clayhook.backend;

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
final class ConnectionPool {
    final Node node;
    InetSocketAddress address;
    private final BackendClient client;
    /** Newest first. */
    private final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();

    private final Set<NodeConnection> opening = new LinkedHashSet<>();
    private final ArrayDeque<BackendRequest> waiting = new ArrayDeque<>();
    /** Connections that stand, open or carry something. */
    private int connectionCount;
    /** The probe that is out, or null. */
    private BackendRequest healthCheck;

    ConnectionPool(BackendClient nodes, Node node, InetSocketAddress address) {
        this.client = nodes;
        this.node = node;
        this.address = address;
    }

    /** Another address: the old connections carry on what they have and get nothing new. */
    void updateAddress(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        closeIdleBefore(Double.POSITIVE_INFINITY);
        // Guards against failing attempts, and judging the node, by connections to where it is no more.
        List<NodeConnection> old = List.copyOf(opening);
        opening.clear();
        old.forEach(NodeConnection::close);
        assignConnections();
    }

    void startHealthCheck() {
        if (healthCheck == null) {
            healthCheck = new BackendRequest(node, null, null, client.now());
            submit(healthCheck);
        }
    }

    void submit(BackendRequest attempt) {
        // Guards against a sweep that is rarer than connections are closed by their node: nothing else was in hand.
        closeIdleBefore(client.idleCutoff());
        waiting.add(attempt);
        assignConnections();
    }

    private void assignConnections() {
        for (BackendRequest next : List.copyOf(waiting)) {
            if (next.completed) {
                continue;
            } else if (!idle.isEmpty() && !client.mayStillSend(next)) {
                abandon(next, new AttemptCompletion.Cancelled(next.phase));
                continue;
            }
            NodeConnection fitting = findIdle(next);
            if (fitting != null && waiting.remove(next)) {
                idle.remove(fitting);
                fitting.send(next, client.queryText(next));
            } else if (fitting == null && !idle.isEmpty() && opening.size() < waiting.size()) {
                NodeConnection other = idle.pollLast();
                if (other.isQuiet()) {
                    opening.add(other);
                    other.changeSettings(next.statement.settings(), client.now());
                } else {
                    other.close();
                }
            }
        }
        while (opening.size() < waiting.size()) {
            if (!client.reserveDescriptor()) {
                // Guards against holding the want of our own descriptors against a node: nothing was asked of it.
                complete(waiting.poll(), new AttemptCompletion.Cancelled(AttemptPhase.NOT_CONNECTED), null);
                continue;
            }
            var connection = new NodeConnection(this, address, client.answerMemory, client.now());
            connectionCount++;
            opening.add(connection);
            client.connect(connection);
        }
    }

    /** An idle connection that it may be written to, or null; ones found ended or spoilt on the way are closed. */
    private NodeConnection findIdle(BackendRequest attempt) {
        for (NodeConnection connection : List.copyOf(idle)) {
            if (attempt.canUse(connection) && connection.isQuiet()) {
                return connection;
            } else if (attempt.canUse(connection)) {
                connection.close();
            }
        }
        return null;
    }

    void onStarted(NodeConnection connection) {
        client.countOpened();
        onReady(connection);
    }

    /**
     * Guards against opening one after the other to a node that ends each at once: that is a connection that failed.
     */
    private void onReady(NodeConnection connection) {
        if (connection.isQuiet()) {
            opening.remove(connection);
            onIdle(connection);
        } else {
            connection.close();
        }
    }

    void onIdle(NodeConnection connection) {
        if (!connection.address.equals(address)) {
            connection.close();
            assignConnections();
            return;
        }
        connection.idleSince = client.now();
        idle.push(connection);
        assignConnections();
    }

    /** A connection was given other settings, or its node refused them: then so is a statement that asks for them. */
    void onSettingsChanged(
            NodeConnection connection, AttemptCompletion.LocalAnswer refusal, Map<String, String> asked) {
        BackendRequest refused = refusal == null
                ? null
                : waiting.stream()
                        .filter(attempt -> attempt.statement != null
                                && attempt.statement.settings().equals(asked))
                        .findFirst()
                        .orElse(null);
        if (refused != null) {
            waiting.remove(refused);
            complete(refused, refusal, null);
        }
        onReady(connection);
    }

    /** A connection ended; one that never came up takes the attempt that has waited longest with it. */
    void onClosed(NodeConnection connection, boolean up, String refusal) {
        connectionCount--;
        idle.remove(connection);
        client.releaseDescriptor();
        if (opening.remove(connection) && waiting.size() > opening.size()) {
            complete(
                    waiting.poll(),
                    !up && refusal != null && refusal.equals(AttemptCompletion.TOO_MANY_CONNECTIONS)
                            ? new AttemptCompletion.NodeError(refusal)
                            : new AttemptCompletion.ConnectionLost(AttemptPhase.NOT_CONNECTED),
                    null);
        }
    }

    void complete(BackendRequest attempt, AttemptCompletion ending, NodeConnection by) {
        if (attempt.completed) {
            return;
        }
        attempt.completed = true;
        healthCheck = attempt == healthCheck ? null : healthCheck;
        client.complete(attempt, ending, by);
    }

    /** Stops waiting for an attempt. */
    void abandon(BackendRequest attempt, AttemptCompletion ending) {
        if (attempt.connection != null) {
            attempt.connection.abandon(ending);
        } else {
            waiting.remove(attempt);
            complete(attempt, ending, null);
        }
    }

    /** Ends connections that have been opening and the probe that has been out since before then; and idle ones. */
    void sweep(double begunBefore, double idleBefore) {
        // Guards against holding for a connection what its client, the node or the limits of repeats have called off.
        for (BackendRequest next : List.copyOf(waiting)) {
            if (client.isCancelled(next)) {
                abandon(next, new AttemptCompletion.Cancelled(next.phase));
            }
        }
        List.copyOf(opening).stream()
                .filter(c -> c.preparingSince < begunBefore)
                .forEach(NodeConnection::close);
        if (healthCheck != null && healthCheck.startedAt < begunBefore) {
            abandon(healthCheck, new AttemptCompletion.TimedOut(healthCheck.phase));
        }
        closeIdleBefore(idleBefore);
    }

    /** Closes the connections idle since before that time; returns how many. */
    int closeIdleBefore(double before) {
        var old = new ArrayList<NodeConnection>();
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            old.add(idle.pollLast());
        }
        old.forEach(NodeConnection::close);
        return old.size();
    }

    ByteBuf startupMessage() {
        return client.startupMessage();
    }

    boolean acceptsParameter(NodeMessage.ParameterStatus told) {
        return client.acceptsParameter(told.name(), told.value());
    }

    int maxAnswerBytes() {
        return client.maxAnswerBytes();
    }

    boolean reserveMemory(int bytes) {
        return client.answerMemory.tryReserve(bytes);
    }

    void releaseMemory(int bytes) {
        client.answerMemory.release(bytes);
    }

    double now() {
        return client.now();
    }

    /** No connection and no attempt is left of it. */
    boolean isUnused() {
        return connectionCount == 0 && waiting.isEmpty();
    }

    int idleCount() {
        return idle.size();
    }

    double oldestIdleSince() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSince;
    }

    void onErrorResponse(NodeMessage.ErrorResponse error) {
        client.onErrorResponse(node, error);
    }

    void logWarning(String line) {
        client.logWarning(line);
    }
}
