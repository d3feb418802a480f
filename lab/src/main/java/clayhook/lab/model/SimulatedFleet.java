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
 * A whole deployment in virtual time: nodes, routers, clients and what befalls them. The same seed gives the same run.
 */
public final class SimulatedFleet {
    /** Any time that a clock would tell; far from zero, which stands for never. */
    private static final double START = 1_000_000;
    /** A connection or probe that does not come about within this has failed; far above the way to any node. */
    private static final double CONNECT_TIMEOUT = 0.25;
    /** Seconds after a drain is told in which a node may be sent something. */
    private static final double GRACE = 0.25;

    private static final double OVERLOAD = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final VirtualScheduler timeline = new VirtualScheduler(START);
    private final SimulatedNodes world;
    private final List<RouterModel> routers = new ArrayList<>();
    private final RuleAudit audit = new RuleAudit(GRACE, OVERLOAD, OVERLOAD_FOR);
    private final RunMetrics tally;
    private final Arrivals arrivals;
    /** The position of the last write of each session. */
    private final double[] wrote;
    /** When that was answered, and by whom. */
    private final double[] wroteWhen;

    private final RouterModel[] wroteBy;
    private int nextRouter;
    private long commands;
    /** What the list says by now, a row a node. */
    private final Map<NodeModel, News> published = new LinkedHashMap<>();

    private long revision;
    private final SplittableRandom spread;

    private record News(Endpoint entry, long revision) {}

    private static final class Asked extends Request {
        final Arrivals.RequestArrival ask;
        /** The position of what its session had written when it was asked; 0 where it need not see that. */
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
        world = new SimulatedNodes(spec, timeline, this::died, this::listChanged);
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
            routers.add(new RouterModel(timeline, this, settings, seed * 31 + r, this::answered));
        }
        List<PeerLink> peers = sharing.among(timeline, routers, seed);
        List<Endpoint> all = world.listings();
        for (int r = 0; r < routers.size(); r++) {
            routers.get(r).join(peers.get(r));
            routers.get(r).listed(all, true, revision);
        }
        world.befall(failures, START);
        arrivals();
    }

    /** A mark comes with the command, or its router knows it from its peers and itself. */
    private boolean marksReachRouters() {
        return spec.contact().marksCarried() || spec.contact().shares();
    }

    /** Plays so many seconds from the start, then until all that was asked has its answer. */
    public RunMetrics run(double seconds) {
        stopAt = START + seconds;
        timeline.run(stopAt);
        double longest = spec.commands().stream()
                .mapToDouble(kind -> kind.group().clientTimeoutSeconds())
                .max()
                .orElse(0);
        timeline.run(stopAt + longest + 1);
        audit.end(timeline.now());
        world.nodes()
                .forEach(node -> tally.worked(
                        node.node.id(),
                        node.cores.worked() / (seconds * spec.machine().cores())));
        tally.ended(audit.broken(), audit.first(), timeline.made());
        return tally;
    }

    private double stopAt = Double.POSITIVE_INFINITY;

    // ---- what is asked ----

    private void arrivals() {
        timeline.in(arrivals.gap(timeline.now() - START), () -> {
            if (timeline.now() < stopAt) {
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
        var command = new Asked(ask, written, mark, timeline.now(), commands++);
        audit.sweep(timeline.now());
        audit.sent(command, group, command.deadline);
        tally.asked(group, timeline.now());
        router.take(command);
    }

    /** Sessions go from router to router, but not right after a write. */
    private RouterModel routerFor(int session) {
        RouterModel next = routers.get(nextRouter++ % routers.size());
        boolean stays = session >= 0
                && timeline.now() < wroteWhen[session] + spec.contact().roam();
        return stays ? wroteBy[session] : next;
    }

    private void answered(Request command, RoutingAction verdict) {
        double now = timeline.now();
        audit.answered(command, now);
        if (verdict == RoutingAction.REJECT) {
            audit.throttled(command, now);
        }
        tally.answered(command.requestClass, verdict, now - command.arrivedAt, command.arrivedAt);
    }

    // ---- what routers ask of the world ----

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

    /** By which anyone may ask whether it has run. */
    String mark(Request command) {
        return ((Asked) command).mark;
    }

    /** The position that a read must see that was sent then. */
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
            wroteWhen[session] = timeline.now();
            wroteBy[session] = by;
        }
    }

    /** A node has died: what is out there is reset at every router. */
    private void died(NodeModel node) {
        routers.forEach(router -> router.reset(node.node));
    }

    private void listChanged(NodeModel node) {
        timeline.in(spec.listDelay(), () -> {
            published.put(node, new News(world.listing(node), ++revision));
            for (RouterModel router : routers) {
                timeline.in(spec.contact().listSpread() * spread.nextDouble(), () -> tell(router));
            }
        });
    }

    /** A router hears the list: all that it has not heard, as it is by now. */
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
