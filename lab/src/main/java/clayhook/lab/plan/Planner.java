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
    private static final double MAX_GROWTH = 64;
    /**
     * The search ends when the upper and lower bound of the factor are within this ratio; results of different seeds
     * differ by more.
     */
    private static final double MAX_BOUND_RATIO = 1.05;
    /** Maximum number of replicas tried; more than any deployment has. */
    private static final int MAX_REPLICAS = 40;
    /** Factor by which a resource is increased to test whether it is the bottleneck. */
    private static final int INCREASE_FACTOR = 2;
    /** Fractions of the run after which a zone is lost, and for which it is lost. */
    private static final double LOST_FROM = 1 / 3.0, LOST_FOR = 1 / 3.0;

    private final Experiment experiment;
    private final FleetSpec fleet;
    private final Consumer<String> progress;

    /**
     * Results of a fleet over all seeds.
     *
     * @param met number of seeds with which it met the goal
     * @param firstViolation description of the first rule violation, or null
     */
    public record Evaluation(
            int met,
            int seeds,
            double service,
            double inTime,
            double busiestPrimary,
            double busiestReplica,
            String firstViolation) {
        public boolean metByAllSeeds() {
            return met == seeds;
        }

        public boolean metByNoSeed() {
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
            String zone, double before, double during, double after, double worst, String firstViolation, Need need) {}

    /** Creates a planner for the first variant of the experiment. */
    public Planner(Experiment experiment, Consumer<String> progress) {
        this.experiment = experiment;
        fleet = experiment.variants().get(0).fleet();
        this.progress = progress;
    }

    private Evaluation evaluate(FleetSpec spec, List<Failure> failures) {
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
                .filter(totals -> totals.requests > 0)
                .mapToDouble(totals -> (double) totals.inTime / totals.requests)
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
        while (factor <= MAX_GROWTH
                && factor >= 1 / MAX_GROWTH
                && (good == 0 || bad == Double.POSITIVE_INFINITY || bad / good > MAX_BOUND_RATIO)) {
            Evaluation evaluation = evaluate(fleet.loaded(factor), experiment.failures());
            progress.accept(String.format(
                    java.util.Locale.ROOT, "load times %.2f: service %.4f", factor, evaluation.service()));
            if (evaluation.metByAllSeeds()) {
                good = Math.max(good, factor);
            } else if (evaluation.metByNoSeed() && factor < bad) {
                bad = factor;
                atBad = evaluation;
            }
            double upper = evaluation.metByAllSeeds() || evaluation.metByNoSeed()
                    ? bad
                    : Math.min(bad, factor * MAX_BOUND_RATIO);
            if (!evaluation.metByAllSeeds() && !evaluation.metByNoSeed()) {
                // Seeds differ between the two bounds, so the interval is reported as it is and needs no further
                // narrowing.
                Evaluation above = evaluate(fleet.loaded(upper), experiment.failures());
                if (above.metByNoSeed() && upper < bad) {
                    bad = upper;
                    atBad = above;
                }
                break;
            }
            factor = good == 0 ? factor / 2 : upper == Double.POSITIVE_INFINITY ? factor * 2 : Math.sqrt(good * upper);
        }
        double badFactor = bad < Double.POSITIVE_INFINITY ? bad : factor;
        FleetSpec overloaded = fleet.loaded(badFactor);
        return new GrowthLimit(
                good,
                bad,
                atBad == null ? evaluate(overloaded, experiment.failures()) : atBad,
                Estimate.of(overloaded),
                causes(overloaded, experiment.failures()));
    }

    /** Doubles each resource separately; the one with the greatest gain was the bottleneck. */
    private List<Cause> causes(FleetSpec overloaded, List<Failure> failures) {
        double baselineService = evaluate(overloaded, failures).service();
        MachineSpec m = overloaded.machine();
        var causes = new ArrayList<Cause>();
        causes.add(cause(
                "cores of every node",
                overloaded.with(new MachineSpec(
                        m.cores() * INCREASE_FACTOR,
                        m.queue(),
                        m.shipping(),
                        m.apply(),
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                baselineService));
        causes.add(cause(
                "speed of applying the log",
                overloaded.with(new MachineSpec(
                        m.cores(),
                        m.queue(),
                        m.shipping(),
                        m.apply() / INCREASE_FACTOR,
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                baselineService));
        causes.add(cause(
                "length of the nodes' queues",
                overloaded.with(new MachineSpec(
                        m.cores(),
                        m.queue() * INCREASE_FACTOR,
                        m.shipping(),
                        m.apply(),
                        m.connecting(),
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                baselineService));
        causes.add(cause(
                "speed of opening connections",
                overloaded.with(new MachineSpec(
                        m.cores(),
                        m.queue(),
                        m.shipping(),
                        m.apply(),
                        m.connecting() / INCREASE_FACTOR,
                        m.coldShare(),
                        m.warmAfter())),
                failures,
                baselineService));
        causes.add(cause(
                "replicas",
                overloaded.withReplicas(Math.max(1, overloaded.replicas() * INCREASE_FACTOR)),
                failures,
                baselineService));
        causes.sort(Comparator.comparingDouble(Cause::gain).reversed());
        return causes;
    }

    private Cause cause(String resource, FleetSpec increased, List<Failure> failures, double baselineService) {
        progress.accept("with twice the " + resource);
        return new Cause(resource, evaluate(increased, failures).service() - baselineService);
    }

    /** Finds the number of replicas that the goal needs, under the failures of the experiment. */
    public Need need() {
        return need(experiment.failures());
    }

    private Need need(List<Failure> failures) {
        int least = 0;
        for (int count = 0; count <= MAX_REPLICAS; count++) {
            FleetSpec spec = fleet.withReplicas(count);
            // The estimate is checked first: work that exceeds all cores cannot be done, however it is routed.
            boolean impossible =
                    Estimate.of(spec).exceedsCapacity(experiment.goal().service())
                            && fleet.phases().isEmpty();
            Evaluation evaluation = impossible ? null : evaluate(spec, failures);
            if (evaluation != null) {
                progress.accept(
                        String.format(java.util.Locale.ROOT, "%d replicas: service %.4f", count, evaluation.service()));
            }
            if (evaluation == null || evaluation.metByNoSeed()) {
                least = count + 1;
            } else if (evaluation.metByAllSeeds()) {
                return new Need(fleet.replicas(), least, count);
            }
        }
        return new Need(fleet.replicas(), least, 0);
    }

    /** Measures the effect of losing each zone, and the number of replicas that would sustain it. */
    public List<ZoneLoss> zoneLosses() {
        var losses = new ArrayList<ZoneLoss>();
        double from = experiment.seconds() * LOST_FROM;
        double duration = experiment.seconds() * LOST_FOR;
        for (String zone : fleet.zones()) {
            var failures = new ArrayList<>(experiment.failures());
            failures.add(new Failure(Failure.Kind.ZONE_LOSS, zone, from, duration, 0));
            List<RunMetrics> runs = experiment.seeds().parallelStream()
                    .map(seed -> new SimulatedFleet(fleet, failures, seed).run(experiment.seconds()))
                    .toList();
            progress.accept("without " + zone);
            losses.add(new ZoneLoss(
                    zone,
                    meanService(runs, 0, from),
                    meanService(runs, from, from + duration),
                    meanService(runs, from + duration, experiment.seconds()),
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

    private static double meanService(List<RunMetrics> runs, double from, double to) {
        return runs.stream()
                .flatMap(run -> run.serviceBySecond().entrySet().stream())
                .filter(second -> second.getKey() >= from && second.getKey() + 1 <= to)
                .mapToDouble(java.util.Map.Entry::getValue)
                .average()
                .orElse(0);
    }
}
