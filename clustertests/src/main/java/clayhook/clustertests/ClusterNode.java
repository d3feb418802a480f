package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.Transport;
import clayhook.warmup.StubNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A simulated node that listens on a socket and records in the history which statements it executes for which router.
 * Any thread may change its state.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a write or close that fails also closes its channel
public final class ClusterNode {
    /** How the node handles statements. */
    public enum Behavior {
        /** Executes statements and answers them. */
        WELL,
        /** Reads statements and neither executes nor answers them. */
        HUNG,
        /** Executes statements and does not answer: the outcome of a write is known only to the node. */
        SILENT,
        /** Executes statements and closes the connection instead of answering. */
        RESETTING,
        /** Closes each connection as soon as it is accepted. */
        DEAD
    }

    /** Node time that one request takes, in seconds. */
    private static final double REQUEST_WORK_SECONDS = 0.001;
    /** Work in seconds that a warm node completes per second; far above the load of any run. */
    private static final double WARM_CAPACITY = 2;

    final Node node;
    private final TestReplicaSet replicaSet;
    private final Channel serverChannel;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private volatile TcpRelay relay;
    private volatile Behavior behavior = Behavior.WELL;
    private volatile Endpoint.State state = Endpoint.State.READY;
    private volatile double stateSince;
    private volatile double startedAt;
    /** Applied position at which the node's log is stalled, or 0 if it is not stalled. Guarded by {@code this}. */
    private double stalledPosition;

    ClusterNode(TestReplicaSet replicaSet, Node node, Transport transport) throws InterruptedException {
        this.replicaSet = replicaSet;
        this.node = node;
        serverChannel =
                transport.listen(transport.ephemeralAddress(0), () -> new ChannelHandler[] {
                    new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE), true), new Connection()
                });
    }

    public Node node() {
        return node;
    }

    /** The port at which routers reach the node: that of its relay, or its own if it has no relay. */
    int port() {
        TcpRelay currentRelay = relay;
        return currentRelay == null
                ? ownAddress().getPort()
                : currentRelay.address().getPort();
    }

    private InetSocketAddress ownAddress() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Puts a relay in front of the node; routers use it from the next version of the endpoint list on. */
    void putBehindRelay() throws IOException {
        relay = new TcpRelay(ownAddress());
    }

    /** The relay in front of the node, or null if there is none. */
    TcpRelay relay() {
        return relay;
    }

    Endpoint.State state() {
        return state;
    }

    double startedAt() {
        return startedAt;
    }

    /** Sets the state that the endpoint list shows, and publishes a new version of the list. */
    public void setState(Endpoint.State next) {
        setStateWithoutPublishing(next);
        replicaSet.publishList();
    }

    /** Sets the state that the endpoint list shows from its next version on. */
    void setStateWithoutPublishing(Endpoint.State next) {
        stateSince = HistoryRecorder.now();
        state = next;
    }

    private boolean rejectsAsDraining() {
        return state != Endpoint.State.READY && HistoryRecorder.now() > stateSince + replicaSet.drainLeadSeconds();
    }

    public void setBehavior(Behavior next) {
        behavior = next;
        if (next == Behavior.DEAD) {
            connections.forEach(Channel::close);
        }
    }

    /** Restarts the node after it was dead; it begins in slow start. */
    public void restart() {
        startedAt = HistoryRecorder.now();
        behavior = Behavior.WELL;
        replicaSet.publishList();
    }

    /** Stalls the log of a replica, or lets the replica catch up. */
    public synchronized void setLogStalled(boolean isStalled) {
        stalledPosition = isStalled ? position() : 0;
    }

    private boolean isPrimary() {
        return replicaSet.primary() == this;
    }

    /**
     * The applied position of the node. A position that the node reached as primary is never lost, even if its log is
     * stalled meanwhile.
     */
    synchronized double position() {
        double now = HistoryRecorder.now();
        if (isPrimary()) {
            stalledPosition = stalledPosition > 0 ? now : 0;
            return now;
        }
        return stalledPosition > 0 ? stalledPosition : now - TestReplicaSet.REPLICATION_LAG_SECONDS;
    }

    private synchronized void raiseStalledPosition(double position) {
        stalledPosition = stalledPosition > 0 ? Math.max(stalledPosition, position) : 0;
    }

    /** Records the work of a request for the history's slow-start rule, which assumes a fixed node capacity. */
    void recordSlowStartWork() {
        double age = HistoryRecorder.now() - startedAt;
        double slowStartSeconds = replicaSet.settings.slowStartSeconds();
        if (startedAt > 0 && age < slowStartSeconds) {
            double initial = replicaSet.settings.initialCapacityFraction();
            double fraction = initial + (1 - initial) * age / slowStartSeconds;
            replicaSet.history.onWork(node, REQUEST_WORK_SECONDS, WARM_CAPACITY * fraction);
        }
    }

    private ByteBuf row(String value, double position) {
        String load = "inflight=1,x0=" + position + ",x1=" + (isPrimary() ? 1 : 0);
        // Rounded down, so that the reported position never exceeds the applied position.
        return StubNode.row(
                value == null ? load : value,
                isPrimary() ? "primary" : "replica",
                (long) Math.floor(position * 1000),
                load);
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        /** User name with which the router connects; each router uses its own name. */
        private String router = "";

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            if (behavior == Behavior.DEAD) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (behavior == Behavior.HUNG) {
                return;
            } else if (message instanceof ClientMessage.Startup startup) {
                router = startup.parameters().getOrDefault("user", "");
                ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of()));
            } else if (message instanceof ClientMessage.EmptyQuery) {
                ctx.writeAndFlush(MessageEncoder.emptyQueryResponse());
            } else if (message instanceof ClientMessage.SqlQuery sql) {
                KeyValueStatement statement = parseStatement(sql.text());
                ByteBuf answer = statement == null ? healthCheckAnswer() : execute(statement);
                if (statement == null || behavior == Behavior.WELL) {
                    ctx.writeAndFlush(answer);
                } else if (behavior != Behavior.SILENT) {
                    ctx.close();
                }
            }
        }

        /** Answers a health check; a draining node fails it at once, even while it still executes statements. */
        private ByteBuf healthCheckAnswer() {
            return state == Endpoint.State.READY
                    ? row(null, position())
                    : MessageEncoder.error(false, "57P03", "draining", null);
        }

        private ByteBuf execute(KeyValueStatement statement) {
            replicaSet.onRequest(new NodeRequest(router, node, statement, HistoryRecorder.now()));
            if (rejectsAsDraining()) {
                return MessageEncoder.error(false, "53300", "draining", null);
            }
            RequestClass requestClass = replicaSet.requestClass(statement.requestClassName);
            if (requestClass == null || (requestClass.requiresPrimary() && !isPrimary())) {
                return MessageEncoder.error(false, "25006", "not here", null);
            }
            boolean isWrite = requestClass.consistency() == ConsistencyLevel.WRITE;
            double position = isWrite ? replicaSet.commitWrite(requestClass, statement.outcomeKey) : position();
            raiseStalledPosition(position);
            replicaSet.history.onExecuted(statement.requestId, node, position);
            return row(Double.toString(position), isWrite ? position : position());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Parses a statement; returns null for a health check, which has no routing comment. */
    private static KeyValueStatement parseStatement(byte[] text) {
        try {
            return KeyValueStatement.parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
