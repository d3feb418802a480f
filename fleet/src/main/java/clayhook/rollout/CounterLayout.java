package clayhook.rollout;

/**
 * Offsets within the replicated array of {@link MemberCounters#OUTCOME_COUNTS}, which holds the evidence sums of each
 * metric, then the outcome counters of the baseline, then those of the candidate. The layout is part of the wire
 * format.
 */
final class CounterLayout {
    /** Number of evidence sums of one metric: one for each of {@link SequentialTest#RATIOS}. */
    static final int SUMS_PER_METRIC = SequentialTest.RATIOS.length;
    /** Number of evidence sums of all metrics, which precede the outcome counters. */
    static final int EVIDENCE_SIZE = GuardMetric.values().length * SUMS_PER_METRIC;
    /** Length of the whole array. */
    static final int SIZE = EVIDENCE_SIZE + Variant.values().length * OutcomeCounters.SIZE;

    private CounterLayout() {}

    /** Offset of the first evidence sum of a metric. */
    static int evidenceOffset(GuardMetric metric) {
        return metric.code() * SUMS_PER_METRIC;
    }

    /** Offset of the first outcome counter of a variant. */
    static int outcomeOffset(Variant variant) {
        return EVIDENCE_SIZE + variant.position() * OutcomeCounters.SIZE;
    }
}
