package clayhook.backend;

import clayhook.Node;
import clayhook.protocol.NodeMessage;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections to one node, and the requests that wait for one. A request takes the first connection that becomes
 * idle, opened for it or not; connections are opened while more requests wait than connections are being prepared.
 *
 * <p>Event loop only. Completions are reported from within its methods and may call back into them, which is why every
 * loop here runs over a copy.
 */
final class ConnectionPool {
    final Node node;
    private InetSocketAddress address;
    private final BackendClient client;
    /** Newest first. */
    private final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();
    /** Connections that start up or change their settings. */
    private final Set<NodeConnection> preparing = new LinkedHashSet<>();

    private final ArrayDeque<BackendRequest> waiting = new ArrayDeque<>();
    /** Connections that are idle, being prepared or carry a request. */
    private int connectionCount;
    /** The health check that is under way, or null. */
    private BackendRequest healthCheck;

    ConnectionPool(BackendClient client, Node node, InetSocketAddress address) {
        this.client = client;
        this.node = node;
        this.address = address;
    }

    // ---- requests ----

    /** Sends a health check unless one is under way. */
    void startHealthCheck() {
        if (healthCheck == null) {
            healthCheck = BackendRequest.healthCheck(node, client.now());
            submit(healthCheck);
        }
    }

    /** Sends a request as soon as a connection is idle. */
    void submit(BackendRequest request) {
        // A node may close idle connections more often than sweeps come: an expired one must not be written to.
        closeIdleBefore(client.idleCutoff());
        waiting.add(request);
        assignConnections();
    }

    /** Completes a request without waiting for its answer. */
    void abandon(BackendRequest request, AttemptCompletion completion) {
        if (request.connection != null) {
            request.connection.abandon(completion);
        } else {
            waiting.remove(request);
            complete(request, completion, null);
        }
    }

    /** Reports how a request ended, once; {@code connection} has its answer, null where it was never written. */
    void complete(BackendRequest request, AttemptCompletion completion, NodeConnection connection) {
        if (request.completed) {
            return;
        }
        request.completed = true;
        healthCheck = request == healthCheck ? null : healthCheck;
        client.complete(request, completion, connection);
    }

    private void assignConnections() {
        for (BackendRequest request : List.copyOf(waiting)) {
            if (!request.completed) {
                assignIdle(request);
            }
        }
        while (preparing.size() < waiting.size()) {
            openConnection();
        }
    }

    private void assignIdle(BackendRequest request) {
        if (idle.isEmpty()) {
            return;
        } else if (!client.mayStillSend(request)) {
            abandon(request, new AttemptCompletion.Cancelled(request.phase));
            return;
        }
        NodeConnection usable = findIdle(request);
        if (usable != null && waiting.remove(request)) {
            idle.remove(usable);
            usable.send(request, client.queryText(request));
            client.onWritten(request);
        } else if (usable == null && !idle.isEmpty() && preparing.size() < waiting.size()) {
            changeSettingsOfIdle(request);
        }
    }

    /** An idle connection that a request may be written to, or null; closes those found to be ended or not quiet. */
    private NodeConnection findIdle(BackendRequest request) {
        for (NodeConnection connection : List.copyOf(idle)) {
            if (request.canUse(connection) && connection.isQuiet()) {
                return connection;
            } else if (request.canUse(connection)) {
                connection.close();
            }
        }
        return null;
    }

    /** Gives the longest idle connection the settings that a request needs. */
    private void changeSettingsOfIdle(BackendRequest request) {
        NodeConnection connection = idle.pollLast();
        if (connection.isQuiet()) {
            preparing.add(connection);
            connection.changeSettings(request.statement.settings(), client.now());
        } else {
            connection.close();
        }
    }

    private void openConnection() {
        if (!client.reserveDescriptor()) {
            // Nothing was asked of the node: a lack of descriptors here must not count as its failure.
            complete(waiting.poll(), new AttemptCompletion.Cancelled(AttemptPhase.NOT_CONNECTED), null);
            return;
        }
        NodeConnection connection = client.newConnection(this, address);
        connectionCount++;
        preparing.add(connection);
        client.connect(connection);
    }

    // ---- what connections report ----

    /** A connection has started up. */
    void onStarted(NodeConnection connection) {
        client.countOpened();
        onReady(connection);
    }

    /**
     * A connection was given other settings, or its node refused them: then so is one request that asks for them.
     *
     * @param refusal the node's error, or null
     */
    void onSettingsChanged(
            NodeConnection connection, AttemptCompletion.LocalAnswer refusal, Map<String, String> asked) {
        BackendRequest refused = refusal == null ? null : firstWaitingFor(asked);
        if (refused != null) {
            waiting.remove(refused);
            complete(refused, refusal, null);
        }
        onReady(connection);
    }

    private BackendRequest firstWaitingFor(Map<String, String> settings) {
        return waiting.stream()
                .filter(request ->
                        !request.isHealthCheck() && request.statement.settings().equals(settings))
                .findFirst()
                .orElse(null);
    }

    /**
     * A connection that ends as soon as it is ready counts as one that failed, and takes a waiting request with it;
     * else a node that does so would be connected to in an endless loop.
     */
    private void onReady(NodeConnection connection) {
        if (connection.isQuiet()) {
            preparing.remove(connection);
            onIdle(connection);
        } else {
            connection.close();
        }
    }

    /** A connection may carry the next request. */
    void onIdle(NodeConnection connection) {
        if (connection.address.equals(address)) {
            connection.idleSince = client.now();
            idle.push(connection);
        } else {
            connection.close();
        }
        assignConnections();
    }

    /**
     * A connection ended; one that was being prepared completes the request that has waited longest.
     *
     * @param started its startup was complete
     * @param startupSqlState code of an error before that, or null
     */
    void onClosed(NodeConnection connection, boolean started, String startupSqlState) {
        connectionCount--;
        idle.remove(connection);
        client.releaseDescriptor();
        if (preparing.remove(connection) && waiting.size() > preparing.size()) {
            boolean overloaded = !started && AttemptCompletion.TOO_MANY_CONNECTIONS.equals(startupSqlState);
            complete(
                    waiting.poll(),
                    overloaded
                            ? new AttemptCompletion.NodeError(startupSqlState)
                            : new AttemptCompletion.ConnectionLost(AttemptPhase.NOT_CONNECTED),
                    null);
        }
    }

    // ---- upkeep ----

    /** The node has another address: its old connections finish what they carry and get nothing new. */
    void updateAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        closeIdleBefore(Double.POSITIVE_INFINITY);
        // Emptied first: a failure to connect to the old address must not fail requests, which count against the node.
        List<NodeConnection> outdated = List.copyOf(preparing);
        preparing.clear();
        outdated.forEach(NodeConnection::close);
        assignConnections();
    }

    /**
     * Ends what has taken too long or is not needed any more. Times are clock seconds.
     *
     * @param startedBefore closes connections prepared, and fails a health check sent, since before then
     * @param idleBefore closes connections idle since before then
     */
    void sweep(double startedBefore, double idleBefore) {
        // A request whose client, node or retry limits have cancelled it must not wait on for a connection.
        for (BackendRequest request : List.copyOf(waiting)) {
            if (client.isCancelled(request)) {
                abandon(request, new AttemptCompletion.Cancelled(request.phase));
            }
        }
        List.copyOf(preparing).stream()
                .filter(connection -> connection.preparingSince < startedBefore)
                .forEach(NodeConnection::close);
        if (healthCheck != null && healthCheck.startedAt < startedBefore) {
            abandon(healthCheck, new AttemptCompletion.TimedOut(healthCheck.phase));
        }
        closeIdleBefore(idleBefore);
    }

    /** Closes the connections idle since before a time; returns how many. */
    int closeIdleBefore(double time) {
        var expired = new ArrayList<NodeConnection>();
        while (!idle.isEmpty() && idle.peekLast().idleSince < time) {
            expired.add(idle.pollLast());
        }
        expired.forEach(NodeConnection::close);
        return expired.size();
    }

    /** Whether no connection and no request is left. */
    boolean isUnused() {
        return connectionCount == 0 && waiting.isEmpty();
    }

    int idleCount() {
        return idle.size();
    }

    /** Since when the longest idle connection has been idle, in clock seconds; infinite where none is. */
    double oldestIdleSince() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSince;
    }

    // ---- for its connections ----

    double now() {
        return client.now();
    }

    void onErrorResponse(NodeMessage.ErrorResponse error) {
        client.onErrorResponse(node, error);
    }

    void logWarning(String line) {
        client.logWarning(line);
    }
}
