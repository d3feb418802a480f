package clayhook.rollout;

/** Counters of one request class in one stage, added over all routers. Not thread-safe. */
final class ClassTotals {
    /** In the layout of {@link CounterLayout}. */
    private final long[] counts = new long[CounterLayout.SIZE];
    /** By variant, see {@link LatencyHistogram}. */
    private final long[][] latencies = new long[Variant.values().length][LatencyHistogram.SIZE];
    /**
     * By metric: differences between the variants at each router, weighted by how precise that router's comparison is.
     */
    private final double[] weightedDifferences = new double[GuardMetric.values().length];

    private final double[] weights = new double[GuardMetric.values().length];

    /** Adds the outcome counts of one router. */
    void addOutcomes(long[] more) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] += more[i];
        }
        for (GuardMetric metric : GuardMetric.values()) {
            double baseline = comparedRequests(more, metric, Variant.BASELINE);
            double candidate = comparedRequests(more, metric, Variant.CANDIDATE);
            if (baseline > 0 && candidate > 0) {
                double weight = baseline * candidate / (baseline + candidate);
                weightedDifferences[metric.ordinal()] += weight
                        * (badRequests(more, metric, Variant.CANDIDATE) / candidate
                                - badRequests(more, metric, Variant.BASELINE) / baseline);
                weights[metric.ordinal()] += weight;
            }
        }
    }

    /** Adds the latency histogram of one router. */
    void addLatencies(Variant variant, long[] more) {
        long[] times = latencies[variant.ordinal()];
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
                ? LatencyHistogram.percentile99(latencies[variant.ordinal()])
                : badRequests(counts, metric, variant) / comparedRequests(counts, metric, variant);
    }

    /**
     * By how much the candidate's metric is higher at the same routers; for {@link GuardMetric#SLOW} as a relative
     * increase.
     */
    double regression(GuardMetric metric) {
        return metric == GuardMetric.SLOW
                ? metricValue(metric, Variant.CANDIDATE) / metricValue(metric, Variant.BASELINE) - 1
                : weightedDifferences[metric.ordinal()] / weights[metric.ordinal()];
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
