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
record Trial(int routers, int rate, int sessions, double extra, boolean rough) {
    private static final double FAILURES = 0.01;
    private static final String GROUP = "read";

    /** What became of it: the second of the halt, or -1; and whether any router alone would have halted then. */
    record Outcome(int halted, boolean alone) {}

    /** Three stages with four guards on a command group and four on all. */
    static Plan plan(int seconds) {
        var guards = IntStream.range(0, 8)
                .mapToObj(
                        i -> new Guard(i < 4 ? GROUP : Guard.ALL, Measure.values()[i % 4], Double.POSITIVE_INFINITY, 0))
                .toList();
        return new Plan(
                List.of(
                        new Stage(0.01, seconds, 1, guards),
                        new Stage(0.1, seconds, 1, guards),
                        new Stage(0.5, seconds, 1, guards)),
                Plan.ALPHA,
                1);
    }

    Outcome play(Plan plan, long seed) {
        var chance = new SplittableRandom(seed);
        var judge = new Judge(plan);
        var copy = new Net.Copy();
        var tallies = IntStream.range(0, routers)
                .mapToObj(i -> new Tally("round", new Member("r" + i, 1), plan.groups()))
                .toArray(Tally[]::new);
        String set = String.format("%016x", chance.nextLong());
        int second = 0;
        for (int stage = 1; stage <= plan.stages().size(); stage++) {
            for (double left = plan.stages().get(stage - 1).seconds(); left > 0; left--) {
                second++;
                for (int i = 0; i < routers; i++) {
                    count(tallies[i], set, plan.stages().get(stage - 1).share(), stage, second, chance);
                    tallies[i].turn(second);
                    tallies[i].share(copy, stage, second);
                }
                if (judge.halts(stage, Figures.of(copy, "round", stage)) != null) {
                    return new Outcome(second, alone(judge, tallies, stage, second));
                }
            }
        }
        return new Outcome(-1, false);
    }

    private boolean alone(Judge judge, Tally[] tallies, int stage, int now) {
        return Arrays.stream(tallies).anyMatch(tally -> {
            var own = new Net.Copy();
            tally.share(own, stage, now);
            return judge.halts(stage, Figures.of(own, "round", stage)) != null;
        });
    }

    private void count(Tally tally, String set, double share, int stage, int second, SplittableRandom chance) {
        Map<String, Double> limits = tally.slowFrom(stage);
        var old = new Version("00", "round", stage, false, limits);
        var candidate = new Version(set, "round", stage, true, limits);
        Split split = Split.two(old, old, candidate, share, Double.POSITIVE_INFINITY);
        // A node is dead, or there is a burst, in one second of ten.
        double trouble = rough && chance.nextInt(10) == 0 ? 0.3 : 0;
        var batch = new Batch();
        for (int i = 0; i < rate / routers; i++) {
            double even = chance.nextDouble();
            long session = (long) ((rough ? even * even : even) * sessions);
            Version version = split.version(session, second);
            double failures =
                    FAILURES * (rough && session % 50 == 0 ? 10 : 1) + trouble + (version.candidate() ? extra : 0);
            double seconds = 0.005 * Math.exp(chance.nextDouble() * 2 + (trouble > 0 ? 1 : 0));
            batch.add(
                    version,
                    GROUP,
                    session * 0x9e3779b97f4a7c15L,
                    chance.nextDouble() < failures,
                    chance.nextDouble() < 0.03 + trouble,
                    chance.nextDouble() < 0.005,
                    seconds);
        }
        batch.each(tally::took);
    }

    /** Halted ones of so many, at any second. */
    static long halted(Trial trial, Plan plan, int times, long seed) {
        return IntStream.range(0, times)
                .parallel()
                .filter(i -> trial.play(plan, seed + i).halted() >= 0)
                .count();
    }

    /** Plays so many rollouts without a difference, and a tenth as many of each with one. */
    static void report(int times) {
        Plan plan = plan(60);
        for (boolean rough : new boolean[] {false, true}) {
            long halted = halted(new Trial(5, 200, 2000, 0, rough), plan, times, 1);
            System.out.printf(
                    Locale.ROOT, "no difference, %s: %d of %d halted%n", rough ? "rough" : "calm", halted, times);
        }
        for (double extra : new double[] {0.01, 0.05}) {
            var trial = new Trial(5, 1000, 5000, extra, false);
            int[] at = IntStream.range(0, times / 10)
                    .parallel()
                    .map(i -> trial.play(plan, 7_000_000L + i).halted())
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
