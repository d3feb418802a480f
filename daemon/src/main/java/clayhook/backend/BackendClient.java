package clayhook.backend;

import clayhook.Attempt;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.config.OperatorConfiguration;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.OutboundStatement;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sends dispatches and probes to nodes over pooled connections and tells how each ended. */
public final class BackendClient {
    /** Connections are closed after this part of the time at which nodes do so at the latest. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;
    /** Reads the load report; it is a probe, as is the plain query where nodes do not report. */
    private static final byte[] HEALTH_CHECK_QUERY = "SHOW load".getBytes(StandardCharsets.UTF_8);

    /** Hears how attempts ended. */
    public interface Listener {
        /**
         * {@code answer} holds the messages for the client after an answer, and the node's error where it sent one to a
         * statement of any kind; {@code error} is that error's code. Either may be null.
         */
        void onAttemptFinished(Attempt dispatch, AttemptResult reply, List<byte[]> answer, String error);

        void onHealthCheck(Node node, AttemptResult reply);

        /** Whether a dispatch that waited for its connection may still go out; asked also while it goes on waiting. */
        boolean mayStillSend(Attempt dispatch);

        /** Whether anything may be sent to that node yet. */
        boolean isKnown(Node node);
    }

    /** An eighth of the memory for answers that are coming in, as clients' statements may take another. */
    private static final int MEMORY_DIVISOR = 8;

    final MemoryBudget answerMemory;
    private final OperatorConfiguration operator;
    private final Listener listener;
    private final EventCounters counters;
    private final SlewedClock clock;
    private final DescriptorBudget descriptors;
    private final double connectTimeoutSeconds;
    private final double idleTimeoutSeconds;
    private final Transport transport;
    /** Nodes leave once they are known no more and their last connection has ended. */
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    /** Each leaves with its outcome. */
    private final Map<Attempt, BackendRequest> requests = new HashMap<>();

    public BackendClient(
            Transport transport,
            SlewedClock clock,
            DescriptorBudget descriptors,
            long memory,
            double connectTimeout,
            double idle,
            OperatorConfiguration operator,
            Listener listener,
            EventCounters counters) {
        this.counters = counters;
        this.operator = operator;
        answerMemory = new MemoryBudget(memory / MEMORY_DIVISOR);
        this.listener = listener;
        this.clock = clock;
        this.descriptors = descriptors;
        this.connectTimeoutSeconds = connectTimeout;
        this.idleTimeoutSeconds = idle * IDLE_TIMEOUT_FRACTION;
        this.transport = transport;
        descriptors.setNodeEvictor(this::closeLongestIdle);
    }

    /** The node of that id, at that address. */
    public Node registerNode(String id, String zone, int group, InetSocketAddress address) {
        ConnectionPool pool =
                pools.computeIfAbsent(id, any -> new ConnectionPool(this, new Node(id, zone, group), address));
        pool.updateAddress(address);
        return pool.node;
    }

    /** The node of that id, or null for one that was not listed here. */
    public Node findNode(String id) {
        ConnectionPool pool = pools.get(id);
        return pool == null ? null : pool.node;
    }

    /** Whether any node of that group was ever listed. */
    public boolean hasReplicaSet(int group) {
        return pools.values().stream().anyMatch(pool -> pool.node.replicaSetId() == group);
    }

    public void send(Attempt dispatch, OutboundStatement outgoing) {
        var attempt = new BackendRequest(dispatch.node, dispatch, outgoing, clock.now());
        requests.put(dispatch, attempt);
        ConnectionPool pool = pools.get(dispatch.node.id());
        if (pool == null) {
            // Guards against an attempt without an ending, at a node that was forgotten.
            complete(attempt, new AttemptCompletion.Cancelled(attempt.phase), null);
        } else {
            pool.submit(attempt);
        }
    }

    public void startHealthCheck(Node node) {
        ConnectionPool pool = pools.get(node.id());
        if (pool != null) {
            pool.startHealthCheck();
        }
    }

    /** The time to wait for a dispatch is over. */
    public void expire(Attempt dispatch) {
        BackendRequest attempt = requests.get(dispatch);
        if (attempt != null) {
            pools.get(dispatch.node.id()).abandon(attempt, new AttemptCompletion.TimedOut(attempt.phase));
        }
    }

    public void cancel(Attempt dispatch) {
        BackendRequest attempt = requests.get(dispatch);
        if (attempt != null) {
            pools.get(dispatch.node.id()).abandon(attempt, new AttemptCompletion.Cancelled(attempt.phase));
        }
    }

    /** Its client has gone: it goes no more if it waits for its connection; once written it keeps its connection. */
    public void cancelIfUnsent(Attempt dispatch) {
        BackendRequest attempt = requests.get(dispatch);
        if (attempt != null && attempt.connection == null) {
            cancel(dispatch);
        }
    }

    /** Closes what has been opening, probing or idle for too long. */
    public void sweep() {
        double begunBefore = clock.now() - connectTimeoutSeconds;
        for (ConnectionPool pool : pools.values()) {
            pool.sweep(begunBefore, idleCutoff());
        }
        pools.values().removeIf(pool -> pool.isUnused() && !listener.isKnown(pool.node));
    }

    /** What has been idle since before then is not written to. */
    double idleCutoff() {
        return clock.now() - idleTimeoutSeconds;
    }

    /** Whether an attempt that waited may still go out. */
    boolean mayStillSend(BackendRequest attempt) {
        return attempt.attempt == null || listener.mayStillSend(attempt.attempt);
    }

    /** One that waits may not go out any more, and not for its time limit, which is an ending of its own. */
    boolean isCancelled(BackendRequest attempt) {
        return !mayStillSend(attempt) && clock.now() < attempt.attempt.timeoutAt;
    }

    /** What to write for an attempt now. */
    byte[] queryText(BackendRequest attempt) {
        return attempt.attempt == null
                ? HEALTH_CHECK_QUERY
                : attempt.statement.textWithTimeout(attempt.attempt.timeoutAt - clock.now());
    }

    /** Gives the longest idle connection of any node back, if there is one. */
    private boolean closeLongestIdle() {
        ConnectionPool oldest = null;
        for (ConnectionPool pool : pools.values()) {
            oldest = oldest == null || pool.oldestIdleSince() < oldest.oldestIdleSince() ? pool : oldest;
        }
        return oldest != null
                && oldest.oldestIdleSince() < Double.POSITIVE_INFINITY
                && oldest.closeIdleBefore(Math.nextUp(oldest.oldestIdleSince())) > 0;
    }

    /** What really is under way at each node: attempts that were written or wait. */
    public String inFlightByNode() {
        var counts = new TreeMap<String, Integer>();
        requests.values().forEach(attempt -> counts.merge(attempt.node.id(), 1, Integer::sum));
        return counts.toString();
    }

    /** How many connections stand or open. */
    public int connectionCount() {
        return descriptors.nodeCount();
    }

    /** How many of them wait for something to carry. */
    public int idleCount() {
        return pools.values().stream().mapToInt(ConnectionPool::idleCount).sum();
    }

    boolean reserveDescriptor() {
        return descriptors.tryAcquireForNode();
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

    void releaseDescriptor() {
        descriptors.releaseForNode();
    }

    ByteBuf startupMessage() {
        return operator.statements() == null
                ? MessageEncoder.startupMessage(operator.user(), operator.database())
                : MessageEncoder.startupMessage(operator.user(), operator.database(), "client_encoding", "UTF8");
    }

    /** Whether a node that tells this of itself cuts statements as they are cut here. */
    boolean acceptsParameter(String name, String value) {
        return operator.statements() == null
                || switch (name) {
                    case "client_encoding" -> value.equalsIgnoreCase("UTF8");
                    case "standard_conforming_strings" ->
                        value.equals(operator.statements().rules().conforming() ? "on" : "off");
                    default -> true;
                };
    }

    /** Bytes of an answer to a statement of any kind. */
    int maxAnswerBytes() {
        return operator.statements().maxAnswerBytes();
    }

    double now() {
        return clock.now();
    }

    void complete(BackendRequest attempt, AttemptCompletion ending, NodeConnection by) {
        double took = clock.now() - (attempt.attempt == null ? attempt.startedAt : attempt.attempt.sentAt);
        AttemptResult reply =
                by == null ? AttemptResult.withoutReport(ending.outcome(), took) : by.result(ending, took);
        if (attempt.attempt == null) {
            listener.onHealthCheck(attempt.node, reply);
        } else {
            requests.remove(attempt.attempt);
            boolean refused = ending instanceof AttemptCompletion.NodeError
                    && by != null
                    && attempt.statement.hasFreeFormResult();
            List<byte[]> answer = ending instanceof AttemptCompletion.LocalAnswer concluded
                    ? concluded.messages()
                    : refused || ending instanceof AttemptCompletion.Answered ? by.answerMessages() : null;
            listener.onAttemptFinished(attempt.attempt, reply, answer, refused ? by.sqlState() : null);
        }
    }

    void onErrorResponse(Node node, NodeMessage.ErrorResponse error) {
        if (error.sqlState().equals("08P01")) {
            logWarning("node " + node.id() + " calls a statement malformed: " + error.errorText());
        }
    }

    void logWarning(String line) {
        Log.warn("node", line);
    }
}
