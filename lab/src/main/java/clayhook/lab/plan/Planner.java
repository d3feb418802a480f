package clayhook.lab.plan;

import clayhook.lab.Experiment;
import clayhook.lab.model.Failure;
import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.MachineSpec;
import clayhook.lab.model.RunMetrics;
import clayhook.lab.model.SimulatedFleet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/**
 * Answers by playing: arithmetic rules out what cannot be, the model decides the rest. The same file gives the same
 * answers.
 */
public final class Planner {
    /** Growth of the load that is looked for. */
    private static final double MOST_GROWTH = 64;
    /** The search ends once the bounds of a factor lie so close; what seeds differ by is larger. */
    private static final double CLOSE = 1.05;
    /** More replicas a group than any deployment has. */
    private static final int MOST_REPLICAS = 40;
    /** How much of a resource is given to see whether it was what broke. */
    private static final int RELIEF = 2;
    /** Parts of the time in which a site is there, gone, and back. */
    private static final double LOST_FROM = 1 / 3.0, LOST_FOR = 1 / 3.0;

    private final Experiment experiment;
    private final FleetSpec fleet;
    private final Consumer<String> progress;

    /**
     * How a fleet did, over all seeds.
     *
     * @param met seeds with which it met the goal
     * @param broken the first rule that was broken, or null
     */
    public record Evaluation(
            int met,
            int seeds,
            double service,
            double inTime,
            double busiestPrimary,
            double busiestReplica,
            String broken) {
        public boolean good() {
            return met == seeds;
        }

        public boolean bad() {
            return met == 0;
        }
    }

    /**
     * Where a load that grows meets its end.
     *
     * @param lastGood the greatest factor tried at which every seed met the goal; 0 if none did
     * @param firstBad the least at which none did; infinite if that was not found
     * @param causes what relieves it, the greatest help first
     */
    public record Breaks(double lastGood, double firstBad, Evaluation at, Estimate estimate, List<Cause> causes) {}

    /** A resource, and how much more of the benefit is earned with twice as much of it. */
    public record Cause(String resource, double gain) {}

    /**
     * Replicas a group that the goal needs.
     *
     * @param least none fewer met it with any seed
     * @param enough met with every seed; 0 if not even the most that was tried did
     */
    public record Need(int now, int least, int enough) {}

    /** What losing a site does: shares of the benefit before, while it is gone and after, and the worst second. */
    public record Loss(
            String site, double before, double during, double after, double worst, String broken, Need need) {}

    /** The first variant of the experiment is planned for. */
    public Planner(Experiment experiment, Consumer<String> progress) {
        this.experiment = experiment;
        fleet = experiment.variants().get(0).fleet();
        this.progress = progress;
    }

    private Evaluation trial(FleetSpec spec, List<Failure> failures) {
        List<RunMetrics> runs = experiment.seeds().parallelStream()
                .map(seed -> new SimulatedFleet(spec, failures, seed).run(experiment.seconds()))
                .toList();
        return new Evaluation(
                (int) runs.stream().filter(this::meets).count(),
                runs.size(),
                runs.stream().mapToDouble(RunMetrics::service).average().orElse(0),
                runs.stream().mapToDouble(Planner::worstInTime).average().orElse(0),
                busiest(runs, true),
                busiest(runs, false),
                runs.stream()
                        .map(RunMetrics::firstBroken)
                        .filter(first -> first != null)
                        .findFirst()
                        .orElse(null));
    }

    private boolean meets(RunMetrics run) {
        return run.broken().isEmpty()
                && run.service() >= experiment.goal().service()
                && worstInTime(run) >= experiment.goal().inTime();
    }

    private static double worstInTime(RunMetrics run) {
        return run.groups().values().stream()
                .filter(of -> of.asked > 0)
                .mapToDouble(of -> (double) of.inTime / of.asked)
                .min()
                .orElse(1);
    }

    private static double busiest(List<RunMetrics> runs, boolean primaries) {
        return runs.stream()
                .flatMap(run -> run.busy().entrySet().stream())
                .filter(node -> node.getKey().endsWith("p") == primaries)
                .mapToDouble(java.util.Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    /** What breaks first as the load grows, with the failures that the experiment has. */
    public Breaks breaks() {
        double good = 0;
        double bad = Double.POSITIVE_INFINITY;
        Evaluation atBad = null;
        double factor = 1;
        while (factor <= MOST_GROWTH
                && factor >= 1 / MOST_GROWTH
                && (good == 0 || bad == Double.POSITIVE_INFINITY || bad / good > CLOSE)) {
            Evaluation trial = trial(fleet.loaded(factor), experiment.failures());
            progress.accept(
                    String.format(java.util.Locale.ROOT, "load times %.2f: service %.4f", factor, trial.service()));
            if (trial.good()) {
                good = Math.max(good, factor);
            } else if (trial.bad() && factor < bad) {
                bad = factor;
                atBad = trial;
            }
            double upper = trial.good() || trial.bad() ? bad : Math.min(bad, factor * CLOSE);
            if (!trial.good() && !trial.bad()) {
                // Between the two: seeds differ. The interval is what is told, it need not get closer.
                Evaluation above = trial(fleet.loaded(upper), experiment.failures());
                if (above.bad() && upper < bad) {
                    bad = upper;
                    atBad = above;
                }
                break;
            }
            factor = good == 0 ? factor / 2 : upper == Double.POSITIVE_INFINITY ? factor * 2 : Math.sqrt(good * upper);
        }
        double broken = bad < Double.POSITIVE_INFINITY ? bad : factor;
        FleetSpec over = fleet.loaded(broken);
        return new Breaks(
                good,
                bad,
                atBad == null ? trial(over, experiment.failures()) : atBad,
                Estimate.of(over),
                causes(over, experiment.failures()));
    }

    /** Each resource doubled by itself: what helps most was what broke. */
    private List<Cause> causes(FleetSpec over, List<Failure> failures) {
        double without = trial(over, failures).service();
        MachineSpec m = over.machine();
        var causes = new ArrayList<Cause>();
        causes.add(cause(
                "cores of every node",
                over.with(new MachineSpec(
                        m.cores() * RELIEF,
                        m.queue(),
                        m.shipping(),
                        m.apply(),
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                without));
        causes.add(cause(
                "speed of applying the log",
                over.with(new MachineSpec(
                        m.cores(),
                        m.queue(),
                        m.shipping(),
                        m.apply() / RELIEF,
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                without));
        causes.add(cause(
                "length of the nodes' queues",
                over.with(new MachineSpec(
                        m.cores(),
                        m.queue() * RELIEF,
                        m.shipping(),
                        m.apply(),
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                without));
        causes.add(cause(
                "speed of opening connections",
                over.with(new MachineSpec(
                        m.cores(),
                        m.queue(),
                        m.shipping(),
                        m.apply(),
                        m.connecting() / RELIEF,
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                without));
        causes.add(cause("replicas", over.withReplicas(Math.max(1, over.replicas() * RELIEF)), failures, without));
        causes.sort(Comparator.comparingDouble(Cause::gain).reversed());
        return causes;
    }

    private Cause cause(String resource, FleetSpec relieved, List<Failure> failures, double without) {
        progress.accept("with twice the " + resource);
        return new Cause(resource, trial(relieved, failures).service() - without);
    }

    /** How many replicas a group the goal needs, with the failures that the experiment has. */
    public Need need() {
        return need(experiment.failures());
    }

    private Need need(List<Failure> failures) {
        int least = 0;
        for (int count = 0; count <= MOST_REPLICAS; count++) {
            FleetSpec spec = fleet.withReplicas(count);
            // Arithmetic goes first: work that no core is left for is not done, whatever the routers do.
            boolean hopeless = Estimate.of(spec).hopeless(experiment.goal().service())
                    && fleet.phases().isEmpty();
            Evaluation trial = hopeless ? null : trial(spec, failures);
            if (trial != null) {
                progress.accept(
                        String.format(java.util.Locale.ROOT, "%d replicas: service %.4f", count, trial.service()));
            }
            if (trial == null || trial.bad()) {
                least = count + 1;
            } else if (trial.good()) {
                return new Need(fleet.replicas(), least, count);
            }
        }
        return new Need(fleet.replicas(), least, 0);
    }

    /** What losing each site does, and the replicas that would bear it. */
    public List<Loss> losses() {
        var losses = new ArrayList<Loss>();
        double from = experiment.seconds() * LOST_FROM;
        double lasts = experiment.seconds() * LOST_FOR;
        for (String site : fleet.zones()) {
            var failures = new ArrayList<>(experiment.failures());
            failures.add(new Failure(Failure.Kind.ZONE_LOSS, site, from, lasts, 0));
            List<RunMetrics> runs = experiment.seeds().parallelStream()
                    .map(seed -> new SimulatedFleet(fleet, failures, seed).run(experiment.seconds()))
                    .toList();
            progress.accept("without " + site);
            losses.add(new Loss(
                    site,
                    share(runs, 0, from),
                    share(runs, from, from + lasts),
                    share(runs, from + lasts, experiment.seconds()),
                    runs.stream()
                            .flatMap(run -> run.serviceBySecond().values().stream())
                            .mapToDouble(share -> share)
                            .min()
                            .orElse(0),
                    runs.stream()
                            .map(RunMetrics::firstBroken)
                            .filter(first -> first != null)
                            .findFirst()
                            .orElse(null),
                    need(failures)));
        }
        return losses;
    }

    private static double share(List<RunMetrics> runs, double from, double to) {
        return runs.stream()
                .flatMap(run -> run.serviceBySecond().entrySet().stream())
                .filter(second -> second.getKey() >= from && second.getKey() + 1 <= to)
                .mapToDouble(java.util.Map.Entry::getValue)
                .average()
                .orElse(0);
    }
}
