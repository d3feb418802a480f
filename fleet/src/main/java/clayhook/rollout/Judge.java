package clayhook.rollout;

import java.util.Locale;

/** Holds the figures of a stage against its guards. */
final class Judge {
    /**
     * Evidence (as a logarithm) at which a stage is not left although nothing is proven; waiting costs only time, so
     * this may well be noise.
     */
    private static final double DOUBT = 1;

    private final Plan plan;

    Judge(Plan plan) {
        this.plan = plan;
    }

    /**
     * Why the rollout must be halted, or null. The candidate must be proven worse than the old version at the same
     * routers at the same time, so what hits both halts nothing; and it must be worse by more than is bearable, or
     * above the absolute bound.
     */
    String halts(int number, Figures figures) {
        Stage stage = plan.stages().get(number - 1);
        for (Guard guard : stage.guards()) {
            Figures.Group group = figures.group(guard.group());
            if ((above(guard, group) || worse(guard, group))
                    && SequentialTest.proven(group.evidence(guard.measure()), plan.alphaOfGuard(stage))) {
                return "stage " + number + ", " + seen(guard, group);
            }
        }
        return null;
    }

    /** Why the stage must go on, or null when its samples are there and no guard is in doubt. */
    String waits(int number, Figures figures) {
        Stage stage = plan.stages().get(number - 1);
        for (Guard guard : stage.guards()) {
            Figures.Group group = figures.group(guard.group());
            if (group.commands(1) < stage.samples() || group.commands(0) == 0) {
                return String.format(
                        Locale.ROOT,
                        "%s: %d of %d commands, %d of the old version",
                        guard.group(),
                        group.commands(1),
                        stage.samples(),
                        group.commands(0));
            }
            if (above(guard, group) || worse(guard, group) && group.evidence(guard.measure()) >= DOUBT) {
                return "in doubt, " + seen(guard, group);
            }
        }
        return null;
    }

    private static boolean above(Guard guard, Figures.Group group) {
        return group.level(guard.measure(), 1) > guard.most();
    }

    private static boolean worse(Guard guard, Figures.Group group) {
        return group.excess(guard.measure()) > guard.worse();
    }

    private static String seen(Guard guard, Figures.Group group) {
        Measure measure = guard.measure();
        String form = measure == Measure.SLOW
                ? "%s: %.4f s at the 99th percentile, old %.4f s, of %d commands"
                : "%s: %.3f%% " + measure.name().toLowerCase(Locale.ROOT) + ", old %.3f%%, of %d commands";
        double unit = measure == Measure.SLOW ? 1 : 100;
        return String.format(
                Locale.ROOT,
                form,
                guard.group(),
                unit * group.level(measure, 1),
                unit * group.level(measure, 0),
                group.commands(1));
    }
}
