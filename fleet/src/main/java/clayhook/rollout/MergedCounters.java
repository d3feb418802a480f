package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What all routers have counted of one stage, as far as it is known here; those that died since count on. */
final class MergedCounters {
    /** Of a command group. */
    static final class ClassTotals {
        /** As in {@link MemberCounters#OUTCOME_COUNTS}, added up. */
        final long[] counts = new long[MemberCounters.EvidenceSums.SIZE + 2 * CounterBatch.OutcomeCounters.SIZE];

        final long[] baselineLatencies = new long[LatencyHistogram.SIZE];
        final long[] candidateLatencies = new long[LatencyHistogram.SIZE];
        /**
         * By measure: the differences between the versions at each router, weighed by how much that router can tell.
         */
        private final double[] weightedDifferences = new double[GuardMetric.values().length];

        private final double[] weights = new double[GuardMetric.values().length];

        private void add(long[] more) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] += more[i];
            }
            for (GuardMetric measure : GuardMetric.values()) {
                double old = comparedRequests(more, measure, 0);
                double candidate = comparedRequests(more, measure, 1);
                if (old > 0 && candidate > 0) {
                    double weight = old * candidate / (old + candidate);
                    weightedDifferences[measure.ordinal()] +=
                            weight * (badRequests(more, measure, 1) / candidate - badRequests(more, measure, 0) / old);
                    weights[measure.ordinal()] += weight;
                }
            }
        }

        private static double comparedRequests(long[] counts, GuardMetric measure, int version) {
            return SequentialTest.sumBuckets(
                    counts,
                    MemberCounters.EvidenceSums.SIZE + version * CounterBatch.OutcomeCounters.SIZE,
                    LocalCounters.comparedOffset(measure));
        }

        private static double badRequests(long[] counts, GuardMetric measure, int version) {
            return SequentialTest.sumBuckets(
                    counts,
                    MemberCounters.EvidenceSums.SIZE + version * CounterBatch.OutcomeCounters.SIZE,
                    LocalCounters.badOffset(measure));
        }

        /** Commands of a version: 0 the old one, 1 the candidate. */
        long requests(int version) {
            return SequentialTest.sumBuckets(
                    counts,
                    MemberCounters.EvidenceSums.SIZE + version * CounterBatch.OutcomeCounters.SIZE,
                    CounterBatch.OutcomeCounters.TOTAL);
        }

        /**
         * Share of a version's commands that the measure counts; for {@link GuardMetric#SLOW} its 99th percentile in
         * seconds.
         */
        double metricValue(GuardMetric measure, int version) {
            return measure == GuardMetric.SLOW
                    ? LatencyHistogram.percentile99(version == 0 ? baselineLatencies : candidateLatencies)
                    : badRequests(counts, measure, version) / comparedRequests(counts, measure, version);
        }

        /** How much higher the candidate's level is at the same router; for SLOW as a part of the old version's. */
        double regression(GuardMetric measure) {
            return measure == GuardMetric.SLOW
                    ? metricValue(measure, 1) / metricValue(measure, 0) - 1
                    : weightedDifferences[measure.ordinal()] / weights[measure.ordinal()];
        }

        /** Logarithm of the evidence that the candidate is worse. */
        double logEvidence(GuardMetric measure) {
            return SequentialTest.logEvidence(counts, measure.ordinal() * MemberCounters.EvidenceSums.SUMS_PER_METRIC)
                    / SequentialTest.dispersion(
                            counts,
                            MemberCounters.EvidenceSums.SIZE,
                            LocalCounters.comparedOffset(measure),
                            LocalCounters.badOffset(measure));
        }
    }

    private final Map<String, ClassTotals> byRequestClass = new TreeMap<>();
    private final Map<Member, Double> lastRecordedAt = new HashMap<>();

    /** Of that stage. */
    static MergedCounters collect(ReplicatedStore shared, String round, int stage) {
        var figures = new MergedCounters();
        shared.forEach(MemberCounters.OUTCOME_COUNTS, (text, figure) -> {
            MemberCounters.CounterKey key = MemberCounters.CounterKey.decode(text);
            if (key != null && key.rolloutId().equals(round) && key.stage() == stage) {
                figures.forRequestClass(key.requestClass()).add(figure.counts());
                figures.lastRecordedAt.merge(key.member(), figure.recordedAt(), Math::max);
            }
        });
        shared.forEach(
                MemberCounters.BASELINE_LATENCIES,
                (text, figure) -> figures.addLatencies(text, round, stage, figure, 0));
        shared.forEach(
                MemberCounters.CANDIDATE_LATENCIES,
                (text, figure) -> figures.addLatencies(text, round, stage, figure, 1));
        return figures;
    }

    private void addLatencies(String text, String round, int stage, MemberCounters figure, int version) {
        MemberCounters.CounterKey key = MemberCounters.CounterKey.decode(text);
        if (key != null && key.rolloutId().equals(round) && key.stage() == stage) {
            long[] times = version == 0
                    ? forRequestClass(key.requestClass()).baselineLatencies
                    : forRequestClass(key.requestClass()).candidateLatencies;
            for (int i = 0; i < LatencyHistogram.SIZE; i++) {
                times[i] += figure.counts()[i];
            }
        }
    }

    ClassTotals forRequestClass(String name) {
        return byRequestClass.computeIfAbsent(name, any -> new ClassTotals());
    }

    /** When each router wrote its newest figure, on its own clock. */
    Map<Member, Double> lastRecordedAt() {
        return lastRecordedAt;
    }
}
