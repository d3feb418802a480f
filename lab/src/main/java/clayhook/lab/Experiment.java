package clayhook.lab;

import clayhook.RequestClass;
import clayhook.RequestClass.Idempotency;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.config.BadConfig;
import clayhook.config.Toml;
import clayhook.lab.model.Failure;
import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.Machine;
import clayhook.lab.sharing.Fault;
import clayhook.lab.sharing.FaultPlan;
import clayhook.lab.sharing.SharingPlay;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What to play: fleets, the load on them, what goes wrong, and with which seeds. Read from a file of TOML;
 * {@code examples/slow-log.toml} shows the form.
 *
 * @param variants the first is what the others are compared with; each is played with the same seeds
 * @param seconds of load
 * @param goal for the planner
 * @param peers what routers that share are to each other
 */
public record Experiment(
        List<Variant> variants, List<Failure> failures, double seconds, List<Integer> seeds, Goal goal, Peers peers) {
    private static final double HOUR = 3600;
    private static final double MANY = 1e6;

    /**
     * What a fleet must do, with all rules kept.
     *
     * @param service share of the benefit
     * @param inTime share of each command group that is answered within its target
     */
    public record Goal(double service, double inTime) {}

    /**
     * How routers that share reach one another, and what befalls them.
     *
     * @param way seconds that a packet takes, the median
     * @param loss the part of all packets that is lost at the best of times
     * @param play what to play with them instead of service, or null
     */
    public record Peers(double way, double loss, FaultPlan faults, SharingPlay play) {}

    /** The same with these seeds. */
    public Experiment seeded(List<Integer> others) {
        return new Experiment(variants, failures, seconds, others, goal, peers);
    }

    /** One fleet to play. */
    public record Variant(String name, FleetSpec fleet) {}

    /** Throws BadConfig naming file, line and key. */
    public static Experiment read(Path file) throws BadConfig {
        Toml toml = Toml.read(file);
        Peers peers = peers(toml);
        FleetSpec base = fleet(toml, peers.play() != null);
        var variants = new ArrayList<Variant>();
        for (Toml variant : toml.tables("variant")) {
            variants.add(new Variant(variant.needed("name"), varied(base, variant)));
        }
        if (variants.isEmpty()) {
            variants.add(new Variant("as it is", base));
        }
        Toml load = toml.table("load");
        double seconds = load.number("seconds", 60, 1, HOUR);
        var failures = new ArrayList<Failure>();
        for (Toml failure : toml.tables("failure")) {
            failures.addAll(failures(failure, base, seconds));
        }
        List<Integer> seeds = toml.wholes("seeds");
        Toml goal = toml.table("goal");
        var wanted = new Goal(goal.number("service", 0.99, 0, 1), goal.number("in_time", 0, 0, 1));
        toml.nothingElse();
        return new Experiment(variants, failures, seconds, seeds.isEmpty() ? List.of(1) : seeds, wanted, peers);
    }

    private static FleetSpec fleet(Toml toml, boolean unasked) throws BadConfig {
        Toml fleet = toml.table("fleet");
        Toml machine = toml.table("machine");
        Toml load = toml.table("load");
        var commands = new ArrayList<FleetSpec.Kind>();
        for (Toml command : toml.tables("command")) {
            commands.add(command(command));
        }
        if (commands.isEmpty() && !unasked) {
            throw toml.fault("command", "is missing: what is asked of the fleet");
        }
        var phases = new ArrayList<FleetSpec.Phase>();
        for (Toml phase : toml.tables("phase")) {
            phases.add(new FleetSpec.Phase(phase.number("from", 0, 0, HOUR), phase.number("factor", 1, 0, MANY)));
        }
        var zones = new TreeSet<>(fleet.texts("zones"));
        return new FleetSpec(
                fleet.whole("groups", 1, 1, 10_000),
                fleet.whole("replicas", 2, 0, 100),
                fleet.whole("routers", 2, 1, 10_000),
                zones.isEmpty() ? List.of("a") : List.copyOf(zones),
                new Machine(
                        machine.whole("cores", 2, 1, 1024),
                        machine.whole("queue", 100, 0, 1_000_000),
                        machine.number("shipping", 0.02, 0, HOUR),
                        machine.number("apply", 0.0005, 0, HOUR),
                        machine.number("connecting", 0.005, 0, HOUR),
                        machine.number("cold_share", 0.3, 0.001, 1),
                        machine.number("warm_after", 10, 0, HOUR)),
                fleet.number("way", 0.0005, 0, 10),
                fleet.number("election", 3, 0, HOUR),
                fleet.number("list_delay", 0.5, 0, HOUR),
                fleet.flag("reports", true),
                fleet.flag("replicas_check", false),
                commands,
                load.number("rate", 100, 0, MANY),
                phases,
                load.whole("sessions", 0, 0, 1_000_000),
                new FleetSpec.Contact(
                        fleet.flag("sharing", false),
                        fleet.flag("marks_carried", true),
                        fleet.number("list_spread", 0, 0, HOUR),
                        fleet.number("roam", 0, 0, HOUR)));
    }

    private static Peers peers(Toml toml) throws BadConfig {
        Toml peers = toml.table("peers");
        var faults = new ArrayList<Fault>();
        for (Toml fault : toml.tables("fault")) {
            fault.needed("kind");
            Fault.Kind kind = one(fault, "kind", Fault.Kind.class, null);
            List<Integer> whom = fault.wholes("whom");
            if (kind == Fault.Kind.CUT && whom.size() != 2) {
                throw fault.fault("whom", "is no pair: from whom to whom nothing comes");
            }
            faults.add(new Fault(
                    fault.number("at", 0, 0, HOUR),
                    kind,
                    whom,
                    fault.number("lasts", 1, 0, HOUR),
                    fault.number("amount", 0, -HOUR, MANY)));
        }
        SharingPlay play = peers.text("play", null) == null
                ? null
                : new SharingPlay(
                        one(peers, "play", SharingPlay.What.class, null),
                        peers.whole("faults", 12, 0, 10_000),
                        peers.number("settle", 30, 0, HOUR),
                        peers.whole("entries", 100_000, 1, 1_000_000));
        return new Peers(
                peers.number("way", 0.0005, 0, 10), peers.number("loss", 0, 0, 1), new FaultPlan(faults), play);
    }

    private static FleetSpec.Kind command(Toml command) throws BadConfig {
        ConsistencyLevel level = one(command, "level", LEVELS, "any");
        boolean writes = level == ConsistencyLevel.WRITE;
        Idempotency effect = one(command, "effect", EFFECTS, writes ? "mutating" : "replayable");
        if (!writes && effect != Idempotency.IDEMPOTENT) {
            throw command.fault("effect", "a read is replayable");
        }
        double target = command.number("target", 0.25, 0.001, HOUR);
        return new FleetSpec.Kind(
                new RequestClass(
                        command.needed("name"),
                        effect,
                        level,
                        target,
                        command.number("timeout", 4 * target, target, HOUR),
                        command.number("benefit", 1, 0, MANY),
                        command.number("late_share", 0, 0, 1),
                        one(command, "scope", SCOPES, "group"),
                        command.number("window", 5, 0, HOUR),
                        command.number("bound", 0.2, 0, HOUR)),
                command.number("share", 1, 0, MANY),
                command.number("work", 0.005, 0.000001, HOUR),
                command.number("spread", 0.5, 0, 5));
    }

    /** Words of the experiment file and the values that they stand for; the words do not follow renamed constants. */
    private static final Map<String, ConsistencyLevel> LEVELS = Map.of(
            "write", ConsistencyLevel.WRITE,
            "fresh", ConsistencyLevel.STRONG,
            "session", ConsistencyLevel.SESSION,
            "bounded", ConsistencyLevel.BOUNDED_STALENESS,
            "any", ConsistencyLevel.EVENTUAL);

    private static final Map<String, Idempotency> EFFECTS =
            Map.of("replayable", Idempotency.IDEMPOTENT, "keyed", Idempotency.IDEMPOTENT_WITH_KEY, "mutating", Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES = Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "group", DeduplicationScope.REPLICA_SET);

    private static <T> T one(Toml toml, String key, Map<String, T> words, String absent) throws BadConfig {
        return words.get(toml.word(key, absent, words.keySet()));
    }

    private static <T extends Enum<T>> T one(Toml toml, String key, Class<T> of, String absent) throws BadConfig {
        Set<String> words = Arrays.stream(of.getEnumConstants())
                .map(one -> one.name().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return Enum.valueOf(of, toml.word(key, absent, words).toUpperCase(Locale.ROOT));
    }

    private static FleetSpec varied(FleetSpec base, Toml variant) throws BadConfig {
        Machine was = base.machine();
        var machine = new Machine(
                variant.whole("cores", was.cores(), 1, 1024),
                variant.whole("queue", was.queue(), 0, 1_000_000),
                was.shipping(),
                variant.number("apply", was.apply(), 0, HOUR),
                was.connecting(),
                was.coldShare(),
                was.warmAfter());
        return new FleetSpec(
                variant.whole("groups", base.groups(), 1, 10_000),
                variant.whole("replicas", base.replicas(), 0, 100),
                variant.whole("routers", base.routers(), 1, 10_000),
                base.zones(),
                machine,
                base.way(),
                base.election(),
                base.listDelay(),
                base.reports(),
                base.replicasCheck(),
                base.commands(),
                variant.number("rate", base.rate(), 0, MANY),
                base.phases(),
                base.sessions(),
                new FleetSpec.Contact(
                        variant.flag("sharing", base.contact().shares()),
                        variant.flag("marks_carried", base.contact().marksCarried()),
                        base.contact().listSpread(),
                        base.contact().roam()));
    }

    /** One for each target, in order of their names. */
    private static List<Failure> failures(Toml failure, FleetSpec fleet, double seconds) throws BadConfig {
        Set<String> several = new TreeSet<>(failure.texts("targets"));
        var failures = new ArrayList<Failure>();
        for (String target : several.isEmpty() ? Set.of(failure.needed("target")) : several) {
            failures.add(failure(failure, target, fleet, seconds));
        }
        return failures;
    }

    private static Failure failure(Toml failure, String target, FleetSpec fleet, double seconds) throws BadConfig {
        failure.needed("kind");
        Failure.Kind kind = one(failure, "kind", Failure.Kind.class, null);
        boolean zone = kind == Failure.Kind.ZONE_LOSS;
        if (zone
                ? !fleet.zones().contains(target)
                : !target.matches("[1-9][0-9]{0,4}(p|r[1-9][0-9]{0,2})")
                        || Integer.parseInt(target.replaceAll("[pr].*", "")) > fleet.groups()) {
            throw failure.fault(
                    failure.texts("targets").isEmpty() ? "target" : "targets",
                    "there is no " + (zone ? "zone" : "node") + " '" + target + "'");
        }
        double amount = kind == Failure.Kind.NEIGHBOUR
                ? failure.number("amount", 0.5, 0, 1)
                : failure.number("amount", 10, 0, MANY);
        return new Failure(
                kind, target, failure.number("at", 0, 0, seconds), failure.number("lasts", 0, 0, HOUR), amount);
    }
}
