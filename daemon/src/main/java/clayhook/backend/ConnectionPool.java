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
import java.util.stream.Stream;

/**
 * The connections to one node and the requests waiting for one of them. A waiting request takes the first connection
 * that becomes idle, whether or not it was opened for that request. Connections are opened while more requests wait
 * than connections are being prepared or verified.
 *
 * <p>Event loop only. Completions are reported from within the methods of this class and may call back into it, so
 * every loop iterates over a copy.
 */
final class ConnectionPool {
    final Node node;
    private InetSocketAddress address;
    private final BackendClient client;
    /** Idle connections, the most recently used first. */
    private final ArrayDeque<NodeConnection> idle = new ArrayDeque<>();
    /** Connections that are starting up or changing their session settings. */
    private final Set<NodeConnection> preparing = new LinkedHashSet<>();
    /** Connections whose request is answered and that await the answer to a barrier query before they are idle. */
    private final Set<NodeConnection> verifying = new LinkedHashSet<>();

    private final ArrayDeque<BackendRequest> waiting = new ArrayDeque<>();
    /** The number of connections that are idle, being prepared or in use. */
    private int connectionCount;
    /** The health check in flight, or null. */
    private BackendRequest healthCheck;

    ConnectionPool(BackendClient client, Node node, InetSocketAddress address) {
        this.client = client;
        this.node = node;
        this.address = address;
    }

    // ---- requests ----

    /** Sends a health check unless one is in flight. */
    void startHealthCheck() {
        if (healthCheck == null) {
            healthCheck = BackendRequest.healthCheck(node, client.now());
            submit(healthCheck);
        }
    }

    /** Sends a request as soon as a connection is available. */
    void submit(BackendRequest request) {
        // Nodes may close idle connections sooner than the next sweep: an expired one must not be written to.
        closeIdleBefore(client.idleCutoff());
        waiting.add(request);
        assignConnections();
    }

    /** Completes a request without waiting for its answer, and closes the connection that it was written to. */
    void abandon(BackendRequest request, AttemptCompletion completion) {
        if (request.connection != null) {
            request.connection.abandon(completion);
        } else {
            waiting.remove(request);
            complete(request, completion, null);
        }
    }

    /**
     * Reports the completion of a request unless one was reported before.
     *
     * @param connection the connection that received the answer, or null if the request was never written
     */
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
        while (preparing.size() + verifying.size() < waiting.size()) {
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

    /**
     * Returns an idle connection to which a request can be written, or null. Closes those found to be closed by the
     * node or to have received unsolicited bytes.
     */
    private NodeConnection findIdle(BackendRequest request) {
        for (NodeConnection connection : List.copyOf(idle)) {
            if (request.canUse(connection) && connection.isReusable()) {
                return connection;
            } else if (request.canUse(connection)) {
                connection.close();
            }
        }
        return null;
    }

    /** Changes the session settings of the connection that has been idle longest to those that a request needs. */
    private void changeSettingsOfIdle(BackendRequest request) {
        NodeConnection connection = idle.pollLast();
        if (connection.isReusable()) {
            preparing.add(connection);
            connection.changeSettings(request.statement.settings(), client.now());
        } else {
            connection.close();
        }
    }

    private void openConnection() {
        if (!client.reserveDescriptor()) {
            // Nothing was sent to the node: a lack of local descriptors must not count as a failure of the node.
            complete(waiting.poll(), new AttemptCompletion.Cancelled(AttemptPhase.NOT_CONNECTED), null);
            return;
        }
        NodeConnection connection = client.newConnection(this, address);
        connectionCount++;
        preparing.add(connection);
        client.connect(connection);
    }

    // ---- events from the connections ----

    /** Called when the startup of a connection is complete. */
    void onStarted(NodeConnection connection) {
        client.countOpened();
        onReady(connection);
    }

    /**
     * Called when a connection has changed its session settings or the node has rejected the change. A rejection
     * completes one waiting request that needs the same settings.
     *
     * @param refusal the node's error, or null if the settings were changed
     * @param requestedSettings the requested settings
     */
    void onSettingsChanged(
            NodeConnection connection,
            AttemptCompletion.SettingsRejected refusal,
            Map<String, String> requestedSettings) {
        BackendRequest refused = refusal == null ? null : firstWaitingFor(requestedSettings);
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
     * Makes a connection idle. One that the node closed as soon as it became ready counts as failed and completes a
     * waiting request; otherwise the router would reconnect to such a node in an endless loop.
     */
    private void onReady(NodeConnection connection) {
        if (connection.isReusable()) {
            preparing.remove(connection);
            onIdle(connection);
        } else {
            connection.close();
        }
    }

    /**
     * Called when the request of a connection is answered and the connection is to be verified; {@link #onIdle} is
     * called once that is done. Returns false if it must be closed instead, because the node's address has changed.
     */
    boolean startVerifying(NodeConnection connection) {
        return connection.address.equals(address) && verifying.add(connection);
    }

    /** Called when a connection is available for the next request. Closes it if the node's address has changed. */
    void onIdle(NodeConnection connection) {
        verifying.remove(connection);
        if (connection.address.equals(address)) {
            connection.idleSince = client.now();
            idle.push(connection);
        } else {
            connection.close();
        }
        assignConnections();
    }

    /**
     * Called when a connection was closed. If it was being prepared and the remaining ones in preparation are fewer
     * than the waiting requests, completes the request that has waited longest. If it was being verified, opens another
     * connection for a request that waits for it.
     *
     * @param started whether its startup was complete
     * @param startupSqlState the SQLSTATE of an error during startup, or null
     */
    void onClosed(NodeConnection connection, boolean started, String startupSqlState) {
        connectionCount--;
        idle.remove(connection);
        client.releaseDescriptor();
        if (verifying.remove(connection)) {
            assignConnections();
        }
        if (preparing.remove(connection) && waiting.size() > preparing.size()) {
            BackendRequest oldest = waiting.poll();
            boolean overloaded = AttemptCompletion.TOO_MANY_CONNECTIONS.equals(startupSqlState);
            boolean draining = oldest.isHealthCheck() && AttemptCompletion.CANNOT_CONNECT_NOW.equals(startupSqlState);
            complete(
                    oldest,
                    !started && (overloaded || draining)
                            ? new AttemptCompletion.NodeError(startupSqlState)
                            : new AttemptCompletion.ConnectionLost(AttemptPhase.NOT_CONNECTED),
                    null);
        }
    }

    // ---- maintenance ----

    /** Sets the node's address. If it differs, connections to the old one finish their requests and get no new ones. */
    void updateAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        closeIdleBefore(Double.POSITIVE_INFINITY);
        // Cleared before closing: a failed connection to the old address must not fail a request, which would count
        // against the node.
        List<NodeConnection> outdated = new ArrayList<>(preparing);
        outdated.addAll(verifying);
        preparing.clear();
        verifying.clear();
        outdated.forEach(NodeConnection::close);
        assignConnections();
    }

    /**
     * Cancels waiting requests that may no longer be sent, closes overdue connections and fails an overdue health
     * check.
     *
     * @param startedBefore preparations, verifications and health checks that started before this time are overdue;
     *     clock seconds
     * @param idleBefore connections idle since before this time are closed; clock seconds
     */
    void sweep(double startedBefore, double idleBefore) {
        // A request that its client, its node's state or a retry limit has cancelled must not keep waiting.
        for (BackendRequest request : List.copyOf(waiting)) {
            if (client.isCancelled(request)) {
                abandon(request, new AttemptCompletion.Cancelled(request.phase));
            }
        }
        Stream.concat(preparing.stream(), verifying.stream())
                .filter(connection -> connection.preparingSince < startedBefore)
                .toList()
                .forEach(NodeConnection::close);
        if (healthCheck != null && healthCheck.startedAt < startedBefore) {
            abandon(healthCheck, new AttemptCompletion.TimedOut(healthCheck.phase));
        }
        closeIdleBefore(idleBefore);
    }

    /** Closes the connections idle since before a time, in clock seconds; returns their number. */
    int closeIdleBefore(double time) {
        var expired = new ArrayList<NodeConnection>();
        while (!idle.isEmpty() && idle.peekLast().idleSince < time) {
            expired.add(idle.pollLast());
        }
        expired.forEach(NodeConnection::close);
        return expired.size();
    }

    /** Whether the pool has neither connections nor waiting requests. */
    boolean isUnused() {
        return connectionCount == 0 && waiting.isEmpty();
    }

    int idleCount() {
        return idle.size();
    }

    /** The time since which the longest idle connection has been idle, in clock seconds; infinite if none is idle. */
    double oldestIdleSince() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSince;
    }

    // ---- called by the connections ----

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
