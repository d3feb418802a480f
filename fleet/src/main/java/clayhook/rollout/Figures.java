package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What all routers have counted of one stage, as far as it is known here; those that died since count on. */
final class Figures {
    /** Of a command group. */
    static final class Group {
        /** As in {@link Figure#COUNTS}, added up. */
        final long[] counts = new long[Figure.Sums.SIZE + 2 * Batch.Cell.SIZE];

        final long[] oldTimes = new long[Times.SIZE];
        final long[] candidateTimes = new long[Times.SIZE];
        /**
         * By measure: the differences between the versions at each router, weighed by how much that router can tell.
         */
        private final double[] differences = new double[Measure.values().length];

        private final double[] weights = new double[Measure.values().length];

        private void add(long[] more) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] += more[i];
            }
            for (Measure measure : Measure.values()) {
                double old = all(more, measure, 0);
                double candidate = all(more, measure, 1);
                if (old > 0 && candidate > 0) {
                    double weight = old * candidate / (old + candidate);
                    differences[measure.ordinal()] +=
                            weight * (bad(more, measure, 1) / candidate - bad(more, measure, 0) / old);
                    weights[measure.ordinal()] += weight;
                }
            }
        }

        private static double all(long[] counts, Measure measure, int version) {
            return SequentialTest.total(counts, Figure.Sums.SIZE + version * Batch.Cell.SIZE, Tally.all(measure));
        }

        private static double bad(long[] counts, Measure measure, int version) {
            return SequentialTest.total(counts, Figure.Sums.SIZE + version * Batch.Cell.SIZE, Tally.bad(measure));
        }

        /** Commands of a version: 0 the old one, 1 the candidate. */
        long commands(int version) {
            return SequentialTest.total(counts, Figure.Sums.SIZE + version * Batch.Cell.SIZE, Batch.Cell.ALL);
        }

        /**
         * Share of a version's commands that the measure counts; for {@link Measure#SLOW} its 99th percentile in
         * seconds.
         */
        double level(Measure measure, int version) {
            return measure == Measure.SLOW
                    ? Times.slowest(version == 0 ? oldTimes : candidateTimes)
                    : bad(counts, measure, version) / all(counts, measure, version);
        }

        /** How much higher the candidate's level is at the same router; for SLOW as a part of the old version's. */
        double excess(Measure measure) {
            return measure == Measure.SLOW
                    ? level(measure, 1) / level(measure, 0) - 1
                    : differences[measure.ordinal()] / weights[measure.ordinal()];
        }

        /** Logarithm of the evidence that the candidate is worse. */
        double evidence(Measure measure) {
            return SequentialTest.evidence(counts, measure.ordinal() * Figure.Sums.WIDTH)
                    / SequentialTest.dispersion(counts, Figure.Sums.SIZE, Tally.all(measure), Tally.bad(measure));
        }
    }

    private final Map<String, Group> groups = new TreeMap<>();
    private final Map<Member, Double> at = new HashMap<>();

    /** Of that stage. */
    static Figures of(ReplicatedStore shared, String round, int stage) {
        var figures = new Figures();
        shared.forEach(Figure.COUNTS, (text, figure) -> {
            Figure.Key key = Figure.Key.of(text);
            if (key != null && key.round().equals(round) && key.stage() == stage) {
                figures.group(key.group()).add(figure.counts());
                figures.at.merge(key.by(), figure.at(), Math::max);
            }
        });
        shared.forEach(Figure.OLD_TIMES, (text, figure) -> figures.times(text, round, stage, figure, 0));
        shared.forEach(Figure.CANDIDATE_TIMES, (text, figure) -> figures.times(text, round, stage, figure, 1));
        return figures;
    }

    private void times(String text, String round, int stage, Figure figure, int version) {
        Figure.Key key = Figure.Key.of(text);
        if (key != null && key.round().equals(round) && key.stage() == stage) {
            long[] times = version == 0 ? group(key.group()).oldTimes : group(key.group()).candidateTimes;
            for (int i = 0; i < Times.SIZE; i++) {
                times[i] += figure.counts()[i];
            }
        }
    }

    Group group(String name) {
        return groups.computeIfAbsent(name, any -> new Group());
    }

    /** When each router wrote its newest figure, on its own clock. */
    Map<Member, Double> at() {
        return at;
    }
}
