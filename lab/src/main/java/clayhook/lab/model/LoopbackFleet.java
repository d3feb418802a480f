package clayhook.lab.model;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.Role;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.NodeMessageDecoder;
import clayhook.serve.Server;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/**
 * Runs the fleet, load and failures of a {@link FleetSpec} on loopback sockets and the machine's clock: production
 * routers, and nodes that speak the platform's protocol and take the time that the model computes. Nodes and clients
 * share one event loop; each router has its own. Routers poll the endpoint list again after ten seconds at the latest,
 * so changes reach them within that time.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close shows as the end of its channel
public final class LoopbackFleet {
    /**
     * Maximum 99th percentile of event lateness in seconds. Above it the results measure the machine, and no verdict is
     * given.
     */
    private static final double MOST_LATE = 0.01;
    /**
     * Maximum client connections per router, far below the file descriptor limit of a process; a request without a free
     * connection fails.
     */
    private static final int MOST_CONNECTIONS = 256;
    /** Seconds in which routers check the health of their nodes before the load starts. */
    private static final double WARMING = 1;

    private static final double CONNECT_TIMEOUT = 0.25;
    private static final double GRACE = 0.25, OVERLOAD = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final Transport transport = Transport.tcp();
    private final WallClockScheduler scheduler = new WallClockScheduler(transport.eventLoop());
    private final Arrivals arrivals;
    private final RuleAudit audit = new RuleAudit(GRACE, OVERLOAD, OVERLOAD_FOR);
    private final Map<String, Asked> open = new HashMap<>();
    private final List<SocketNode> sockets = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Clients> clients = new ArrayList<>();
    private final double[] wrote;
    private SimulatedNodes world;
    private RunMetrics tally;
    private double start;
    private long nextId;
    private int listVersion = 2;

    private static final class Asked {
        final Arrivals.RequestArrival ask;
        final String id;
        final double arrived;
        final double wroteAt;

        Asked(Arrivals.RequestArrival ask, String id, double arrived, double wroteAt) {
            this.ask = ask;
            this.id = id;
            this.arrived = arrived;
            this.wroteAt = wroteAt;
        }
    }

    public LoopbackFleet(FleetSpec spec, long seed) {
        this.spec = spec;
        arrivals = new Arrivals(spec, seed);
        wrote = new double[spec.sessions()];
    }

    /** Runs the load for the given number of seconds; returns null if the event loop ran too late for a verdict. */
    public RunMetrics run(List<Failure> failures, double seconds) throws InterruptedException {
        return run(failures, seconds, so -> {});
    }

    /**
     * Runs the load likewise and passes the results so far to {@code watcher} each second, on the event loop of the
     * run.
     */
    public RunMetrics run(List<Failure> failures, double seconds, Consumer<RunMetrics> watcher)
            throws InterruptedException {
        try {
            begin();
            var ended = new CountDownLatch(1);
            transport.eventLoop().execute(() -> {
                start = scheduler.now() + WARMING;
                scheduler.scheduleAt(start, scheduler::resetLateness);
                tally = new RunMetrics(start);
                world.befall(failures, start);
                scheduler.scheduleAt(start, () -> arrive(start + seconds));
                for (int second = 1; second <= seconds; second++) {
                    scheduler.scheduleAt(start + second, () -> watcher.accept(tally));
                }
                double longest = spec.commands().stream()
                        .mapToDouble(kind -> kind.group().clientTimeoutSeconds())
                        .max()
                        .orElse(0);
                scheduler.scheduleAt(start + seconds + longest + 1, () -> {
                    audit.end(scheduler.now());
                    world.nodes()
                            .forEach(node -> tally.worked(
                                    node.node.id(),
                                    node.cores.worked()
                                            / (seconds * spec.machine().cores())));
                    tally.ended(audit.broken(), audit.first(), nextId);
                    ended.countDown();
                });
            });
            ended.await();
            return scheduler.latenessSeconds() > MOST_LATE ? null : tally;
        } finally {
            servers.forEach(Server::close);
            transport.close();
        }
    }

    /** 99th percentile of the lateness of events, in seconds. */
    public double late() {
        return scheduler.latenessSeconds();
    }

    private void begin() throws InterruptedException {
        world = new SimulatedNodes(spec, scheduler, this::died, node -> listVersion++);
        for (NodeModel node : world.nodes()) {
            sockets.add(new SocketNode(node));
        }
        var discovery = new StubDiscovery(
                transport,
                transport.ephemeralAddress(0),
                call -> call.contains("after=" + listVersion + "&")
                                || call.endsWith("after=" + listVersion + " HTTP/1.1")
                        ? null
                        : list());
        List<RequestClass> groups =
                spec.commands().stream().map(FleetSpec.Kind::group).toList();
        for (int r = 0; r < spec.routers(); r++) {
            var settings = new RoutingSettings(
                    spec.routers(),
                    spec.zones().get(r % spec.zones().size()),
                    groups,
                    true,
                    true,
                    spec.replicasCheck(),
                    true,
                    true,
                    true,
                    true,
                    true,
                    1,
                    5,
                    spec.machine().coldShare(),
                    spec.machine().warmAfter(),
                    OVERLOAD,
                    OVERLOAD_FOR,
                    1,
                    15);
            var server = new Server(
                    Transport.tcp(),
                    new RouterConfiguration(
                            "lab",
                            transport.ephemeralAddress(0),
                            discovery.address(),
                            r + 1,
                            1 << 28,
                            2 * MOST_CONNECTIONS + 64,
                            EndpointList.parse(list()),
                            settings,
                            CONNECT_TIMEOUT));
            servers.add(server);
            clients.add(new Clients(server.address()));
        }
    }

    private String list() {
        var entries = new ArrayList<String>();
        for (int i = 0; i < sockets.size(); i++) {
            Endpoint listing = world.listings().get(i);
            entries.add("{\"uid\":\"" + listing.node().id() + "\",\"endpoint\":\"127.0.0.1:"
                    + sockets.get(i).port() + "\",\"az\":\""
                    + listing.node().zone() + "\",\"pod_group\":"
                    + listing.node().replicaSetId() + ",\"state\":\""
                    + (listing.state() == Endpoint.State.DRAINING ? "draining" : "up") + "\",\"role\":\""
                    + (listing.primary() ? "primary" : "replica") + "\",\"boot_ms\":"
                    + (long) (listing.startedAt() * 1000) + "}");
        }
        return "{\"rev\":" + listVersion + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    private void died(NodeModel node) {
        sockets.stream().filter(socket -> socket.node == node).forEach(SocketNode::reset);
    }

    // ---- clients ----

    private void arrive(double until) {
        scheduler.scheduleAfter(arrivals.gap(scheduler.now() - start), () -> {
            if (scheduler.now() < until) {
                Arrivals.RequestArrival ask = arrivals.next();
                RequestClass group = ask.kind().group();
                boolean own = group.consistency() == ConsistencyLevel.SESSION && ask.session() >= 0;
                var asked = new Asked(ask, Long.toString(nextId++), scheduler.now(), own ? wrote[ask.session()] : 0);
                audit.sweep(scheduler.now());
                audit.sent(asked.id, group, asked.arrived + group.clientTimeoutSeconds());
                tally.asked(group, scheduler.now());
                open.put(asked.id, asked);
                clients.get((int) (nextId % clients.size())).send(asked);
                arrive(until);
            }
        });
    }

    private void answered(Asked asked, RoutingAction verdict, double position) {
        double now = scheduler.now();
        RequestClass group = asked.ask.kind().group();
        audit.answered(asked.id, now);
        if (verdict == RoutingAction.REJECT) {
            audit.throttled(asked.id, now);
        } else if (verdict == RoutingAction.DONE
                && group.consistency() == ConsistencyLevel.WRITE
                && asked.ask.session() >= 0) {
            wrote[asked.ask.session()] = Math.max(wrote[asked.ask.session()], position);
        }
        tally.answered(group, verdict, now - asked.arrived, asked.arrived);
        open.remove(asked.id);
    }

    /** Client connections to one router, each with at most one request at a time. */
    private final class Clients {
        private final InetSocketAddress router;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private int connections;

        Clients(InetSocketAddress router) {
            this.router = router;
        }

        void send(Asked asked) {
            Connection connection = idle.poll();
            if (connection == null && connections >= MOST_CONNECTIONS) {
                answered(asked, RoutingAction.FAIL, 0);
            } else if (connection == null) {
                connections++;
                var opened = new Connection(this, asked);
                transport.connect(
                        router,
                        CONNECT_TIMEOUT,
                        () -> new ChannelHandler[] {new NodeMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), opened},
                        opened::lost);
            } else {
                connection.send(asked);
            }
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Clients of;
        private Asked asked;
        private Channel channel;
        private boolean welcomed;
        private RoutingAction verdict = RoutingAction.DONE;
        private double position;

        Connection(Clients of, Asked asked) {
            this.of = of;
            this.asked = asked;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ctx.write(MessageEncoder.startupMessage("lab", "core"));
            send(asked);
        }

        void send(Asked next) {
            asked = next;
            verdict = RoutingAction.DONE;
            position = 0;
            RequestClass group = next.ask.kind().group();
            boolean writes = group.consistency() == ConsistencyLevel.WRITE;
            String fields = "id=" + next.id + ",c=" + group.name() + ",cluster=" + next.ask.group() + ",d="
                    + Math.round(group.clientTimeoutSeconds() * 1000) + (writes ? ",k=" + next.id : "")
                    + (next.wroteAt > 0 ? ",after=" + (long) Math.ceil(next.wroteAt * 1000) : "");
            channel.writeAndFlush(StubClient.statement(writes, fields));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof NodeMessage.ErrorResponse error) {
                verdict = error.sqlState().equals("53300") ? RoutingAction.REJECT : RoutingAction.FAIL;
            } else if (message instanceof NodeMessage.ResultMessage part && part.type() == 'D') {
                position = Double.parseDouble(part.firstColumn());
            } else if (message instanceof NodeMessage.ReadyForQuery && !welcomed) {
                welcomed = true;
            } else if (message instanceof NodeMessage.ReadyForQuery && asked != null) {
                Asked done = asked;
                asked = null;
                answered(done, verdict, position);
                of.idle.push(this);
            }
        }

        void lost() {
            of.connections--;
            of.idle.remove(this);
            if (asked != null) {
                Asked done = asked;
                asked = null;
                answered(done, RoutingAction.FAIL, 0);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---- nodes ----

    /** A modelled node behind a listening socket. */
    private final class SocketNode {
        final NodeModel node;
        private final Channel listening;
        private final List<Channel> connections = new ArrayList<>();

        SocketNode(NodeModel node) throws InterruptedException {
            this.node = node;
            listening = transport.listen(transport.ephemeralAddress(0), () -> new ChannelHandler[] {
                new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), new NodeHandler(this)
            });
        }

        int port() {
            return ((InetSocketAddress) listening.localAddress()).getPort();
        }

        /** Closes all connections of a crashed node. */
        void reset() {
            List.copyOf(connections).forEach(Channel::close);
        }
    }

    private final class NodeHandler extends ChannelInboundHandlerAdapter {
        private final SocketNode socket;
        private NodeJob job;

        NodeHandler(SocketNode socket) {
            this.socket = socket;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (socket.node.up()) {
                socket.connections.add(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            NodeModel node = socket.node;
            if (!node.up() || node.silent()) {
                return;
            }
            if (message instanceof ClientMessage.Startup) {
                scheduler.scheduleAfter(
                        spec.machine().connecting(),
                        () -> ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of())));
            } else if (message instanceof ClientMessage.UnreadableQuery) {
                ctx.writeAndFlush(StubNode.row(load(node), role(node), millis(node.position()), load(node)));
            } else if (message instanceof ClientMessage.Query query) {
                run(ctx, query.statement());
            }
        }

        private void run(ChannelHandlerContext ctx, KeyValueStatement statement) {
            NodeModel node = socket.node;
            Asked asked = open.get(statement.requestId);
            if (asked == null || (statement.isWrite && node.role != Role.PRIMARY)) {
                ctx.writeAndFlush(MessageEncoder.error(false, asked == null ? "53300" : "25006", "not here", null));
                return;
            }
            RequestClass group = asked.ask.kind().group();
            double needed =
                    switch (group.consistency()) {
                        case BOUNDED_STALENESS -> scheduler.now() - group.maxStalenessSeconds();
                        case SESSION -> asked.wroteAt;
                        default -> 0;
                    };
            if (node.warmth() < 1) {
                audit.worked(node.node, asked.ask.work(), spec.machine().cores() * node.warmth(), scheduler.now());
            }
            job = new NodeJob(asked.ask.work(), scheduler.now(), done -> {
                double position = statement.isWrite
                        ? world.group(node.node.replicaSetId()).commit()
                        : node.position();
                audit.ran(asked.id, node.node, position, needed, scheduler.now());
                ctx.writeAndFlush(StubNode.row(Double.toString(position), role(node), millis(position), load(node)));
            });
            if (!node.cores.offer(job)) {
                ctx.writeAndFlush(MessageEncoder.error(false, "53300", "full", null));
            }
        }

        private String role(NodeModel node) {
            return node.role == Role.PRIMARY ? "primary" : "replica";
        }

        /** Converts to milliseconds, rounded down so that no position beyond the applied one is reported. */
        private long millis(double position) {
            return (long) Math.floor(position * 1000);
        }

        private String load(NodeModel node) {
            return "inflight=" + node.cores.inside() + ",x0=" + node.position() + ",x1="
                    + (node.role == Role.PRIMARY ? 1 : 0);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            socket.connections.remove(ctx.channel());
            if (job != null) {
                socket.node.cores.cancel(job);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
