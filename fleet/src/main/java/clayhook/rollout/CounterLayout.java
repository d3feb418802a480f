package clayhook.rollout;

/**
 * Positions within the replicated array of {@link MemberCounters#OUTCOME_COUNTS}: the evidence sums of each metric,
 * then the outcome counters of the baseline, then those of the candidate. The layout is part of the wire format.
 */
final class CounterLayout {
    /** Evidence sums of one metric: one for each ratio of the {@link SequentialTest}. */
    static final int SUMS_PER_METRIC = SequentialTest.RATIOS.length;
    /** All evidence sums; they precede the outcome counters. */
    static final int EVIDENCE_SIZE = GuardMetric.values().length * SUMS_PER_METRIC;
    /** Length of the array. */
    static final int SIZE = EVIDENCE_SIZE + Variant.values().length * OutcomeCounters.SIZE;

    private CounterLayout() {}

    /** Where the evidence sums of a metric begin. */
    static int evidenceOffset(GuardMetric metric) {
        return metric.code() * SUMS_PER_METRIC;
    }

    /** Where the outcome counters of a variant begin. */
    static int outcomeOffset(Variant variant) {
        return EVIDENCE_SIZE + variant.position() * OutcomeCounters.SIZE;
    }
}
