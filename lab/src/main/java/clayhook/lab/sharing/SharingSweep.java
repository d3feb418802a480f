package clayhook.lab.sharing;

import clayhook.fleet.ReplicatedType;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Runs many trials, each with faults drawn from its seed; reports each failure with its seed and the fewest faults that
 * reproduce it.
 */
public final class SharingSweep {
    /** Maximum number of failures that are shrunk; one is enough to find the cause. */
    private static final int SHRUNK = 3;

    /**
     * A failed trial.
     *
     * @param plan the fewest and shortest faults with which the seed still fails
     * @param broken the condition that was violated with them
     */
    public record Found(int seed, FaultPlan plan, String broken) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + broken + "\n" + plan;
        }
    }

    /**
     * The result of a sweep.
     *
     * @param healed seconds from the end of faults and updates until all routers agreed, in ascending order, of the
     *     trials in which they did
     */
    public record Result(int played, int failed, List<Found> found, double[] healed) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d seeds, %d failed; all agreed after %.2f s at the median, %.2f s at the 99th "
                            + "percentile, %.2f s at the most",
                    played,
                    failed,
                    at(0.5),
                    at(0.99),
                    at(1));
        }

        private double at(double part) {
            return healed.length == 0 ? Double.NaN : healed[(int) Math.round(part * (healed.length - 1))];
        }
    }

    private final SharingTrial.Spec spec;
    private final List<ReplicatedType<?>> kinds;
    private final FaultPlan given;
    private final int faults;

    /** @param given faults of all trials; if empty, {@code faults} faults are drawn for each trial */
    public SharingSweep(SharingTrial.Spec spec, List<ReplicatedType<?>> kinds, FaultPlan given, int faults) {
        this.spec = spec;
        this.kinds = kinds;
        this.given = given;
        this.faults = faults;
    }

    private FaultPlan plan(int seed) {
        return given.faults().isEmpty()
                ? FaultPlan.drawn(seed, faults, spec.company().routers(), spec.seconds())
                : given;
    }

    /** Runs a trial for each seed on all cores; the same seeds give the same result. */
    public Result play(List<Integer> seeds) {
        SharingTrial.Verdict[] verdicts = new SharingTrial.Verdict[seeds.size()];
        IntStream.range(0, seeds.size())
                .parallel()
                .forEach(i -> verdicts[i] = SharingTrial.play(spec, kinds, plan(seeds.get(i)), seeds.get(i)));
        int[] failed = IntStream.range(0, verdicts.length)
                .filter(i -> verdicts[i].broken() != null)
                .toArray();
        List<Found> found = Arrays.stream(failed)
                .limit(SHRUNK)
                .mapToObj(i -> shrunk(seeds.get(i)))
                .toList();
        double[] healed = Arrays.stream(verdicts)
                .filter(verdict -> verdict.broken() == null)
                .mapToDouble(SharingTrial.Verdict::healed)
                .sorted()
                .toArray();
        return new Result(seeds.size(), failed.length, found, healed);
    }

    private Found shrunk(int seed) {
        FaultPlan least = plan(seed)
                .shrunk(plan -> SharingTrial.play(spec, kinds, plan, seed).broken() != null);
        return new Found(
                seed, least, SharingTrial.play(spec, kinds, least, seed).broken());
    }
}
