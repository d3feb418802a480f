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
    private static final double MAX_LATENESS_SECONDS = 0.01;
    /**
     * Maximum client connections per router, far below the file descriptor limit of a process; a request without a free
     * connection fails.
     */
    private static final int MAX_CONNECTIONS = 256;
    /** Seconds in which routers check the health of their nodes before the load starts. */
    private static final double WARM_UP_SECONDS = 1;

    private static final double CONNECT_TIMEOUT = 0.25;
    private static final double DRAIN_GRACE = 0.25, OVERLOAD_FACTOR = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final Transport transport = Transport.tcp();
    private final WallClockScheduler scheduler = new WallClockScheduler(transport.eventLoop());
    private final Arrivals arrivals;
    private final RuleAudit audit = new RuleAudit(DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_FOR);
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final List<SocketNode> sockets = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<RouterConnections> routerConnections = new ArrayList<>();
    private final double[] lastWritePositions;
    private SimulatedNodes nodes;
    private RunMetrics metrics;
    private double start;
    private long nextId;
    private int listVersion = 2;

    private static final class OpenRequest {
        final Arrivals.RequestArrival arrival;
        final String id;
        final double arrivedAt;
        final double lastWritePosition;

        OpenRequest(Arrivals.RequestArrival arrival, String id, double arrivedAt, double lastWritePosition) {
            this.arrival = arrival;
            this.id = id;
            this.arrivedAt = arrivedAt;
            this.lastWritePosition = lastWritePosition;
        }
    }

    public LoopbackFleet(FleetSpec spec, long seed) {
        this.spec = spec;
        arrivals = new Arrivals(spec, seed);
        lastWritePositions = new double[spec.sessions()];
    }

    /** Runs the load for the given number of seconds; returns null if the event loop ran too late for a verdict. */
    public RunMetrics run(List<Failure> failures, double seconds) throws InterruptedException {
        return run(failures, seconds, metricsSoFar -> {});
    }

    /**
     * Runs the load likewise and passes the results so far to {@code watcher} each second, on the event loop of the
     * run.
     */
    public RunMetrics run(List<Failure> failures, double seconds, Consumer<RunMetrics> watcher)
            throws InterruptedException {
        try {
            startFleet();
            var ended = new CountDownLatch(1);
            transport.eventLoop().execute(() -> {
                start = scheduler.now() + WARM_UP_SECONDS;
                scheduler.scheduleAt(start, scheduler::resetLateness);
                metrics = new RunMetrics(start);
                nodes.scheduleFailures(failures, start);
                scheduler.scheduleAt(start, () -> scheduleNextArrival(start + seconds));
                for (int second = 1; second <= seconds; second++) {
                    scheduler.scheduleAt(start + second, () -> watcher.accept(metrics));
                }
                double maxClientTimeout = spec.commands().stream()
                        .mapToDouble(kind -> kind.group().clientTimeoutSeconds())
                        .max()
                        .orElse(0);
                scheduler.scheduleAt(start + seconds + maxClientTimeout + 1, () -> {
                    audit.end(scheduler.now());
                    nodes.nodes()
                            .forEach(node -> metrics.recordUtilization(
                                    node.node.id(),
                                    node.cores.workedSeconds()
                                            / (seconds * spec.machine().cores())));
                    metrics.finish(audit.violations(), audit.firstViolation(), nextId);
                    ended.countDown();
                });
            });
            ended.await();
            return scheduler.latenessSeconds() > MAX_LATENESS_SECONDS ? null : metrics;
        } finally {
            servers.forEach(Server::close);
            transport.close();
        }
    }

    /** 99th percentile of the lateness of events, in seconds. */
    public double latenessSeconds() {
        return scheduler.latenessSeconds();
    }

    private void startFleet() throws InterruptedException {
        nodes = new SimulatedNodes(spec, scheduler, this::onCrash, node -> listVersion++);
        for (NodeModel node : nodes.nodes()) {
            sockets.add(new SocketNode(node));
        }
        var discovery = new StubDiscovery(
                transport,
                transport.ephemeralAddress(0),
                httpRequest -> httpRequest.contains("after=" + listVersion + "&")
                                || httpRequest.endsWith("after=" + listVersion + " HTTP/1.1")
                        ? null
                        : listJson());
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
                    OVERLOAD_FACTOR,
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
                            2 * MAX_CONNECTIONS + 64,
                            EndpointList.parse(listJson()),
                            settings,
                            CONNECT_TIMEOUT));
            servers.add(server);
            routerConnections.add(new RouterConnections(server.address()));
        }
    }

    private String listJson() {
        var entries = new ArrayList<String>();
        for (int i = 0; i < sockets.size(); i++) {
            Endpoint endpoint = nodes.endpoints().get(i);
            entries.add("{\"uid\":\"" + endpoint.node().id() + "\",\"endpoint\":\"127.0.0.1:"
                    + sockets.get(i).port() + "\",\"az\":\""
                    + endpoint.node().zone() + "\",\"pod_group\":"
                    + endpoint.node().replicaSetId() + ",\"state\":\""
                    + (endpoint.state() == Endpoint.State.DRAINING ? "draining" : "up") + "\",\"role\":\""
                    + (endpoint.primary() ? "primary" : "replica") + "\",\"boot_ms\":"
                    + (long) (endpoint.startedAt() * 1000) + "}");
        }
        return "{\"rev\":" + listVersion + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    private void onCrash(NodeModel node) {
        sockets.stream().filter(socket -> socket.node == node).forEach(SocketNode::reset);
    }

    // ---- clients ----

    private void scheduleNextArrival(double until) {
        scheduler.scheduleAfter(arrivals.nextGapSeconds(scheduler.now() - start), () -> {
            if (scheduler.now() < until) {
                Arrivals.RequestArrival arrival = arrivals.next();
                RequestClass requestClass = arrival.kind().group();
                boolean readsOwnWrites =
                        requestClass.consistency() == ConsistencyLevel.SESSION && arrival.session() >= 0;
                var request = new OpenRequest(
                        arrival,
                        Long.toString(nextId++),
                        scheduler.now(),
                        readsOwnWrites ? lastWritePositions[arrival.session()] : 0);
                audit.evictFinished(scheduler.now());
                audit.sent(request.id, requestClass, request.arrivedAt + requestClass.clientTimeoutSeconds());
                metrics.recordArrival(requestClass, scheduler.now());
                openRequests.put(request.id, request);
                routerConnections.get((int) (nextId % routerConnections.size())).send(request);
                scheduleNextArrival(until);
            }
        });
    }

    private void onFinalAnswer(OpenRequest request, RoutingAction action, double position) {
        double now = scheduler.now();
        RequestClass requestClass = request.arrival.kind().group();
        audit.answered(request.id, now);
        if (action == RoutingAction.REJECT) {
            audit.rejected(request.id, now);
        } else if (action == RoutingAction.DONE
                && requestClass.consistency() == ConsistencyLevel.WRITE
                && request.arrival.session() >= 0) {
            lastWritePositions[request.arrival.session()] =
                    Math.max(lastWritePositions[request.arrival.session()], position);
        }
        metrics.recordAnswer(requestClass, action, now - request.arrivedAt, request.arrivedAt);
        openRequests.remove(request.id);
    }

    /** Client connections to one router, each with at most one request at a time. */
    private final class RouterConnections {
        private final InetSocketAddress router;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private int connections;

        RouterConnections(InetSocketAddress router) {
            this.router = router;
        }

        void send(OpenRequest request) {
            Connection connection = idle.poll();
            if (connection == null && connections >= MAX_CONNECTIONS) {
                onFinalAnswer(request, RoutingAction.FAIL, 0);
            } else if (connection == null) {
                connections++;
                var opened = new Connection(this, request);
                transport.connect(
                        router,
                        CONNECT_TIMEOUT,
                        () -> new ChannelHandler[] {new NodeMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), opened},
                        opened::lost);
            } else {
                connection.send(request);
            }
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final RouterConnections owner;
        private OpenRequest request;
        private Channel channel;
        private boolean started;
        private RoutingAction action = RoutingAction.DONE;
        private double position;

        Connection(RouterConnections owner, OpenRequest request) {
            this.owner = owner;
            this.request = request;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ctx.write(MessageEncoder.startupMessage("lab", "core"));
            send(request);
        }

        void send(OpenRequest newRequest) {
            request = newRequest;
            action = RoutingAction.DONE;
            position = 0;
            RequestClass requestClass = newRequest.arrival.kind().group();
            boolean writes = requestClass.consistency() == ConsistencyLevel.WRITE;
            String fields = "id=" + newRequest.id + ",c=" + requestClass.name() + ",cluster="
                    + newRequest.arrival.group() + ",d="
                    + Math.round(requestClass.clientTimeoutSeconds() * 1000) + (writes ? ",k=" + newRequest.id : "")
                    + (newRequest.lastWritePosition > 0
                            ? ",after=" + (long) Math.ceil(newRequest.lastWritePosition * 1000)
                            : "");
            channel.writeAndFlush(StubClient.statement(writes, fields));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof NodeMessage.ErrorResponse error) {
                action = error.sqlState().equals("53300") ? RoutingAction.REJECT : RoutingAction.FAIL;
            } else if (message instanceof NodeMessage.ResultMessage part && part.type() == 'D') {
                position = Double.parseDouble(part.firstColumn());
            } else if (message instanceof NodeMessage.ReadyForQuery && !started) {
                started = true;
            } else if (message instanceof NodeMessage.ReadyForQuery && request != null) {
                OpenRequest finished = request;
                request = null;
                onFinalAnswer(finished, action, position);
                owner.idle.push(this);
            }
        }

        void lost() {
            owner.connections--;
            owner.idle.remove(this);
            if (request != null) {
                OpenRequest finished = request;
                request = null;
                onFinalAnswer(finished, RoutingAction.FAIL, 0);
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
            if (!node.up() || node.isHung()) {
                return;
            }
            if (message instanceof ClientMessage.Startup) {
                scheduler.scheduleAfter(
                        spec.machine().connecting(),
                        () -> ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of())));
            } else if (message instanceof ClientMessage.EmptyQuery) {
                ctx.writeAndFlush(MessageEncoder.emptyQueryResponse());
            } else if (message instanceof ClientMessage.UnreadableQuery) {
                ctx.writeAndFlush(StubNode.row(load(node), role(node), millis(node.position()), load(node)));
            } else if (message instanceof ClientMessage.Query query) {
                run(ctx, query.statement());
            }
        }

        private void run(ChannelHandlerContext ctx, KeyValueStatement statement) {
            NodeModel node = socket.node;
            OpenRequest request = openRequests.get(statement.requestId);
            if (request == null || (statement.isWrite && node.role != Role.PRIMARY)) {
                ctx.writeAndFlush(MessageEncoder.error(false, request == null ? "53300" : "25006", "not here", null));
                return;
            }
            RequestClass requestClass = request.arrival.kind().group();
            double requiredPosition =
                    switch (requestClass.consistency()) {
                        case BOUNDED_STALENESS -> scheduler.now() - requestClass.maxStalenessSeconds();
                        case SESSION -> request.lastWritePosition;
                        default -> 0;
                    };
            if (node.warmth() < 1) {
                audit.workAtColdNode(
                        node.node, request.arrival.work(), spec.machine().cores() * node.warmth(), scheduler.now());
            }
            job = new NodeJob(request.arrival.work(), scheduler.now(), finished -> {
                double position = statement.isWrite
                        ? nodes.group(node.node.replicaSetId()).commit()
                        : node.position();
                audit.executed(request.id, node.node, position, requiredPosition, scheduler.now());
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
            return "inflight=" + node.cores.jobs() + ",x0=" + node.position() + ",x1="
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
