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
    private static final double WORK_SECONDS = 0.001;
    /** Work in seconds that a warm node completes per second; far above the load of any run. */
    private static final double WORK_SECONDS_PER_SECOND = 2;

    final Node node;
    private final TestReplicaSet cluster;
    private final Channel listening;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private volatile TcpRelay relay;
    private volatile Behavior behavior = Behavior.WELL;
    private volatile Endpoint.State state = Endpoint.State.READY;
    private volatile double stateSince;
    private volatile double startedAt;
    /** Applied position at which the node's log is stalled, or 0 if it is not stalled. Guarded by {@code this}. */
    private double stalledAt;

    ClusterNode(TestReplicaSet cluster, Node node, Transport transport) throws InterruptedException {
        this.cluster = cluster;
        this.node = node;
        listening =
                transport.listen(transport.ephemeralAddress(0), () -> new ChannelHandler[] {
                    new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE), true), new Connection()
                });
    }

    public Node node() {
        return node;
    }

    /** The port at which routers reach the node: that of its relay, or its own if it has no relay. */
    int port() {
        TcpRelay between = relay;
        return between == null ? ownAddress().getPort() : between.address().getPort();
    }

    private InetSocketAddress ownAddress() {
        return (InetSocketAddress) listening.localAddress();
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
    public void state(Endpoint.State next) {
        stateWithoutNotice(next);
        cluster.listChanged();
    }

    /** Sets the state that the endpoint list shows from its next version on. */
    void stateWithoutNotice(Endpoint.State next) {
        stateSince = HistoryRecorder.now();
        state = next;
    }

    private boolean rejectsAsDraining() {
        return state != Endpoint.State.READY && HistoryRecorder.now() > stateSince + cluster.drainLeadSeconds();
    }

    public void behavior(Behavior next) {
        behavior = next;
        if (next == Behavior.DEAD) {
            connections.forEach(Channel::close);
        }
    }

    /** Restarts the node after it was dead; it begins in slow start. */
    public void restart() {
        startedAt = HistoryRecorder.now();
        behavior = Behavior.WELL;
        cluster.listChanged();
    }

    /** Stalls the log of a replica, or lets the replica catch up. */
    public synchronized void stall(boolean stalls) {
        stalledAt = stalls ? position() : 0;
    }

    private boolean leads() {
        return cluster.primary() == this;
    }

    /**
     * The applied position of the node. A position that the node reached as primary is never lost, even if its log is
     * stalled meanwhile.
     */
    synchronized double position() {
        double now = HistoryRecorder.now();
        if (leads()) {
            stalledAt = stalledAt > 0 ? now : 0;
            return now;
        }
        return stalledAt > 0 ? stalledAt : now - TestReplicaSet.LAG;
    }

    private synchronized void keepApplied(double position) {
        stalledAt = stalledAt > 0 ? Math.max(stalledAt, position) : 0;
    }

    /** Records the work of a request for the history's slow-start rule, which assumes a fixed node capacity. */
    void recordSlowStartWork() {
        double age = HistoryRecorder.now() - startedAt;
        double slowStartSeconds = cluster.settings.slowStartSeconds();
        if (startedAt > 0 && age < slowStartSeconds) {
            double initial = cluster.settings.initialCapacityFraction();
            double fraction = initial + (1 - initial) * age / slowStartSeconds;
            cluster.history.onWork(node, WORK_SECONDS, WORK_SECONDS_PER_SECOND * fraction);
        }
    }

    private ByteBuf row(String value, double position) {
        String load = "inflight=1,x0=" + position + ",x1=" + (leads() ? 1 : 0);
        // Rounded down, so that the reported position never exceeds the applied position.
        return StubNode.row(
                value == null ? load : value,
                leads() ? "primary" : "replica",
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
            } else if (message instanceof ClientMessage.SqlQuery sql) {
                KeyValueStatement statement = statement(sql.text());
                ByteBuf answer = statement == null ? healthCheckAnswer() : run(statement);
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

        private ByteBuf run(KeyValueStatement statement) {
            cluster.requestArrived(new NodeRequest(router, node, statement, HistoryRecorder.now()));
            if (rejectsAsDraining()) {
                return MessageEncoder.error(false, "53300", "draining", null);
            }
            RequestClass group = cluster.group(statement.requestClassName);
            if (group == null || (group.requiresPrimary() && !leads())) {
                return MessageEncoder.error(false, "25006", "not here", null);
            }
            boolean writes = group.consistency() == ConsistencyLevel.WRITE;
            double position = writes ? cluster.write(group, statement.outcomeKey) : position();
            keepApplied(position);
            cluster.history.onExecuted(statement.requestId, node, position);
            return row(Double.toString(position), writes ? position : position());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Parses a statement; returns null for a health check, which has no routing comment. */
    private static KeyValueStatement statement(byte[] text) {
        try {
            return KeyValueStatement.parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
