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
 * Sends attempts and health checks to nodes over pooled connections and reports how each ended. Decides nothing: what
 * to send where, and until when, is the routing policy's.
 *
 * <p>Event loop only, but for the constructor. Each attempt that was sent completes exactly once, be it from within
 * {@link #send} or any other method here; each listener call may call back into this object.
 */
public final class BackendClient {
    /** Connections are closed after this part of the time at which nodes do so at the latest. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    /** Reads the load report; it is a health check, as is the plain query where nodes do not report. */
    private static final byte[] HEALTH_CHECK_QUERY = "SHOW load".getBytes(StandardCharsets.UTF_8);

    /** An eighth of the memory is for answers that are coming in, as clients' statements may take another. */
    private static final int MEMORY_DIVISOR = 8;

    /** SQLSTATE protocol_violation. */
    private static final String MALFORMED_STATEMENT = "08P01";

    /** Hears how attempts ended, and is asked what may be sent. Called on the event loop. */
    public interface Listener {
        /**
         * An attempt ended.
         *
         * @param result the outcome, and what the node reported of itself
         * @param answer the messages for the client after an answer, and the node's error where it sent one to a
         *     statement of any kind; or null
         * @param sqlState the code of that error, or null
         */
        void onAttemptFinished(Attempt attempt, AttemptResult result, List<byte[]> answer, String sqlState);

        /** A health check ended. */
        void onHealthCheck(Node node, AttemptResult result);

        /** Whether an attempt that waited for its connection may still be sent; asked also while it goes on waiting. */
        boolean mayStillSend(Attempt attempt);

        /** An attempt was handed to the system for sending, right after {@link #mayStillSend} allowed it. */
        default void onAttemptWritten(Attempt attempt) {}

        /** Whether the routing policy may send anything to a node yet. */
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
    /** By node id; a node leaves once the policy knows it no more and its last connection has ended. */
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    /** Each leaves with its completion. */
    private final Map<Attempt, BackendRequest> requests = new HashMap<>();

    /**
     * Registers itself with {@code descriptors} as the side that closes idle connections to nodes.
     *
     * @param memoryBytes memory of the process, of which answers take a part
     * @param connectTimeoutSeconds for a connection from its opening until its startup is complete
     * @param idleSeconds after which nodes close idle connections
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

    /** The node of an id, which is at this address from now on; registers it where it is new. */
    public Node registerNode(String id, String zone, int replicaSetId, InetSocketAddress address) {
        ConnectionPool pool =
                pools.computeIfAbsent(id, any -> new ConnectionPool(this, new Node(id, zone, replicaSetId), address));
        pool.updateAddress(address);
        return pool.node;
    }

    /** The node of an id, or null where none is registered. */
    public Node findNode(String id) {
        ConnectionPool pool = pools.get(id);
        return pool == null ? null : pool.node;
    }

    /** Whether any node of a replica set is registered. */
    public boolean hasReplicaSet(int replicaSetId) {
        return pools.values().stream().anyMatch(pool -> pool.node.replicaSetId() == replicaSetId);
    }

    // ---- requests ----

    /** Sends an attempt to its node, as soon as a connection is idle. */
    public void send(Attempt attempt, OutboundStatement statement) {
        BackendRequest request = BackendRequest.forAttempt(attempt, statement, clock.now());
        requests.put(attempt, request);
        ConnectionPool pool = pools.get(attempt.node.id());
        if (pool == null) {
            // The node was forgotten; without this the attempt would never complete.
            complete(request, new AttemptCompletion.Cancelled(request.phase), null);
        } else {
            pool.submit(request);
        }
    }

    /** Sends a health check, unless one is under way at the node or the node is not registered. */
    public void startHealthCheck(Node node) {
        ConnectionPool pool = pools.get(node.id());
        if (pool != null) {
            pool.startHealthCheck();
        }
    }

    /** The attempt's timeout has passed: completes it without waiting for its answer. No-op once it is complete. */
    public void expire(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null) {
            poolOf(request).abandon(request, new AttemptCompletion.TimedOut(request.phase));
        }
    }

    /** Completes an attempt that is not needed any more without waiting for its answer. No-op once it is complete. */
    public void cancel(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null) {
            poolOf(request).abandon(request, new AttemptCompletion.Cancelled(request.phase));
        }
    }

    /** Cancels an attempt only if it waits for its connection; once written it keeps its connection until it ends. */
    public void cancelIfUnsent(Attempt attempt) {
        BackendRequest request = requests.get(attempt);
        if (request != null && request.connection == null) {
            cancel(attempt);
        }
    }

    private ConnectionPool poolOf(BackendRequest request) {
        return pools.get(request.node.id());
    }

    // ---- upkeep ----

    /** Ends what has been connecting, in a health check or idle for too long; forgets unknown nodes. */
    public void sweep() {
        double startedBefore = clock.now() - connectTimeoutSeconds;
        for (ConnectionPool pool : pools.values()) {
            pool.sweep(startedBefore, idleCutoff());
        }
        pools.values().removeIf(pool -> pool.isUnused() && !listener.isKnown(pool.node));
    }

    /** Closes the longest idle connection of all nodes; false where none is idle. */
    private boolean closeLongestIdle() {
        ConnectionPool oldest = null;
        for (ConnectionPool pool : pools.values()) {
            oldest = oldest == null || pool.oldestIdleSince() < oldest.oldestIdleSince() ? pool : oldest;
        }
        return oldest != null
                && oldest.oldestIdleSince() < Double.POSITIVE_INFINITY
                && oldest.closeIdleBefore(Math.nextUp(oldest.oldestIdleSince())) > 0;
    }

    /** The attempts under way at each node, written or waiting, as text for the log. */
    public String inFlightByNode() {
        var counts = new TreeMap<String, Integer>();
        requests.values().forEach(request -> counts.merge(request.node.id(), 1, Integer::sum));
        return counts.toString();
    }

    /** Connections to nodes that are open or being opened. */
    public int connectionCount() {
        return descriptors.nodeCount();
    }

    /** Connections to nodes that wait for a request. */
    public int idleCount() {
        return pools.values().stream().mapToInt(ConnectionPool::idleCount).sum();
    }

    // ---- for the pools ----

    double now() {
        return clock.now();
    }

    /** Connections idle since before this time, in clock seconds, are not written to. */
    double idleCutoff() {
        return clock.now() - idleTimeoutSeconds;
    }

    /** Whether a request that waited may still be sent. */
    boolean mayStillSend(BackendRequest request) {
        return request.isHealthCheck() || listener.mayStillSend(request.attempt);
    }

    void onWritten(BackendRequest request) {
        if (!request.isHealthCheck()) {
            listener.onAttemptWritten(request.attempt);
        }
    }

    /** Whether a request may not be sent any more, but for its timeout, which is a completion of its own. */
    boolean isCancelled(BackendRequest request) {
        return !mayStillSend(request) && clock.now() < request.attempt.timeoutAt;
    }

    /** The text to write for a request now. */
    byte[] queryText(BackendRequest request) {
        return request.isHealthCheck()
                ? HEALTH_CHECK_QUERY
                : request.statement.textWithTimeout(request.attempt.timeoutAt - clock.now());
    }

    /** Takes a descriptor for one more connection; false where none is left. */
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

    /** Reports a completion; {@code connection} has the answer, null where the request was never written. */
    void complete(BackendRequest request, AttemptCompletion completion, NodeConnection connection) {
        double sentAt = request.isHealthCheck() ? request.startedAt : request.attempt.sentAt;
        double elapsedSeconds = clock.now() - sentAt;
        AttemptResult result = connection == null
                ? AttemptResult.withoutReport(completion.outcome(), elapsedSeconds)
                : connection.result(completion, elapsedSeconds);
        if (request.isHealthCheck()) {
            listener.onHealthCheck(request.node, result);
            return;
        }
        requests.remove(request.attempt);
        boolean forwardsError =
                completion instanceof AttemptCompletion.NodeError && connection != null && request.hasFreeFormResult();
        listener.onAttemptFinished(
                request.attempt,
                result,
                messagesForClient(completion, connection, forwardsError),
                forwardsError ? connection.sqlState() : null);
    }

    private static List<byte[]> messagesForClient(
            AttemptCompletion completion, NodeConnection connection, boolean forwardsError) {
        if (completion instanceof AttemptCompletion.LocalAnswer local) {
            return local.messages();
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
