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
    private static final double GRACE = 0.25;

    private static final double OVERLOAD = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final VirtualScheduler scheduler = new VirtualScheduler(START);
    private final SimulatedNodes world;
    private final List<RouterModel> routers = new ArrayList<>();
    private final RuleAudit audit = new RuleAudit(GRACE, OVERLOAD, OVERLOAD_FOR);
    private final RunMetrics tally;
    private final Arrivals arrivals;
    /** Position of the last answered write, by session. */
    private final double[] wrote;
    /** Time at which the last write was answered, by session; the router that answered it is in the next array. */
    private final double[] wroteWhen;

    private final RouterModel[] wroteBy;
    private int nextRouter;
    private long commands;
    /** The latest published endpoint-list entry of each node; at most one entry per node. */
    private final Map<NodeModel, News> published = new LinkedHashMap<>();

    private long revision;
    private final SplittableRandom spread;

    private record News(Endpoint entry, long revision) {}

    private static final class Asked extends Request {
        final Arrivals.RequestArrival ask;
        /** Last-write position of the session when the request was issued; 0 if the read need not see it. */
        final double written;

        final String mark;

        Asked(Arrivals.RequestArrival ask, double written, double wroteAt, double now, long number) {
            super(
                    ask.kind().group(),
                    ask.group(),
                    session(ask),
                    wroteAt,
                    now,
                    now + ask.kind().group().clientTimeoutSeconds());
            this.ask = ask;
            this.written = written;
            this.mark = "c" + number;
        }

        static String session(Arrivals.RequestArrival ask) {
            return ask.session() < 0 ? null : "s" + ask.session();
        }
    }

    public SimulatedFleet(FleetSpec spec, List<Failure> failures, long seed) {
        this(spec, failures, seed, PeerLinkFactory.NONE);
    }

    public SimulatedFleet(FleetSpec spec, List<Failure> failures, long seed, PeerLinkFactory sharing) {
        this.spec = spec;
        spread = new SplittableRandom(seed);
        arrivals = new Arrivals(spec, seed);
        tally = new RunMetrics(START);
        wrote = new double[spec.sessions()];
        wroteWhen = new double[spec.sessions()];
        wroteBy = new RouterModel[spec.sessions()];
        world = new SimulatedNodes(spec, scheduler, this::died, this::listChanged);
        List<RequestClass> asked =
                spec.commands().stream().map(FleetSpec.Kind::group).toList();
        for (int r = 0; r < spec.routers(); r++) {
            var settings = new RoutingSettings(
                    spec.routers(),
                    spec.zones().get(r % spec.zones().size()),
                    asked,
                    false,
                    true,
                    spec.replicasCheck(),
                    marksReachRouters(),
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
            routers.add(new RouterModel(scheduler, this, settings, seed * 31 + r, this::answered));
        }
        List<PeerLink> peers = sharing.among(scheduler, routers, seed);
        List<Endpoint> all = world.listings();
        for (int r = 0; r < routers.size(); r++) {
            routers.get(r).join(peers.get(r));
            routers.get(r).listed(all, true, revision);
        }
        world.befall(failures, START);
        arrivals();
    }

    /** Returns whether routers receive last-write positions, either with the request or from peers. */
    private boolean marksReachRouters() {
        return spec.contact().marksCarried() || spec.contact().shares();
    }

    /** Runs the load for the given number of seconds, then until every issued request has its final answer. */
    public RunMetrics run(double seconds) {
        stopAt = START + seconds;
        scheduler.runUntil(stopAt);
        double longest = spec.commands().stream()
                .mapToDouble(kind -> kind.group().clientTimeoutSeconds())
                .max()
                .orElse(0);
        scheduler.runUntil(stopAt + longest + 1);
        audit.end(scheduler.now());
        world.nodes()
                .forEach(node -> tally.worked(
                        node.node.id(),
                        node.cores.worked() / (seconds * spec.machine().cores())));
        tally.ended(audit.broken(), audit.first(), scheduler.scheduledEvents());
        return tally;
    }

    private double stopAt = Double.POSITIVE_INFINITY;

    // ---- load ----

    private void arrivals() {
        scheduler.scheduleAfter(arrivals.gap(scheduler.now() - START), () -> {
            if (scheduler.now() < stopAt) {
                ask(arrivals.next());
                arrivals();
            }
        });
    }

    private void ask(Arrivals.RequestArrival ask) {
        RequestClass group = ask.kind().group();
        boolean own = group.consistency() == ConsistencyLevel.SESSION && ask.session() >= 0;
        RouterModel router = routerFor(ask.session());
        double written = own ? wrote[ask.session()] : 0;
        double mark = own && !spec.contact().marksCarried() ? router.needs(Asked.session(ask)) : written;
        var command = new Asked(ask, written, mark, scheduler.now(), commands++);
        audit.sweep(scheduler.now());
        audit.sent(command, group, command.deadline);
        tally.asked(group, scheduler.now());
        router.take(command);
    }

    /**
     * Returns the next router in round-robin order; a session stays with one router for {@code roam} seconds after a
     * write.
     */
    private RouterModel routerFor(int session) {
        RouterModel next = routers.get(nextRouter++ % routers.size());
        boolean stays = session >= 0
                && scheduler.now() < wroteWhen[session] + spec.contact().roam();
        return stays ? wroteBy[session] : next;
    }

    private void answered(Request command, RoutingAction verdict) {
        double now = scheduler.now();
        audit.answered(command, now);
        if (verdict == RoutingAction.REJECT) {
            audit.throttled(command, now);
        }
        tally.answered(command.requestClass, verdict, now - command.arrivedAt, command.arrivedAt);
    }

    // ---- environment of the routers ----

    RuleAudit audit() {
        return audit;
    }

    double way() {
        return spec.way();
    }

    double connecting() {
        return spec.machine().connecting();
    }

    double probeTimeout() {
        return CONNECT_TIMEOUT;
    }

    int cores() {
        return spec.machine().cores();
    }

    boolean reports() {
        return spec.reports();
    }

    NodeModel node(Node node) {
        return world.node(node);
    }

    GroupModel group(int id) {
        return world.group(id);
    }

    double work(Request command) {
        return ((Asked) command).ask.work();
    }

    /** Key by which any router can query whether the write has run. */
    String mark(Request command) {
        return ((Asked) command).mark;
    }

    /** Minimum position that a node must have applied to answer a read sent at {@code sentAt}. */
    double needed(Request command, double sentAt) {
        return switch (command.requestClass.consistency()) {
            case BOUNDED_STALENESS -> sentAt - command.requestClass.maxStalenessSeconds();
            case SESSION -> ((Asked) command).written;
            default -> 0;
        };
    }

    void wrote(Request command, double position, RouterModel by) {
        int session = ((Asked) command).ask.session();
        if (command.requestClass.consistency() == ConsistencyLevel.WRITE && session >= 0) {
            wrote[session] = Math.max(wrote[session], position);
            wroteWhen[session] = scheduler.now();
            wroteBy[session] = by;
        }
    }

    /** Resets the connections and attempts to a crashed node at every router. */
    private void died(NodeModel node) {
        routers.forEach(router -> router.reset(node.node));
    }

    private void listChanged(NodeModel node) {
        scheduler.scheduleAfter(spec.listDelay(), () -> {
            published.put(node, new News(world.listing(node), ++revision));
            for (RouterModel router : routers) {
                scheduler.scheduleAfter(spec.contact().listSpread() * spread.nextDouble(), () -> tell(router));
            }
        });
    }

    /** Delivers to a router the current state of all entries that changed since the last revision that it received. */
    private void tell(RouterModel router) {
        List<Endpoint> entries = published.values().stream()
                .filter(news -> news.revision() > router.revision())
                .map(News::entry)
                .toList();
        if (!entries.isEmpty()) {
            router.listed(entries, false, revision);
        }
    }
}
