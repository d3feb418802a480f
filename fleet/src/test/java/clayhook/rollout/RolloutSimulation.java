package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * One rollout by its figures alone: commands drawn second by second, counted, shared and judged by the classes that do
 * so in service. {@code report} plays many without a difference, then the curve of times to halt.
 *
 * @param routers that share the commands
 * @param rate commands a second of all routers together
 * @param sessions few ones are uneven: some send far more than others
 * @param extra by which the candidate's share of failures is higher
 * @param rough whether nodes die for a while, bursts come, and some sessions fail far more often than others
 */
record RolloutSimulation(int routers, int requestsPerSecond, int sessions, double extraFailureRate, boolean uneven) {
    private static final double FAILURE_RATE = 0.01;
    private static final String REQUEST_CLASS = "read";

    /** What became of it: the second of the halt, or -1; and whether any router alone would have halted then. */
    record SimulationOutcome(int haltedAtSecond, boolean anyRouterHaltsAlone) {}

    /** Three stages with four guards on a command group and four on all. */
    static RolloutPlan plan(int seconds) {
        var guards = IntStream.range(0, 8)
                .mapToObj(i -> new Guard(
                        i < 4 ? REQUEST_CLASS : Guard.ALL_CLASSES,
                        GuardMetric.values()[i % 4],
                        Double.POSITIVE_INFINITY,
                        0))
                .toList();
        return new RolloutPlan(
                List.of(
                        new RolloutStage(0.01, seconds, 1, guards),
                        new RolloutStage(0.1, seconds, 1, guards),
                        new RolloutStage(0.5, seconds, 1, guards)),
                RolloutPlan.DEFAULT_ALPHA,
                1);
    }

    SimulationOutcome run(RolloutPlan plan, long seed) {
        var chance = new SplittableRandom(seed);
        var judge = new GuardEvaluator(plan);
        var copy = new InMemoryStore();
        var tallies = IntStream.range(0, routers)
                .mapToObj(i -> new LocalCounters("round", new Member("r" + i, 1), plan.requestClasses()))
                .toArray(LocalCounters[]::new);
        String set = String.format("%016x", chance.nextLong());
        int second = 0;
        for (int stage = 1; stage <= plan.stages().size(); stage++) {
            for (double left = plan.stages().get(stage - 1).minSeconds(); left > 0; left--) {
                second++;
                for (int i = 0; i < routers; i++) {
                    countRequests(tallies[i], set, plan.stages().get(stage - 1).share(), stage, second, chance);
                    tallies[i].tick(second);
                    tallies[i].publish(copy, stage, second);
                }
                if (judge.haltReason(stage, MergedCounters.collect(copy, "round", stage)) != null) {
                    return new SimulationOutcome(second, anyRouterHaltsAlone(judge, tallies, stage, second));
                }
            }
        }
        return new SimulationOutcome(-1, false);
    }

    private boolean anyRouterHaltsAlone(GuardEvaluator judge, LocalCounters[] tallies, int stage, int now) {
        return Arrays.stream(tallies).anyMatch(tally -> {
            var own = new InMemoryStore();
            tally.publish(own, stage, now);
            return judge.haltReason(stage, MergedCounters.collect(own, "round", stage)) != null;
        });
    }

    private void countRequests(
            LocalCounters tally, String set, double share, int stage, int second, SplittableRandom chance) {
        Map<String, Double> limits = tally.slowThresholds(stage);
        var old = new RuleSetVersion("00", "round", stage, false, limits);
        var candidate = new RuleSetVersion(set, "round", stage, true, limits);
        TrafficSplit split = TrafficSplit.between(old, old, candidate, share, Double.POSITIVE_INFINITY);
        // A node is dead, or there is a burst, in one second of ten.
        double trouble = uneven && chance.nextInt(10) == 0 ? 0.3 : 0;
        var batch = new CounterBatch();
        for (int i = 0; i < requestsPerSecond / routers; i++) {
            double even = chance.nextDouble();
            long session = (long) ((uneven ? even * even : even) * sessions);
            RuleSetVersion version = split.versionFor(session, second);
            double failures = FAILURE_RATE * (uneven && session % 50 == 0 ? 10 : 1)
                    + trouble
                    + (version.isCandidate() ? extraFailureRate : 0);
            double seconds = 0.005 * Math.exp(chance.nextDouble() * 2 + (trouble > 0 ? 1 : 0));
            batch.add(
                    version,
                    REQUEST_CLASS,
                    session * 0x9e3779b97f4a7c15L,
                    chance.nextDouble() < failures,
                    chance.nextDouble() < 0.03 + trouble,
                    chance.nextDouble() < 0.005,
                    seconds);
        }
        batch.forEach(tally::add);
    }

    /** Halted ones of so many, at any second. */
    static long countHalted(RolloutSimulation trial, RolloutPlan plan, int times, long seed) {
        return IntStream.range(0, times)
                .parallel()
                .filter(i -> trial.run(plan, seed + i).haltedAtSecond() >= 0)
                .count();
    }

    /** Plays so many rollouts without a difference, and a tenth as many of each with one. */
    static void printReport(int times) {
        RolloutPlan plan = plan(60);
        for (boolean rough : new boolean[] {false, true}) {
            long halted = countHalted(new RolloutSimulation(5, 200, 2000, 0, rough), plan, times, 1);
            System.out.printf(
                    Locale.ROOT, "no difference, %s: %d of %d halted%n", rough ? "rough" : "calm", halted, times);
        }
        for (double extra : new double[] {0.01, 0.05}) {
            var trial = new RolloutSimulation(5, 1000, 5000, extra, false);
            int[] at = IntStream.range(0, times / 10)
                    .parallel()
                    .map(i -> trial.run(plan, 7_000_000L + i).haltedAtSecond())
                    .sorted()
                    .toArray();
            int missed = (int) Arrays.stream(at).filter(second -> second < 0).count();
            System.out.printf(
                    Locale.ROOT,
                    "%.0f points more failures: %d of %d never halted; halted after s:",
                    100 * extra,
                    missed,
                    at.length);
            for (int percent : new int[] {1, 10, 25, 50, 75, 90, 99}) {
                int index = missed + (at.length - missed - 1) * percent / 100;
                System.out.printf(Locale.ROOT, "  %d%% %d", percent, at[index]);
            }
            System.out.println();
        }
    }
}
