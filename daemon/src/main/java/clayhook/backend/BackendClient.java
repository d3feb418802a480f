package clayhook.backend;

import clayhook.Attempt;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.config.OperatorConfiguration;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.OutboundStatement;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sends attempts and health checks to nodes over pooled connections and reports their results. The routing policy
 * decides which request is sent to which node, and its timeout.
 *
 * <p>All methods must be called on the event loop; the constructor may be called on any thread. Each attempt that was
 * sent completes exactly once, possibly from within {@link #send} or another method of this class; a listener may call
 * back into this class.
 */
public final class BackendClient {
    /** The fraction of the longest idle timeout of a node after which the router closes an idle connection itself. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    /**
     * The query of a health check, which requests the load report; for nodes without load reports it is an ordinary
     * query.
     */
    private static final byte[] HEALTH_CHECK_QUERY = "SHOW load".getBytes(StandardCharsets.UTF_8);

    /** Answers being received may use one eighth of the memory; clients' statements may use another eighth. */
    private static final int MEMORY_DIVISOR = 8;

    /** SQLSTATE protocol_violation, with which a node rejects a malformed statement. */
    private static final String MALFORMED_STATEMENT = "08P01";

    /** Receives the results of attempts and decides whether waiting attempts may be sent. Called on the event loop. */
    public interface Listener {
        /**
         * Called once for each attempt when it has ended.
         *
         * @param result the outcome and the values that the node reported about itself
         * @param answer the messages to forward to the client: the node's answer, or its error to a statement of any
         *     kind; null if there are none
         * @param sqlState the SQLSTATE of that error, or null
         */
        void onAttemptFinished(Attempt attempt, AttemptResult result, List<byte[]> answer, String sqlState);

        /** Called when a health check has ended. */
        void onHealthCheck(Node node, AttemptResult result);

        /**
         * Whether an attempt that waits for a connection may still be sent. Called right before it is written, and by
         * each sweep while it waits.
         */
        boolean mayStillSend(Attempt attempt);

        /** Called after an attempt was written to its connection, right after {@link #mayStillSend} allowed it. */
        default void onAttemptWritten(Attempt attempt) {}

        /** Whether the routing policy still has the node and may send requests to it. */
        boolean isKnown(Node node);
    }

    private final MemoryBudget answerMemory;
    private final ConnectionProfile profile;
    private final Listener listener;
    private final EventCounters counters;
    private final SlewedClock clock;
    private final DescriptorBudget descriptors;
    private final double connectTimeoutSeconds;
    private final double idleTimeoutSeconds;
    private final Transport transport;
    /** Pools by node id; removed once the routing policy no longer has the node and its last connection is closed. */
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    /** The attempts that have not completed. */
    private final Map<Attempt, BackendRequest> requests = new HashMap<>();

    /**
     * Creates a client without nodes, and registers it with {@code descriptors} to close idle connections to nodes when
     * descriptors run out.
     *
     * @param memoryBytes the memory of the process, one eighth of which is available for answers
     * @param connectTimeoutSeconds the time limit from opening a connection until its startup is complete
     * @param idleSeconds the time after which nodes close idle connections
     * @param counters counts the connections opened
     */
    public BackendClient(
            Transport transport,
            SlewedClock clock,
            DescriptorBudget descriptors,
            long memoryBytes,
            double connectTimeoutSeconds,
            double idleSeconds,
            OperatorConfiguration operator,
            Listener listener,
            EventCounters counters) {
        profile = new ConnectionProfile(operator);
        answerMemory = new MemoryBudget(memoryBytes / MEMORY_DIVISOR);
        this.listener = listener;
        this.counters = counters;
        this.clock = clock;
        this.descriptors = descriptors;
        this.connectTimeoutSeconds = connectTimeoutSeconds;
        idleTimeoutSeconds = idleSeconds * IDLE_TIMEOUT_FRACTION;
        this.transport = transport;
        descriptors.setNodeEvictor(this::closeLongestIdle);
    }

    // ---- nodes ----

    /** Registers the node with this id, or updates the address of the registered one, and returns the node. */
    public Node registerNode(String id, String zone, int replicaSetId, InetSocketAddress address) {
        ConnectionPool pool =
                pools.computeIfAbsent(id, any -> new ConnectionPool(this, new Node(id, zone, replicaSetId), address));
        pool.updateAddress(address);
        return pool.node;
    }

    /** The registered node with this id, or null. */
    public Node findNode(String id) {
        ConnectionPool pool = pools.get(id);
        return pool == null ? null : pool.node;
    }

    /** Whether any node of a replica set is registered. */
    public boolean hasReplicaSet(int replicaSetId) {
        return pools.values().stream().anyMatch(pool -> pool.node.replicaSetId() == replicaSetId);
    }

    // ---- requests ----

    /** Sends an attempt to its node as soon as a connection is available. */
    public void send(Attempt attempt, OutboundStatement statement) {
        BackendRequest request = BackendRequest.forAttempt(attempt, statement, clock.now());
        requests.put(attempt, request);
        ConnectionPool pool = pools.get(attempt.node.id());
        if (pool == null) {
            // The node is no longer registered; without this the attempt would never complete.
            complete(request, new AttemptCompletion.Cancelled(request.phase), null);
        } else {
            pool.submit(request);
        }
    }

    /** Sends a health check unless one is in flight at the node or the node is not registered. */
    public void startHealthCheck(Node node) {
        ConnectionPool pool = pools.get(node.id());
        if (pool != null) {
            pool.startHealthCheck();
        }
    }

    /** Completes an attempt as timed out without waiting for its answer. No-op if it is already complete. */
    public void expire(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null) {
            poolOf(request).abandon(request, new AttemptCompletion.TimedOut(request.phase));
        }
    }

    /** Completes an attempt as cancelled without waiting for its answer. No-op if it is already complete. */
    public void cancel(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null) {
            poolOf(request).abandon(request, new AttemptCompletion.Cancelled(request.phase));
        }
    }

    /** Cancels an attempt if it still waits for a connection; one already passed to a connection is left running. */
    public void cancelIfUnsent(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null && request.connection == null) {
            cancel(attempt);
        }
    }

    private ConnectionPool poolOf(BackendRequest request) {
        return pools.get(request.node.id());
    }

    // ---- maintenance and metrics ----

    /**
     * Cancels waiting attempts that may no longer be sent, closes connections that took too long to start up or were
     * idle for too long, fails overdue health checks, and removes nodes that the routing policy no longer has.
     */
    public void sweep() {
        double startedBefore = clock.now() - connectTimeoutSeconds;
        for (ConnectionPool pool : pools.values()) {
            pool.sweep(startedBefore, idleCutoff());
        }
        pools.values().removeIf(pool -> pool.isUnused() && !listener.isKnown(pool.node));
    }

    /** Closes the connection that has been idle longest, of all nodes; returns false if none is idle. */
    private boolean closeLongestIdle() {
        ConnectionPool oldest = null;
        for (ConnectionPool pool : pools.values()) {
            oldest = oldest == null || pool.oldestIdleSince() < oldest.oldestIdleSince() ? pool : oldest;
        }
        return oldest != null
                && oldest.oldestIdleSince() < Double.POSITIVE_INFINITY
                && oldest.closeIdleBefore(Math.nextUp(oldest.oldestIdleSince())) > 0;
    }

    /** The number of attempts in flight at each node, including those waiting for a connection, as text for the log. */
    public String inFlightByNode() {
        var counts = new TreeMap<String, Integer>();
        requests.values().forEach(request -> counts.merge(request.node.id(), 1, Integer::sum));
        return counts.toString();
    }

    /** The memory of the nodes' long answers since the last call, as text for the log. */
    public String takeMemorySummary() {
        return answerMemory.takeSummary();
    }

    /** The number of connections to nodes that are open or being opened. */
    public int connectionCount() {
        return descriptors.nodeCount();
    }

    /** The number of idle connections to nodes. */
    public int idleCount() {
        return pools.values().stream().mapToInt(ConnectionPool::idleCount).sum();
    }

    // ---- called by the connection pools ----

    double now() {
        return clock.now();
    }

    /** The time, in clock seconds, before which a connection must not have become idle to still be used. */
    double idleCutoff() {
        return clock.now() - idleTimeoutSeconds;
    }

    /** Whether a waiting request may still be sent; always true for a health check. */
    boolean mayStillSend(BackendRequest request) {
        return request.isHealthCheck() || listener.mayStillSend(request.attempt);
    }

    void onWritten(BackendRequest request) {
        if (!request.isHealthCheck()) {
            listener.onAttemptWritten(request.attempt);
        }
    }

    /**
     * Whether a waiting request may no longer be sent although its timeout has not passed. One whose timeout has passed
     * is completed by {@link #expire} instead.
     */
    boolean isCancelled(BackendRequest request) {
        return !mayStillSend(request) && clock.now() < request.attempt.timeoutAt;
    }

    /** The query text of a request, with the time that now remains until its timeout. */
    byte[] queryText(BackendRequest request) {
        return request.isHealthCheck()
                ? HEALTH_CHECK_QUERY
                : request.statement.textWithTimeout(request.attempt.timeoutAt - clock.now());
    }

    /** Acquires a file descriptor for one more connection; returns false if none is left. */
    boolean reserveDescriptor() {
        return descriptors.tryAcquireForNode();
    }

    void releaseDescriptor() {
        descriptors.releaseForNode();
    }

    NodeConnection newConnection(ConnectionPool pool, InetSocketAddress address) {
        return new NodeConnection(pool, profile, answerMemory, address, clock.now());
    }

    void connect(NodeConnection connection) {
        transport.connect(
                connection.address,
                connectTimeoutSeconds,
                () -> new ChannelHandler[] {connection.decoder, connection},
                connection::close);
    }

    void countOpened() {
        counters.increment("opened");
    }

    /**
     * Reports a completion to the listener.
     *
     * @param connection the connection that received the answer, or null if the request was never written
     */
    void complete(BackendRequest request, AttemptCompletion completion, NodeConnection connection) {
        if (request.isHealthCheck()) {
            completeHealthCheck(request, AttemptCompletion.ofHealthCheck(completion), connection);
            return;
        }
        AttemptResult result = result(completion, connection, clock.now() - request.attempt.sentAt);
        requests.remove(request.attempt);
        boolean forwardsError =
                completion instanceof AttemptCompletion.NodeError && connection != null && request.hasFreeFormResult();
        boolean isAnswer = completion instanceof AttemptCompletion.Answered;
        listener.onAttemptFinished(
                request.attempt,
                result,
                messagesForClient(completion, connection, forwardsError),
                errorOf(completion, forwardsError || isAnswer ? connection : null));
    }

    private void completeHealthCheck(BackendRequest request, AttemptCompletion completion, NodeConnection connection) {
        listener.onHealthCheck(request.node, result(completion, connection, clock.now() - request.startedAt));
    }

    private static AttemptResult result(
            AttemptCompletion completion, NodeConnection connection, double elapsedSeconds) {
        return connection == null
                ? AttemptResult.withoutReport(completion.outcome(), elapsedSeconds)
                : connection.result(completion, elapsedSeconds);
    }

    /** The SQLSTATE of an error that says that the attempt had no effect, or null. */
    private static String errorOf(AttemptCompletion completion, NodeConnection connection) {
        if (completion instanceof AttemptCompletion.SettingsRejected rejected) {
            return rejected.sqlState();
        }
        return connection == null ? null : connection.sqlState();
    }

    private static List<byte[]> messagesForClient(
            AttemptCompletion completion, NodeConnection connection, boolean forwardsError) {
        if (completion instanceof AttemptCompletion.LocalAnswer local) {
            return local.messages();
        } else if (completion instanceof AttemptCompletion.SettingsRejected rejected) {
            return List.of(rejected.error());
        }
        boolean answered = forwardsError || completion instanceof AttemptCompletion.Answered;
        return answered ? connection.answerMessages() : null;
    }

    void onErrorResponse(Node node, NodeMessage.ErrorResponse error) {
        if (error.sqlState().equals(MALFORMED_STATEMENT)) {
            logWarning("node " + node.id() + " rejected a statement as malformed: " + error.errorText());
        }
    }

    void logWarning(String line) {
        Log.warn("node", line);
    }
}
