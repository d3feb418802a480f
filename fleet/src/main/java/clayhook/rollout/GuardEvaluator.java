package clayhook.rollout;

import java.util.Locale;

/** Compares the merged counters of a stage with the guards of that stage. */
final class GuardEvaluator {
    /**
     * Natural logarithm of the evidence from which an exceeded regression limit holds the stage although it does not
     * prove enough to halt the rollout. Holding a stage costs only time, so the value may be low enough for noise to
     * reach it.
     */
    private static final double INCONCLUSIVE_LOG_EVIDENCE = 1;

    private static final double PERCENT = 100;

    private final RolloutPlan plan;

    /** Creates an evaluator of the guards of a plan. */
    GuardEvaluator(RolloutPlan plan) {
        this.plan = plan;
    }

    /**
     * The reason to halt the rollout in a stage; null if no guard demands it. A guard demands it if the candidate
     * exceeds one of the guard's limits and is proven worse than the baseline at the same routers at the same time. An
     * incident that affects both variants therefore does not halt the rollout.
     *
     * @param stageNumber from 1
     */
    String haltReason(int stageNumber, MergedCounters counters) {
        RolloutStage stage = plan.stages().get(stageNumber - 1);
        for (Guard guard : stage.guards()) {
            ClassTotals totals = counters.forRequestClass(guard.requestClass());
            boolean exceeded = exceedsAbsoluteLimit(guard, totals) || exceedsRegressionLimit(guard, totals);
            if (exceeded && SequentialTest.isProven(totals.logEvidence(guard.metric()), plan.alphaPerGuard(stage))) {
                return "stage " + stageNumber + ", " + describe(guard, totals);
            }
        }
        return null;
    }

    /**
     * The reason to hold the stage; null if each guarded request class has its minimum of samples and no guard is
     * inconclusive.
     *
     * @param stageNumber from 1
     */
    String holdReason(int stageNumber, MergedCounters counters) {
        RolloutStage stage = plan.stages().get(stageNumber - 1);
        for (Guard guard : stage.guards()) {
            ClassTotals totals = counters.forRequestClass(guard.requestClass());
            long candidateRequests = totals.requests(Variant.CANDIDATE);
            long baselineRequests = totals.requests(Variant.BASELINE);
            if (candidateRequests < stage.minSamples() || baselineRequests == 0) {
                return String.format(
                        Locale.ROOT,
                        "%s: %d of %d requests, %d of the baseline",
                        guard.requestClass(),
                        candidateRequests,
                        stage.minSamples(),
                        baselineRequests);
            }
            if (exceedsAbsoluteLimit(guard, totals)
                    || (exceedsRegressionLimit(guard, totals)
                            && totals.logEvidence(guard.metric()) >= INCONCLUSIVE_LOG_EVIDENCE)) {
                return "inconclusive, " + describe(guard, totals);
            }
        }
        return null;
    }

    private static boolean exceedsAbsoluteLimit(Guard guard, ClassTotals totals) {
        return totals.metricValue(guard.metric(), Variant.CANDIDATE) > guard.absoluteLimit();
    }

    private static boolean exceedsRegressionLimit(Guard guard, ClassTotals totals) {
        return totals.regression(guard.metric()) > guard.regressionLimit();
    }

    /**
     * Describes the values that a guard compares. The wording is part of the reason for a halt, which is replicated to
     * other routers.
     */
    private static String describe(Guard guard, ClassTotals totals) {
        GuardMetric metric = guard.metric();
        boolean isLatency = metric == GuardMetric.SLOW;
        String format = isLatency
                ? "%s: %.4f s at the 99th percentile, old %.4f s, of %d commands"
                : "%s: %.3f%% " + metric.key() + ", old %.3f%%, of %d commands";
        double unit = isLatency ? 1 : PERCENT;
        return String.format(
                Locale.ROOT,
                format,
                guard.requestClass(),
                unit * totals.metricValue(metric, Variant.CANDIDATE),
                unit * totals.metricValue(metric, Variant.BASELINE),
                totals.requests(Variant.CANDIDATE));
    }
}
