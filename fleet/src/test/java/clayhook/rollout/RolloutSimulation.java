package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Simulates the counters of one rollout without votes and leases. Random requests of each second are counted,
 * replicated and evaluated by the production classes.
 *
 * @param routers number of routers
 * @param requestsPerSecond number of requests per second of all routers together
 * @param sessions number of sessions
 * @param extraFailureRate difference between the candidate's share of failures and the baseline's
 * @param uneven whether there are outages and bursts, and some sessions send far more requests or fail far more often
 *     than others
 */
record RolloutSimulation(int routers, int requestsPerSecond, int sessions, double extraFailureRate, boolean uneven) {
    private static final double FAILURE_RATE = 0.01;
    private static final String REQUEST_CLASS = "read";
    private static final String ROLLOUT_ID = "rollout";

    /**
     * The result of a simulation.
     *
     * @param haltedAtSecond second in which the rollout was halted, from 1; -1 if it was not halted
     * @param anyRouterHaltsAlone whether the counters of any single router would have halted it in that second
     */
    record SimulationOutcome(int haltedAtSecond, boolean anyRouterHaltsAlone) {}

    /** A plan of three stages, with four guards on a request class and four on all requests. */
    static RolloutPlan plan(int seconds) {
        var guards = IntStream.range(0, 8)
                .mapToObj(i -> new Guard(
                        i < 4 ? REQUEST_CLASS : Guard.ALL_CLASSES,
                        GuardMetric.ofCode(i % 4),
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
        var random = new SplittableRandom(seed);
        var evaluator = new GuardEvaluator(plan);
        var store = new InMemoryStore();
        var counters = IntStream.range(0, routers)
                .mapToObj(i -> new LocalCounters(ROLLOUT_ID, new Member("r" + i, 1), plan.requestClasses()))
                .toArray(LocalCounters[]::new);
        String candidateHash = String.format("%016x", random.nextLong());
        int second = 0;
        for (int stage = 1; stage <= plan.stages().size(); stage++) {
            for (double left = plan.stages().get(stage - 1).minSeconds(); left > 0; left--) {
                second++;
                for (int i = 0; i < routers; i++) {
                    countRequests(
                            counters[i],
                            candidateHash,
                            plan.stages().get(stage - 1).share(),
                            stage,
                            second,
                            random);
                    counters[i].tick(second);
                    counters[i].publish(store, stage, second);
                }
                if (evaluator.haltReason(stage, MergedCounters.collect(store, ROLLOUT_ID, stage)) != null) {
                    return new SimulationOutcome(second, anyRouterHaltsAlone(evaluator, counters, stage, second));
                }
            }
        }
        return new SimulationOutcome(-1, false);
    }

    private boolean anyRouterHaltsAlone(GuardEvaluator evaluator, LocalCounters[] counters, int stage, int now) {
        return Arrays.stream(counters).anyMatch(routerCounters -> {
            var ownStore = new InMemoryStore();
            routerCounters.publish(ownStore, stage, now);
            return evaluator.haltReason(stage, MergedCounters.collect(ownStore, ROLLOUT_ID, stage)) != null;
        });
    }

    private void countRequests(
            LocalCounters routerCounters,
            String candidateHash,
            double share,
            int stage,
            int second,
            SplittableRandom random) {
        Map<String, Double> thresholds = routerCounters.slowThresholds(stage);
        var baseline = new RuleSetVersion("00", ROLLOUT_ID, stage, false, thresholds);
        var candidate = new RuleSetVersion(candidateHash, ROLLOUT_ID, stage, true, thresholds);
        TrafficSplit split = TrafficSplit.between(baseline, baseline, candidate, share, Double.POSITIVE_INFINITY);
        // One second in ten has an outage of a node or a burst.
        double outage = uneven && random.nextInt(10) == 0 ? 0.3 : 0;
        var batch = new CounterBatch();
        for (int i = 0; i < requestsPerSecond / routers; i++) {
            double uniform = random.nextDouble();
            long session = (long) ((uneven ? uniform * uniform : uniform) * sessions);
            RuleSetVersion version = split.versionFor(session, second);
            double failureRate = FAILURE_RATE * (uneven && session % 50 == 0 ? 10 : 1)
                    + outage
                    + (version.isCandidate() ? extraFailureRate : 0);
            double seconds = 0.005 * Math.exp(random.nextDouble() * 2 + (outage > 0 ? 1 : 0));
            batch.add(
                    version,
                    REQUEST_CLASS,
                    session * 0x9e3779b97f4a7c15L,
                    random.nextDouble() < failureRate,
                    random.nextDouble() < 0.03 + outage,
                    random.nextDouble() < 0.005,
                    seconds);
        }
        batch.forEach(routerCounters::add);
    }

    /** The number of simulations that are halted, out of {@code times} simulations with different seeds. */
    static long countHalted(RolloutSimulation simulation, RolloutPlan plan, int times, long seed) {
        return IntStream.range(0, times)
                .parallel()
                .filter(i -> simulation.run(plan, seed + i).haltedAtSecond() >= 0)
                .count();
    }

    /**
     * Prints the halt rate of {@code times} rollouts whose variants do not differ, and the times to halt of a tenth as
     * many rollouts with a worse candidate.
     */
    static void printReport(int times) {
        RolloutPlan plan = plan(60);
        for (boolean uneven : new boolean[] {false, true}) {
            long halted = countHalted(new RolloutSimulation(5, 200, 2000, 0, uneven), plan, times, 1);
            System.out.printf(
                    Locale.ROOT, "no difference, %s: %d of %d halted%n", uneven ? "uneven" : "even", halted, times);
        }
        for (double extraFailureRate : new double[] {0.01, 0.05}) {
            var simulation = new RolloutSimulation(5, 1000, 5000, extraFailureRate, false);
            int[] haltedAt = IntStream.range(0, times / 10)
                    .parallel()
                    .map(i -> simulation.run(plan, 7_000_000L + i).haltedAtSecond())
                    .sorted()
                    .toArray();
            int missed =
                    (int) Arrays.stream(haltedAt).filter(second -> second < 0).count();
            System.out.printf(
                    Locale.ROOT,
                    "%.0f percentage points more failures: %d of %d never halted; halted after s:",
                    100 * extraFailureRate,
                    missed,
                    haltedAt.length);
            for (int percent : new int[] {1, 10, 25, 50, 75, 90, 99}) {
                int index = missed + (haltedAt.length - missed - 1) * percent / 100;
                System.out.printf(Locale.ROOT, "  %d%% %d", percent, haltedAt[index]);
            }
            System.out.println();
        }
    }
}
