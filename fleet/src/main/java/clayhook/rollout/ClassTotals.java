package clayhook.rollout;

import java.util.EnumMap;
import java.util.Map;

/** Counters of one request class in one stage, summed over all routers. Not thread-safe. */
final class ClassTotals {
    /** Sums of the outcome counters, in the layout of {@link CounterLayout}. */
    private final long[] counts = new long[CounterLayout.SIZE];
    /** Sums of the {@link LatencyHistogram}s, by variant. */
    private final Map<Variant, long[]> latencies = new EnumMap<>(Variant.class);

    private final Map<GuardMetric, WeightedMean> differences = new EnumMap<>(GuardMetric.class);

    /**
     * The mean over routers of the difference between the variants, weighted by the precision of each router's
     * comparison.
     */
    private static final class WeightedMean {
        private double sum;
        private double weight;

        void add(double difference, double differenceWeight) {
            sum += differenceWeight * difference;
            weight += differenceWeight;
        }

        /** The weighted mean; NaN before the first {@link #add}. */
        double mean() {
            return sum / weight;
        }
    }

    /** Creates totals that are zero. */
    ClassTotals() {
        for (Variant variant : Variant.values()) {
            latencies.put(variant, new long[LatencyHistogram.SIZE]);
        }
        for (GuardMetric metric : GuardMetric.values()) {
            differences.put(metric, new WeightedMean());
        }
    }

    /** Adds the outcome counters of one router. */
    void addOutcomes(long[] routerCounts) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] += routerCounts[i];
        }
        for (GuardMetric metric : GuardMetric.values()) {
            double baseline = comparedRequests(routerCounts, metric, Variant.BASELINE);
            double candidate = comparedRequests(routerCounts, metric, Variant.CANDIDATE);
            if (baseline > 0 && candidate > 0) {
                double difference = badRequests(routerCounts, metric, Variant.CANDIDATE) / candidate
                        - badRequests(routerCounts, metric, Variant.BASELINE) / baseline;
                differences.get(metric).add(difference, baseline * candidate / (baseline + candidate));
            }
        }
    }

    /** Adds the latency histogram of one router. */
    void addLatencies(Variant variant, long[] routerLatencies) {
        long[] total = latencies.get(variant);
        for (int i = 0; i < LatencyHistogram.SIZE; i++) {
            total[i] += routerLatencies[i];
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

    /** Number of requests of a variant. */
    long requests(Variant variant) {
        return SequentialTest.sumBuckets(counts, CounterLayout.outcomeOffset(variant), OutcomeCounters.TOTAL);
    }

    /**
     * The share of a variant's requests that the metric counts as bad; for {@link GuardMetric#SLOW} the 99th percentile
     * of the response time in seconds. NaN without requests.
     */
    double metricValue(GuardMetric metric, Variant variant) {
        return metric == GuardMetric.SLOW
                ? LatencyHistogram.percentile99(latencies.get(variant))
                : badRequests(counts, metric, variant) / comparedRequests(counts, metric, variant);
    }

    /**
     * The amount by which the candidate's metric exceeds the baseline's: the mean of the differences at each router, or
     * for {@link GuardMetric#SLOW} the relative increase of the merged 99th percentile. NaN while the variants cannot
     * be compared.
     */
    double regression(GuardMetric metric) {
        return metric == GuardMetric.SLOW
                ? metricValue(metric, Variant.CANDIDATE) / metricValue(metric, Variant.BASELINE) - 1
                : differences.get(metric).mean();
    }

    /**
     * Natural logarithm of the evidence that the candidate is worse, divided by the dispersion between sessions; see
     * {@link SequentialTest}.
     */
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
