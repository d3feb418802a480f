package clayhook.rollout;

import java.util.Locale;

/** Holds the figures of a stage against its guards. */
final class GuardEvaluator {
    /**
     * Evidence (as a logarithm) at which a stage is not left although nothing is proven; waiting costs only time, so
     * this may well be noise.
     */
    private static final double INCONCLUSIVE_LOG_EVIDENCE = 1;

    private final RolloutPlan plan;

    GuardEvaluator(RolloutPlan plan) {
        this.plan = plan;
    }

    /**
     * Why the rollout must be halted, or null. The candidate must be proven worse than the old version at the same
     * routers at the same time, so what hits both halts nothing; and it must be worse by more than is bearable, or
     * above the absolute bound.
     */
    String haltReason(int number, MergedCounters figures) {
        RolloutStage stage = plan.stages().get(number - 1);
        for (Guard guard : stage.guards()) {
            MergedCounters.ClassTotals group = figures.forRequestClass(guard.requestClass());
            if ((exceedsAbsoluteLimit(guard, group) || exceedsRegressionLimit(guard, group))
                    && SequentialTest.isProven(group.logEvidence(guard.metric()), plan.alphaPerGuard(stage))) {
                return "stage " + number + ", " + describe(guard, group);
            }
        }
        return null;
    }

    /** Why the stage must go on, or null when its samples are there and no guard is in doubt. */
    String holdReason(int number, MergedCounters figures) {
        RolloutStage stage = plan.stages().get(number - 1);
        for (Guard guard : stage.guards()) {
            MergedCounters.ClassTotals group = figures.forRequestClass(guard.requestClass());
            if (group.requests(1) < stage.minSamples() || group.requests(0) == 0) {
                return String.format(
                        Locale.ROOT,
                        "%s: %d of %d commands, %d of the old version",
                        guard.requestClass(),
                        group.requests(1),
                        stage.minSamples(),
                        group.requests(0));
            }
            if (exceedsAbsoluteLimit(guard, group)
                    || exceedsRegressionLimit(guard, group)
                            && group.logEvidence(guard.metric()) >= INCONCLUSIVE_LOG_EVIDENCE) {
                return "in doubt, " + describe(guard, group);
            }
        }
        return null;
    }

    private static boolean exceedsAbsoluteLimit(Guard guard, MergedCounters.ClassTotals group) {
        return group.metricValue(guard.metric(), 1) > guard.absoluteLimit();
    }

    private static boolean exceedsRegressionLimit(Guard guard, MergedCounters.ClassTotals group) {
        return group.regression(guard.metric()) > guard.regressionLimit();
    }

    private static String describe(Guard guard, MergedCounters.ClassTotals group) {
        GuardMetric measure = guard.metric();
        String form = measure == GuardMetric.SLOW
                ? "%s: %.4f s at the 99th percentile, old %.4f s, of %d commands"
                : "%s: %.3f%% " + measure.name().toLowerCase(Locale.ROOT) + ", old %.3f%%, of %d commands";
        double unit = measure == GuardMetric.SLOW ? 1 : 100;
        return String.format(
                Locale.ROOT,
                form,
                guard.requestClass(),
                unit * group.metricValue(measure, 1),
                unit * group.metricValue(measure, 0),
                group.requests(1));
    }
}
