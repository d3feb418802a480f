package clayhook.lab.model;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RoutingSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A complete deployment in virtual time: nodes, routers, clients and injected failures. The same seed gives the same
 * run.
 */
public final class SimulatedFleet {
    /** Start of virtual time in seconds; far from zero, because zero stands for "never". */
    private static final double START = 1_000_000;
    /** Seconds after which a connection attempt or health check has failed; far above the latency to any node. */
    private static final double CONNECT_TIMEOUT = 0.25;
    /** Seconds after a router is notified of a drain in which it may still send requests to the node. */
    private static final double DRAIN_GRACE = 0.25;

    private static final double OVERLOAD_FACTOR = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final VirtualScheduler scheduler = new VirtualScheduler(START);
    private final SimulatedNodes nodes;
    private final List<RouterModel> routers = new ArrayList<>();
    private final RuleAudit audit = new RuleAudit(DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_FOR);
    private final RunMetrics metrics;
    private final Arrivals arrivals;
    /** Position of the last answered write, by session. */
    private final double[] lastWritePositions;
    /** Time at which the last write was answered, by session; the router that answered it is in the next array. */
    private final double[] lastWriteTimes;

    private final RouterModel[] lastWriteRouters;
    private int nextRouter;
    private long nextRequestNumber;
    /** The latest published endpoint-list entry of each node; at most one entry per node. */
    private final Map<NodeModel, PublishedEntry> published = new LinkedHashMap<>();

    private long revision;
    private final SplittableRandom listSpreadRandom;

    private record PublishedEntry(Endpoint endpoint, long revision) {}

    private static final class SimulatedRequest extends Request {
        final Arrivals.RequestArrival arrival;
        /** Last-write position of the session when the request was issued; 0 if the read need not see it. */
        final double requiredPosition;

        final String writeId;

        SimulatedRequest(
                Arrivals.RequestArrival arrival,
                double requiredPosition,
                double lastWritePosition,
                double now,
                long number) {
            super(
                    arrival.kind().group(),
                    arrival.group(),
                    session(arrival),
                    lastWritePosition,
                    now,
                    now + arrival.kind().group().clientTimeoutSeconds());
            this.arrival = arrival;
            this.requiredPosition = requiredPosition;
            this.writeId = "c" + number;
        }

        static String session(Arrivals.RequestArrival arrival) {
            return arrival.session() < 0 ? null : "s" + arrival.session();
        }
    }

    public SimulatedFleet(FleetSpec spec, List<Failure> failures, long seed) {
        this(spec, failures, seed, PeerLinkFactory.NONE);
    }

    public SimulatedFleet(FleetSpec spec, List<Failure> failures, long seed, PeerLinkFactory peerLinks) {
        this.spec = spec;
        listSpreadRandom = new SplittableRandom(seed);
        arrivals = new Arrivals(spec, seed);
        metrics = new RunMetrics(START);
        lastWritePositions = new double[spec.sessions()];
        lastWriteTimes = new double[spec.sessions()];
        lastWriteRouters = new RouterModel[spec.sessions()];
        nodes = new SimulatedNodes(spec, scheduler, this::onCrash, this::onEndpointChange);
        List<RequestClass> requestClasses =
                spec.commands().stream().map(FleetSpec.Kind::group).toList();
        for (int r = 0; r < spec.routers(); r++) {
            var settings = new RoutingSettings(
                    spec.routers(),
                    spec.zones().get(r % spec.zones().size()),
                    requestClasses,
                    false,
                    true,
                    spec.replicasCheck(),
                    routersKnowLastWrites(),
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
            routers.add(new RouterModel(scheduler, this, settings, seed * 31 + r, this::onFinalAnswer));
        }
        List<PeerLink> peers = peerLinks.createLinks(scheduler, routers, seed);
        List<Endpoint> endpoints = nodes.endpoints();
        for (int r = 0; r < routers.size(); r++) {
            routers.get(r).connectPeers(peers.get(r));
            routers.get(r).onEndpointList(endpoints, true, revision);
        }
        nodes.scheduleFailures(failures, START);
        scheduleNextArrival();
    }

    /** Returns whether routers receive last-write positions, either with the request or from peers. */
    private boolean routersKnowLastWrites() {
        return spec.contact().marksCarried() || spec.contact().shares();
    }

    /** Runs the load for the given number of seconds, then until every issued request has its final answer. */
    public RunMetrics run(double seconds) {
        stopAt = START + seconds;
        scheduler.runUntil(stopAt);
        double maxClientTimeout = spec.commands().stream()
                .mapToDouble(kind -> kind.group().clientTimeoutSeconds())
                .max()
                .orElse(0);
        scheduler.runUntil(stopAt + maxClientTimeout + 1);
        audit.end(scheduler.now());
        nodes.nodes()
                .forEach(node -> metrics.recordUtilization(
                        node.node.id(),
                        node.cores.workedSeconds() / (seconds * spec.machine().cores())));
        metrics.finish(audit.violations(), audit.firstViolation(), scheduler.scheduledEvents());
        return metrics;
    }

    private double stopAt = Double.POSITIVE_INFINITY;

    // ---- load ----

    private void scheduleNextArrival() {
        scheduler.scheduleAfter(arrivals.nextGapSeconds(scheduler.now() - START), () -> {
            if (scheduler.now() < stopAt) {
                issue(arrivals.next());
                scheduleNextArrival();
            }
        });
    }

    private void issue(Arrivals.RequestArrival arrival) {
        RequestClass requestClass = arrival.kind().group();
        boolean readsOwnWrites = requestClass.consistency() == ConsistencyLevel.SESSION && arrival.session() >= 0;
        RouterModel router = routerFor(arrival.session());
        double requiredPosition = readsOwnWrites ? lastWritePositions[arrival.session()] : 0;
        double knownWritePosition = readsOwnWrites && !spec.contact().marksCarried()
                ? router.requiredPosition(SimulatedRequest.session(arrival))
                : requiredPosition;
        var request = new SimulatedRequest(
                arrival, requiredPosition, knownWritePosition, scheduler.now(), nextRequestNumber++);
        audit.evictFinished(scheduler.now());
        audit.sent(request, requestClass, request.deadline);
        metrics.recordArrival(requestClass, scheduler.now());
        router.admit(request);
    }

    /**
     * Returns the next router in round-robin order; a session stays with one router for {@code roam} seconds after a
     * write.
     */
    private RouterModel routerFor(int session) {
        RouterModel nextInTurn = routers.get(nextRouter++ % routers.size());
        boolean staysWithRouter = session >= 0
                && scheduler.now() < lastWriteTimes[session] + spec.contact().roam();
        return staysWithRouter ? lastWriteRouters[session] : nextInTurn;
    }

    private void onFinalAnswer(Request request, RoutingAction action) {
        double now = scheduler.now();
        audit.answered(request, now);
        if (action == RoutingAction.REJECT) {
            audit.rejected(request, now);
        }
        metrics.recordAnswer(request.requestClass, action, now - request.arrivedAt, request.arrivedAt);
    }

    // ---- environment of the routers ----

    RuleAudit audit() {
        return audit;
    }

    double oneWayLatency() {
        return spec.oneWayLatency();
    }

    double connectSeconds() {
        return spec.machine().connecting();
    }

    double healthCheckTimeout() {
        return CONNECT_TIMEOUT;
    }

    int coresPerNode() {
        return spec.machine().cores();
    }

    boolean sendsLoadReports() {
        return spec.reports();
    }

    NodeModel node(Node node) {
        return nodes.node(node);
    }

    GroupModel group(int id) {
        return nodes.group(id);
    }

    double workSeconds(Request request) {
        return ((SimulatedRequest) request).arrival.work();
    }

    /** Key by which any router can query whether the write has run. */
    String writeId(Request request) {
        return ((SimulatedRequest) request).writeId;
    }

    /** Minimum position that a node must have applied to answer a read sent at {@code sentAt}. */
    double requiredPosition(Request request, double sentAt) {
        return switch (request.requestClass.consistency()) {
            case BOUNDED_STALENESS -> sentAt - request.requestClass.maxStalenessSeconds();
            case SESSION -> ((SimulatedRequest) request).requiredPosition;
            default -> 0;
        };
    }

    void onWriteAnswered(Request request, double position, RouterModel router) {
        int session = ((SimulatedRequest) request).arrival.session();
        if (request.requestClass.consistency() == ConsistencyLevel.WRITE && session >= 0) {
            lastWritePositions[session] = Math.max(lastWritePositions[session], position);
            lastWriteTimes[session] = scheduler.now();
            lastWriteRouters[session] = router;
        }
    }

    /** Resets the connections and attempts to a crashed node at every router. */
    private void onCrash(NodeModel node) {
        routers.forEach(router -> router.reset(node.node));
    }

    private void onEndpointChange(NodeModel node) {
        scheduler.scheduleAfter(spec.listDelay(), () -> {
            published.put(node, new PublishedEntry(nodes.endpoint(node), ++revision));
            for (RouterModel router : routers) {
                scheduler.scheduleAfter(
                        spec.contact().listSpread() * listSpreadRandom.nextDouble(), () -> sendListUpdate(router));
            }
        });
    }

    /** Delivers to a router the current state of all entries that changed since the last revision that it received. */
    private void sendListUpdate(RouterModel router) {
        List<Endpoint> entries = published.values().stream()
                .filter(published -> published.revision() > router.revision())
                .map(PublishedEntry::endpoint)
                .toList();
        if (!entries.isEmpty()) {
            router.onEndpointList(entries, false, revision);
        }
    }
}
