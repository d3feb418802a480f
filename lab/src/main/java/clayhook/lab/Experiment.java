package clayhook.lab;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.config.ConfigurationException;
import clayhook.config.TomlSection;
import clayhook.lab.model.Failure;
import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.MachineSpec;
import clayhook.lab.sharing.FaultPlan;
import clayhook.lab.sharing.SharingFault;
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
 * An experiment: fleets, their load, failures and seeds. Read from a TOML file; see {@code examples/slow-log.toml} for
 * the format.
 *
 * @param variants fleets, each run with the same seeds; the first is the baseline of the comparison
 * @param seconds duration of the load
 * @param goal goal for the planner
 * @param peers network, faults and task of routers that share state
 */
public record Experiment(
        List<Variant> variants, List<Failure> failures, double seconds, List<Integer> seeds, Goal goal, Peers peers) {
    private static final double HOUR_SECONDS = 3600;
    private static final double MAX_NUMBER = 1e6;

    /**
     * Service that a fleet must reach without violating a rule.
     *
     * @param service minimum share of the possible benefit
     * @param inTime minimum share of each request class that is answered within its latency objective
     */
    public record Goal(double service, double inTime) {}

    /**
     * Network and faults between routers that share state.
     *
     * @param medianLatency median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     * @param play what to run with the routers instead of measuring service, or null
     */
    public record Peers(double medianLatency, double loss, FaultPlan faults, SharingPlay play) {}

    /** Returns the same experiment with other seeds. */
    public Experiment seeded(List<Integer> others) {
        return new Experiment(variants, failures, seconds, others, goal, peers);
    }

    /** A fleet to run. */
    public record Variant(String name, FleetSpec fleet) {}

    /** Reads an experiment file; an error names the file, the line and the key. */
    public static Experiment read(Path file) throws ConfigurationException {
        TomlSection toml = TomlSection.read(file);
        Peers peers = peers(toml);
        FleetSpec base = fleet(toml, peers.play() != null);
        var variants = new ArrayList<Variant>();
        for (TomlSection variant : toml.getTables("variant")) {
            variants.add(new Variant(variant.getRequiredString("name"), applyVariant(base, variant)));
        }
        if (variants.isEmpty()) {
            variants.add(new Variant("as it is", base));
        }
        TomlSection load = toml.getTable("load");
        double seconds = load.getNumber("seconds", 60, 1, HOUR_SECONDS);
        var failures = new ArrayList<Failure>();
        for (TomlSection failure : toml.getTables("failure")) {
            failures.addAll(failures(failure, base, seconds));
        }
        List<Integer> seeds = toml.getIntList("seeds");
        TomlSection goal = toml.getTable("goal");
        var goalSpec = new Goal(goal.getNumber("service", 0.99, 0, 1), goal.getNumber("in_time", 0, 0, 1));
        toml.rejectUnknownKeys();
        return new Experiment(variants, failures, seconds, seeds.isEmpty() ? List.of(1) : seeds, goalSpec, peers);
    }

    private static FleetSpec fleet(TomlSection toml, boolean requestsOptional) throws ConfigurationException {
        TomlSection fleet = toml.getTable("fleet");
        TomlSection machine = toml.getTable("machine");
        TomlSection load = toml.getTable("load");
        var commands = new ArrayList<FleetSpec.Kind>();
        for (TomlSection command : toml.getTables("command")) {
            commands.add(command(command));
        }
        if (commands.isEmpty() && !requestsOptional) {
            throw toml.invalid("command", "is missing: what is asked of the fleet");
        }
        var phases = new ArrayList<FleetSpec.Phase>();
        for (TomlSection phase : toml.getTables("phase")) {
            phases.add(new FleetSpec.Phase(
                    phase.getNumber("from", 0, 0, HOUR_SECONDS), phase.getNumber("factor", 1, 0, MAX_NUMBER)));
        }
        var zones = new TreeSet<>(fleet.getStringSet("zones"));
        return new FleetSpec(
                fleet.getInt("groups", 1, 1, 10_000),
                fleet.getInt("replicas", 2, 0, 100),
                fleet.getInt("routers", 2, 1, 10_000),
                zones.isEmpty() ? List.of("a") : List.copyOf(zones),
                new MachineSpec(
                        machine.getInt("cores", 2, 1, 1024),
                        machine.getInt("queue", 100, 0, 1_000_000),
                        machine.getNumber("shipping", 0.02, 0, HOUR_SECONDS),
                        machine.getNumber("apply", 0.0005, 0, HOUR_SECONDS),
                        machine.getNumber("connecting", 0.005, 0, HOUR_SECONDS),
                        machine.getNumber("cold_share", 0.3, 0.001, 1),
                        machine.getNumber("warm_after", 10, 0, HOUR_SECONDS)),
                fleet.getNumber("way", 0.0005, 0, 10),
                fleet.getNumber("election", 3, 0, HOUR_SECONDS),
                fleet.getNumber("list_delay", 0.5, 0, HOUR_SECONDS),
                fleet.getBoolean("reports", true),
                fleet.getBoolean("replicas_check", false),
                commands,
                load.getNumber("rate", 100, 0, MAX_NUMBER),
                phases,
                load.getInt("sessions", 0, 0, 1_000_000),
                new FleetSpec.Contact(
                        fleet.getBoolean("sharing", false),
                        fleet.getBoolean("marks_carried", true),
                        fleet.getNumber("list_spread", 0, 0, HOUR_SECONDS),
                        fleet.getNumber("roam", 0, 0, HOUR_SECONDS)));
    }

    private static Peers peers(TomlSection toml) throws ConfigurationException {
        TomlSection peers = toml.getTable("peers");
        var faults = new ArrayList<SharingFault>();
        for (TomlSection fault : toml.getTables("fault")) {
            fault.getRequiredString("kind");
            SharingFault.Kind kind = choice(fault, "kind", SharingFault.Kind.class, null);
            List<Integer> whom = fault.getIntList("whom");
            if (kind == SharingFault.Kind.CUT && whom.size() != 2) {
                throw fault.invalid("whom", "is no pair: from whom to whom nothing comes");
            }
            faults.add(new SharingFault(
                    fault.getNumber("at", 0, 0, HOUR_SECONDS),
                    kind,
                    whom,
                    fault.getNumber("lasts", 1, 0, HOUR_SECONDS),
                    fault.getNumber("amount", 0, -HOUR_SECONDS, MAX_NUMBER)));
        }
        SharingPlay play = peers.getString("play", null) == null
                ? null
                : new SharingPlay(
                        choice(peers, "play", SharingPlay.What.class, null),
                        peers.getInt("faults", 12, 0, 10_000),
                        peers.getNumber("settle", 30, 0, HOUR_SECONDS),
                        peers.getInt("entries", 100_000, 1, 1_000_000));
        return new Peers(
                peers.getNumber("way", 0.0005, 0, 10), peers.getNumber("loss", 0, 0, 1), new FaultPlan(faults), play);
    }

    private static FleetSpec.Kind command(TomlSection command) throws ConfigurationException {
        ConsistencyLevel level = choice(command, "level", LEVELS, "any");
        boolean writes = level == ConsistencyLevel.WRITE;
        Idempotency effect = choice(command, "effect", EFFECTS, writes ? "mutating" : "replayable");
        if (!writes && effect != Idempotency.IDEMPOTENT) {
            throw command.invalid("effect", "a read is replayable");
        }
        double target = command.getNumber("target", 0.25, 0.001, HOUR_SECONDS);
        return new FleetSpec.Kind(
                new RequestClass(
                        command.getRequiredString("name"),
                        effect,
                        level,
                        target,
                        command.getNumber("timeout", 4 * target, target, HOUR_SECONDS),
                        command.getNumber("benefit", 1, 0, MAX_NUMBER),
                        command.getNumber("late_share", 0, 0, 1),
                        choice(command, "scope", SCOPES, "group"),
                        command.getNumber("window", 5, 0, HOUR_SECONDS),
                        command.getNumber("bound", 0.2, 0, HOUR_SECONDS)),
                command.getNumber("share", 1, 0, MAX_NUMBER),
                command.getNumber("work", 0.005, 0.000001, HOUR_SECONDS),
                command.getNumber("spread", 0.5, 0, 5));
    }

    /**
     * Values of the experiment file and the constants for which they stand; the file format does not depend on the
     * names of the constants.
     */
    private static final Map<String, ConsistencyLevel> LEVELS = Map.of(
            "write", ConsistencyLevel.WRITE,
            "fresh", ConsistencyLevel.STRONG,
            "session", ConsistencyLevel.SESSION,
            "bounded", ConsistencyLevel.BOUNDED_STALENESS,
            "any", ConsistencyLevel.EVENTUAL);

    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "replayable",
            Idempotency.IDEMPOTENT,
            "keyed",
            Idempotency.IDEMPOTENT_WITH_KEY,
            "mutating",
            Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES = Map.of(
            "all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "group", DeduplicationScope.REPLICA_SET);

    private static <T> T choice(TomlSection toml, String key, Map<String, T> choices, String defaultValue)
            throws ConfigurationException {
        return choices.get(toml.getChoice(key, defaultValue, choices.keySet()));
    }

    private static <T extends Enum<T>> T choice(TomlSection toml, String key, Class<T> type, String defaultValue)
            throws ConfigurationException {
        Set<String> choices = Arrays.stream(type.getEnumConstants())
                .map(one -> one.name().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return Enum.valueOf(type, toml.getChoice(key, defaultValue, choices).toUpperCase(Locale.ROOT));
    }

    private static FleetSpec applyVariant(FleetSpec base, TomlSection variant) throws ConfigurationException {
        MachineSpec baseMachine = base.machine();
        var machine = new MachineSpec(
                variant.getInt("cores", baseMachine.cores(), 1, 1024),
                variant.getInt("queue", baseMachine.queue(), 0, 1_000_000),
                baseMachine.shipping(),
                variant.getNumber("apply", baseMachine.apply(), 0, HOUR_SECONDS),
                baseMachine.connecting(),
                baseMachine.coldShare(),
                baseMachine.warmAfter());
        return new FleetSpec(
                variant.getInt("groups", base.groups(), 1, 10_000),
                variant.getInt("replicas", base.replicas(), 0, 100),
                variant.getInt("routers", base.routers(), 1, 10_000),
                base.zones(),
                machine,
                base.oneWayLatency(),
                base.election(),
                base.listDelay(),
                base.reports(),
                base.replicasCheck(),
                base.commands(),
                variant.getNumber("rate", base.rate(), 0, MAX_NUMBER),
                base.phases(),
                base.sessions(),
                new FleetSpec.Contact(
                        variant.getBoolean("sharing", base.contact().shares()),
                        variant.getBoolean("marks_carried", base.contact().marksCarried()),
                        base.contact().listSpread(),
                        base.contact().roam()));
    }

    /** Reads the failures of a table, one per target, in order of the target names. */
    private static List<Failure> failures(TomlSection failure, FleetSpec fleet, double seconds)
            throws ConfigurationException {
        Set<String> targets = new TreeSet<>(failure.getStringSet("targets"));
        var failures = new ArrayList<Failure>();
        for (String target : targets.isEmpty() ? Set.of(failure.getRequiredString("target")) : targets) {
            failures.add(failure(failure, target, fleet, seconds));
        }
        return failures;
    }

    private static Failure failure(TomlSection failure, String target, FleetSpec fleet, double seconds)
            throws ConfigurationException {
        failure.getRequiredString("kind");
        Failure.Kind kind = choice(failure, "kind", Failure.Kind.class, null);
        boolean zone = kind == Failure.Kind.ZONE_LOSS;
        if (zone
                ? !fleet.zones().contains(target)
                : !target.matches("[1-9][0-9]{0,4}(p|r[1-9][0-9]{0,2})")
                        || Integer.parseInt(target.replaceAll("[pr].*", "")) > fleet.groups()) {
            throw failure.invalid(
                    failure.getStringSet("targets").isEmpty() ? "target" : "targets",
                    "there is no " + (zone ? "zone" : "node") + " '" + target + "'");
        }
        double amount = kind == Failure.Kind.NEIGHBOUR
                ? failure.getNumber("amount", 0.5, 0, 1)
                : failure.getNumber("amount", 10, 0, MAX_NUMBER);
        return new Failure(
                kind,
                target,
                failure.getNumber("at", 0, 0, seconds),
                failure.getNumber("lasts", 0, 0, HOUR_SECONDS),
                amount);
    }
}
