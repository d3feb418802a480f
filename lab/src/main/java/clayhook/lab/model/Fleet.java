package clayhook.lab.model;

import clayhook.Choice.Verdict;
import clayhook.Command;
import clayhook.CommandGroup;
import clayhook.CommandGroup.ReadLevel;
import clayhook.Listing;
import clayhook.Node;
import clayhook.Role;
import clayhook.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** A whole deployment in virtual time: nodes, routers, clients and what befalls them. The same seed gives the same run. */
public final class Fleet {
    /** Any time that a clock would tell; far from zero, which stands for never. */
    private static final double START = 1_000_000;
    /** A connection or probe that does not come about within this has failed; far above the way to any node. */
    private static final double CONNECT_TIMEOUT = 0.25;
    /** Seconds after a drain is told in which a node may be sent something. */
    private static final double GRACE = 0.25;
    private static final double OVERLOAD = 3, OVERLOAD_FOR = 3;

    private final FleetSpec spec;
    private final Timeline timeline = new Timeline(START);
    private final Map<Node, NodeModel> nodes = new HashMap<>();
    private final List<NodeModel> inOrder = new ArrayList<>();
    private final List<GroupModel> groups = new ArrayList<>();
    private final List<RouterModel> routers = new ArrayList<>();
    private final Audit audit = new Audit(GRACE, OVERLOAD, OVERLOAD_FOR);
    private final Tally tally;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final ZigguratSampler.Exponential exponential;
    private final Map<CommandGroup, FleetSpec.Kind> kinds = new HashMap<>();
    /** The position of the last write of each session. */
    private final double[] wrote;
    private int nextRouter;

    private static final class Asked extends Command {
        final int session;
        final double work;

        Asked(FleetSpec.Kind kind, int nodeGroup, int session, double wroteAt, double now, double work) {
            super(kind.group(), nodeGroup, session < 0 ? null : "s" + session, wroteAt, now, now + kind.group().clientTimeout());
            this.session = session;
            this.work = work;
        }
    }

    public Fleet(FleetSpec spec, List<Failure> failures, long seed) {
        this.spec = spec;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        exponential = ZigguratSampler.Exponential.of(random);
        tally = new Tally(START);
        wrote = new double[spec.sessions()];
        spec.commands().forEach(kind -> kinds.put(kind.group(), kind));
        for (int g = 1; g <= spec.groups(); g++) {
            var group = new GroupModel(timeline, g, spec.election());
            groups.add(group);
            for (int i = 0; i <= spec.replicas(); i++) {
                var node = new Node(i == 0 ? g + "p" : g + "r" + i, spec.zones().get((g + i) % spec.zones().size()), g);
                var model = new NodeModel(timeline, node, spec.machine(), i == 0 ? Role.PRIMARY : Role.REPLICA);
                group.nodes.add(model);
                nodes.put(node, model);
                inOrder.add(model);
            }
        }
        List<CommandGroup> asked = spec.commands().stream().map(FleetSpec.Kind::group).toList();
        for (int r = 0; r < spec.routers(); r++) {
            var settings = new Settings(spec.routers(), spec.zones().get(r % spec.zones().size()), asked, false, true,
                    spec.replicasCheck(), true, true, true, true, true, 1, 5, spec.machine().coldShare(),
                    spec.machine().warmAfter(), OVERLOAD, OVERLOAD_FOR, 1, 15);
            routers.add(new RouterModel(timeline, this, settings, seed * 31 + r, this::answered));
        }
        List<Listing> all = inOrder.stream().map(this::listing).toList();
        routers.forEach(router -> router.listed(all, true));
        failures.forEach(failure -> timeline.at(START + failure.at(), () -> befall(failure)));
        arrivals();
    }

    /** Plays so many seconds from the start, then until all that was asked has its answer. */
    public Tally run(double seconds) {
        stopAt = START + seconds;
        timeline.run(stopAt);
        double longest = spec.commands().stream().mapToDouble(kind -> kind.group().clientTimeout()).max().orElse(0);
        timeline.run(stopAt + longest + 1);
        audit.end(timeline.now());
        inOrder.forEach(node -> tally.worked(node.node.id(), node.cores.worked() / (seconds * spec.machine().cores())));
        tally.ended(audit.broken(), audit.first(), timeline.made());
        return tally;
    }

    private double stopAt = Double.POSITIVE_INFINITY;

    // ---- what is asked ----

    /** Times between arrivals are exponential at the rate of the moment, whatever becomes of what came before. */
    private void arrivals() {
        double rate = spec.rateAt(timeline.now() - START);
        timeline.in(exponential.sample() / Math.max(rate, 1e-9), () -> {
            if (timeline.now() < stopAt) {
                ask();
                arrivals();
            }
        });
    }

    private void ask() {
        double dice = random.nextDouble() * spec.commands().stream().mapToDouble(FleetSpec.Kind::share).sum();
        FleetSpec.Kind kind = spec.commands().get(spec.commands().size() - 1);
        for (FleetSpec.Kind one : spec.commands()) {
            dice -= one.share();
            if (dice < 0) {
                kind = one;
                break;
            }
        }
        int group = 1 + random.nextInt(spec.groups());
        int session = spec.sessions() == 0 ? -1 : random.nextInt(spec.sessions());
        // A mean of the logarithm such that the mean of the work itself is as given.
        double work = kind.spread() == 0 ? kind.work()
                : kind.work() * Math.exp(kind.spread() * normal.sample() - kind.spread() * kind.spread() / 2);
        boolean own = kind.group().level() == ReadLevel.SESSION && session >= 0;
        var command = new Asked(kind, group, session, own ? wrote[session] : 0, timeline.now(), work);
        audit.sweep(timeline.now());
        audit.sent(command, command.group, command.expires);
        tally.asked(command.group, timeline.now());
        routers.get(nextRouter++ % routers.size()).take(command);
    }

    private void answered(Command command, Verdict verdict) {
        double now = timeline.now();
        audit.answered(command, now);
        if (verdict == Verdict.THROTTLE) {
            audit.throttled(command, now);
        }
        tally.answered(command.group, verdict, now - command.arrived, command.arrived);
    }

    // ---- what routers ask of the world ----

    Audit audit() {
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
        return nodes.get(node);
    }

    GroupModel group(int id) {
        return groups.get(id - 1);
    }

    double work(Command command) {
        return ((Asked) command).work;
    }

    /** The position that a read must see that was sent then. */
    double needed(Command command, double sentAt) {
        return switch (command.group.level()) {
            case BOUNDED -> sentAt - command.group.bound();
            case SESSION -> command.wroteAt;
            default -> 0;
        };
    }

    void wrote(Command command, double position) {
        int session = ((Asked) command).session;
        if (command.group.level() == ReadLevel.WRITE && session >= 0) {
            wrote[session] = Math.max(wrote[session], position);
        }
    }

    // ---- what goes wrong ----

    private Listing listing(NodeModel node) {
        return new Listing(node.node, !node.up() ? Listing.State.GONE : node.draining ? Listing.State.DRAINING
                : Listing.State.READY, node.role == Role.PRIMARY, node.startedAt());
    }

    private void tellList(NodeModel node) {
        timeline.in(spec.listDelay(), () -> {
            List<Listing> entry = List.of(listing(node));
            routers.forEach(router -> router.listed(entry, false));
        });
    }

    private List<NodeModel> targets(String target) {
        if (target.endsWith("p")) {
            NodeModel primary = group(Integer.parseInt(target.substring(0, target.length() - 1))).primary();
            return primary == null ? List.of() : List.of(primary);
        }
        return inOrder.stream().filter(node -> node.node.id().equals(target) || node.node.zone().equals(target)).toList();
    }

    private void befall(Failure failure) {
        for (NodeModel node : targets(failure.target())) {
            Runnable back = befall(node, failure);
            if (failure.lasts() > 0) {
                timeline.in(failure.lasts(), back);
            }
        }
    }

    /** What ends it again. */
    private Runnable befall(NodeModel node, Failure failure) {
        GroupModel group = group(node.node.group());
        switch (failure.kind()) {
            case CRASH, ZONE_LOSS -> {
                node.crash();
                routers.forEach(router -> router.reset(node.node));
                group.maybeElect();
                tellList(node);
                return () -> {
                    node.restart();
                    group.maybeElect();
                    tellList(node);
                };
            }
            case HANG -> {
                node.hang(true);
                group.depose(node);
                return () -> node.hang(false);
            }
            case PAUSE -> {
                node.pause(true);
                return () -> node.pause(false);
            }
            case NEIGHBOUR -> {
                node.share(failure.amount());
                return () -> node.share(0);
            }
            case SLOW_LOG -> {
                node.log.slow(timeline.now(), failure.amount());
                return () -> node.log.slow(timeline.now(), 1);
            }
            case STALL_LOG -> {
                node.log.stall(timeline.now(), timeline.now() + failure.lasts());
                return () -> { };
            }
            default -> {
                node.draining = true;
                tellList(node);
                return () -> {
                    node.draining = false;
                    tellList(node);
                };
            }
        }
    }
}
