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
 * Plans capacity by simulation: arithmetic rules out impossible fleets, the model decides on the rest. The same file
 * gives the same results.
 */
public final class Planner {
    /** Maximum factor of load growth that is tried. */
    private static final double MOST_GROWTH = 64;
    /**
     * The search ends when the upper and lower bound of the factor are within this ratio; results of different seeds
     * differ by more.
     */
    private static final double CLOSE = 1.05;
    /** Maximum number of replicas tried; more than any deployment has. */
    private static final int MOST_REPLICAS = 40;
    /** Factor by which a resource is increased to test whether it is the bottleneck. */
    private static final int RELIEF = 2;
    /** Fractions of the run after which a zone is lost, and for which it is lost. */
    private static final double LOST_FROM = 1 / 3.0, LOST_FOR = 1 / 3.0;

    private final Experiment experiment;
    private final FleetSpec fleet;
    private final Consumer<String> progress;

    /**
     * Results of a fleet over all seeds.
     *
     * @param met number of seeds with which it met the goal
     * @param broken description of the first rule violation, or null
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
     * The limit of load growth.
     *
     * @param lastGood greatest factor tried with which every seed met the goal; 0 if there was none
     * @param firstBad least factor with which no seed met the goal; infinite if none was found
     * @param causes resources whose increase helps, the greatest gain first
     */
    public record GrowthLimit(double lastGood, double firstBad, Evaluation at, Estimate estimate, List<Cause> causes) {}

    /** A resource, and the additional share of the benefit that is earned with twice as much of it. */
    public record Cause(String resource, double gain) {}

    /**
     * Replicas per replica set that the goal needs.
     *
     * @param least no smaller number met the goal with any seed
     * @param enough number with which every seed met the goal; 0 if even the maximum tried did not
     */
    public record Need(int now, int least, int enough) {}

    /**
     * Effect of losing a zone: shares of the benefit before, during and after the loss, and the share of the worst
     * second.
     */
    public record ZoneLoss(
            String site, double before, double during, double after, double worst, String broken, Need need) {}

    /** Creates a planner for the first variant of the experiment. */
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
                        .map(RunMetrics::firstViolation)
                        .filter(first -> first != null)
                        .findFirst()
                        .orElse(null));
    }

    private boolean meets(RunMetrics run) {
        return run.violations().isEmpty()
                && run.service() >= experiment.goal().service()
                && worstInTime(run) >= experiment.goal().inTime();
    }

    private static double worstInTime(RunMetrics run) {
        return run.totalsByClass().values().stream()
                .filter(of -> of.requests > 0)
                .mapToDouble(of -> (double) of.inTime / of.requests)
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

    /**
     * Finds the load factor at which the goal is missed, and the limiting resources, under the failures of the
     * experiment.
     */
    public GrowthLimit growthLimit() {
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
                // Seeds differ between the two bounds, so the interval is reported as it is and needs no further
                // narrowing.
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
        return new GrowthLimit(
                good,
                bad,
                atBad == null ? trial(over, experiment.failures()) : atBad,
                Estimate.of(over),
                causes(over, experiment.failures()));
    }

    /** Doubles each resource separately; the one with the greatest gain was the bottleneck. */
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

    /** Finds the number of replicas that the goal needs, under the failures of the experiment. */
    public Need need() {
        return need(experiment.failures());
    }

    private Need need(List<Failure> failures) {
        int least = 0;
        for (int count = 0; count <= MOST_REPLICAS; count++) {
            FleetSpec spec = fleet.withReplicas(count);
            // The estimate is checked first: work that exceeds all cores cannot be done, however it is routed.
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

    /** Measures the effect of losing each zone, and the number of replicas that would sustain it. */
    public List<ZoneLoss> zoneLosses() {
        var losses = new ArrayList<ZoneLoss>();
        double from = experiment.seconds() * LOST_FROM;
        double lasts = experiment.seconds() * LOST_FOR;
        for (String site : fleet.zones()) {
            var failures = new ArrayList<>(experiment.failures());
            failures.add(new Failure(Failure.Kind.ZONE_LOSS, site, from, lasts, 0));
            List<RunMetrics> runs = experiment.seeds().parallelStream()
                    .map(seed -> new SimulatedFleet(fleet, failures, seed).run(experiment.seconds()))
                    .toList();
            progress.accept("without " + site);
            losses.add(new ZoneLoss(
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
                            .map(RunMetrics::firstViolation)
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
