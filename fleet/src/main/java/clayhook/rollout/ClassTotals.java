package clayhook.rollout;

import java.util.EnumMap;
import java.util.Map;

/** Counters of one request class in one stage, added over all routers. Not thread-safe. */
final class ClassTotals {
    /** In the layout of {@link CounterLayout}. */
    private final long[] counts = new long[CounterLayout.SIZE];
    /** By variant, see {@link LatencyHistogram}. */
    private final Map<Variant, long[]> latencies = new EnumMap<>(Variant.class);

    private final Map<GuardMetric, WeightedMean> differences = new EnumMap<>(GuardMetric.class);

    /**
     * The mean over routers of a difference between the variants, weighted by how precise each router's comparison is.
     */
    private static final class WeightedMean {
        private double sum;
        private double weight;

        void add(double difference, double differenceWeight) {
            sum += differenceWeight * difference;
            weight += differenceWeight;
        }

        /** NaN while nothing was added. */
        double mean() {
            return sum / weight;
        }
    }

    /** Nothing was counted yet. */
    ClassTotals() {
        for (Variant variant : Variant.values()) {
            latencies.put(variant, new long[LatencyHistogram.SIZE]);
        }
        for (GuardMetric metric : GuardMetric.values()) {
            differences.put(metric, new WeightedMean());
        }
    }

    /** Adds the outcome counts of one router. */
    void addOutcomes(long[] more) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] += more[i];
        }
        for (GuardMetric metric : GuardMetric.values()) {
            double baseline = comparedRequests(more, metric, Variant.BASELINE);
            double candidate = comparedRequests(more, metric, Variant.CANDIDATE);
            if (baseline > 0 && candidate > 0) {
                double difference = badRequests(more, metric, Variant.CANDIDATE) / candidate
                        - badRequests(more, metric, Variant.BASELINE) / baseline;
                differences.get(metric).add(difference, baseline * candidate / (baseline + candidate));
            }
        }
    }

    /** Adds the latency histogram of one router. */
    void addLatencies(Variant variant, long[] more) {
        long[] times = latencies.get(variant);
        for (int i = 0; i < LatencyHistogram.SIZE; i++) {
            times[i] += more[i];
        }
    }

    private static double comparedRequests(long[] counts, GuardMetric metric, Variant variant) {
        int position = OutcomeCounters.comparedOffset(metric);
        return SequentialTest.sumBuckets(counts, CounterLayout.outcomeOffset(variant), position);
    }

    private static double badRequests(long[] counts, GuardMetric metric, Variant variant) {
        int position = OutcomeCounters.badOffset(metric);
        return SequentialTest.sumBuckets(counts, CounterLayout.outcomeOffset(variant), position);
    }

    /** All requests of a variant. */
    long requests(Variant variant) {
        return SequentialTest.sumBuckets(counts, CounterLayout.outcomeOffset(variant), OutcomeCounters.TOTAL);
    }

    /**
     * The share of a variant's requests that the metric counts; for {@link GuardMetric#SLOW} the 99th percentile in
     * seconds.
     */
    double metricValue(GuardMetric metric, Variant variant) {
        return metric == GuardMetric.SLOW
                ? LatencyHistogram.percentile99(latencies.get(variant))
                : badRequests(counts, metric, variant) / comparedRequests(counts, metric, variant);
    }

    /**
     * By how much the candidate's metric is higher at the same routers; for {@link GuardMetric#SLOW} as a relative
     * increase.
     */
    double regression(GuardMetric metric) {
        return metric == GuardMetric.SLOW
                ? metricValue(metric, Variant.CANDIDATE) / metricValue(metric, Variant.BASELINE) - 1
                : differences.get(metric).mean();
    }

    /** Natural logarithm of the evidence that the candidate is worse. */
    double logEvidence(GuardMetric metric) {
        double evidence = SequentialTest.logEvidence(counts, CounterLayout.evidenceOffset(metric));
        return evidence
                / SequentialTest.dispersion(
                        counts,
                        CounterLayout.EVIDENCE_SIZE,
                        OutcomeCounters.comparedOffset(metric),
                        OutcomeCounters.badOffset(metric));
    }
}
