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
    private static final int MAX_SHRUNK = 3;

    /**
     * A failed trial.
     *
     * @param plan the fewest and shortest faults with which the seed still fails
     * @param violation the condition that was violated with them
     */
    public record ShrunkFailure(int seed, FaultPlan plan, String violation) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + violation + "\n" + plan;
        }
    }

    /**
     * The result of a sweep.
     *
     * @param agreementSeconds seconds from the end of faults and updates until all routers agreed, in ascending order,
     *     of the trials in which they did
     */
    public record Result(int played, int failed, List<ShrunkFailure> shrunkFailures, double[] agreementSeconds) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d seeds, %d failed; all agreed after %.2f s at the median, %.2f s at the 99th "
                            + "percentile, %.2f s at the most",
                    played,
                    failed,
                    percentile(0.5),
                    percentile(0.99),
                    percentile(1));
        }

        private double percentile(double fraction) {
            return agreementSeconds.length == 0
                    ? Double.NaN
                    : agreementSeconds[(int) Math.round(fraction * (agreementSeconds.length - 1))];
        }
    }

    private final SharingTrial.Spec spec;
    private final List<ReplicatedType<?>> types;
    private final FaultPlan given;
    private final int faults;

    /** @param given faults of all trials; if empty, {@code faults} faults are drawn for each trial */
    public SharingSweep(SharingTrial.Spec spec, List<ReplicatedType<?>> types, FaultPlan given, int faults) {
        this.spec = spec;
        this.types = types;
        this.given = given;
        this.faults = faults;
    }

    private FaultPlan plan(int seed) {
        return given.faults().isEmpty()
                ? FaultPlan.draw(seed, faults, spec.peerGroup().routers(), spec.seconds())
                : given;
    }

    /** Runs a trial for each seed on all cores; the same seeds give the same result. */
    public Result play(List<Integer> seeds) {
        SharingTrial.Verdict[] verdicts = new SharingTrial.Verdict[seeds.size()];
        IntStream.range(0, seeds.size())
                .parallel()
                .forEach(i -> verdicts[i] = SharingTrial.play(spec, types, plan(seeds.get(i)), seeds.get(i)));
        int[] failed = IntStream.range(0, verdicts.length)
                .filter(i -> verdicts[i].violation() != null)
                .toArray();
        List<ShrunkFailure> shrunkFailures = Arrays.stream(failed)
                .limit(MAX_SHRUNK)
                .mapToObj(i -> shrink(seeds.get(i)))
                .toList();
        double[] agreementSeconds = Arrays.stream(verdicts)
                .filter(verdict -> verdict.violation() == null)
                .mapToDouble(SharingTrial.Verdict::agreementSeconds)
                .sorted()
                .toArray();
        return new Result(seeds.size(), failed.length, shrunkFailures, agreementSeconds);
    }

    private ShrunkFailure shrink(int seed) {
        FaultPlan least = plan(seed)
                .shrink(plan -> SharingTrial.play(spec, types, plan, seed).violation() != null);
        return new ShrunkFailure(
                seed, least, SharingTrial.play(spec, types, least, seed).violation());
    }
}
