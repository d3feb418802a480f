package clayhook.rollout;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of one router for one stage and request class, kept for both variants. Outcomes are first added to an open
 * interval, within which both variants are assumed to see the same conditions; closing the interval adds them to the
 * totals of the closed intervals. Not thread-safe.
 */
final class ClassCounters {
    /** Minimum number of baseline response times from which the slow threshold is computed. */
    private static final int MIN_LATENCY_SAMPLES = 500;

    /** Outcomes counted since the open interval began, by variant. */
    private Map<Variant, OutcomeCounters> openInterval = emptyCounters();
    /** Outcomes of all closed intervals, by variant. */
    private final Map<Variant, OutcomeCounters> closedIntervals = emptyCounters();

    private final double[] evidenceSums = new double[CounterLayout.EVIDENCE_SIZE];
    private double slowThreshold = Double.NaN;
    private boolean intervalHasOutcomes;
    private boolean unpublished;
    private long revision;

    private static Map<Variant, OutcomeCounters> emptyCounters() {
        var counters = new EnumMap<Variant, OutcomeCounters>(Variant.class);
        for (Variant variant : Variant.values()) {
            counters.put(variant, new OutcomeCounters());
        }
        return counters;
    }

    /** Adds outcomes of a variant to the open interval. */
    void add(Variant variant, OutcomeCounters outcomes) {
        openInterval.get(variant).add(outcomes);
        intervalHasOutcomes = true;
    }

    /** Closes the open interval and begins a new one; does nothing while the interval has no outcomes. */
    void closeInterval() {
        if (!intervalHasOutcomes) {
            return;
        }
        OutcomeCounters baseline = openInterval.get(Variant.BASELINE);
        OutcomeCounters candidate = openInterval.get(Variant.CANDIDATE);
        for (GuardMetric metric : GuardMetric.values()) {
            int compared = OutcomeCounters.comparedOffset(metric);
            int bad = OutcomeCounters.badOffset(metric);
            SequentialTest.addInterval(
                    evidenceSums,
                    CounterLayout.evidenceOffset(metric),
                    baseline.sum(compared),
                    baseline.sum(bad),
                    candidate.sum(compared),
                    candidate.sum(bad));
        }
        for (Variant variant : Variant.values()) {
            closedIntervals.get(variant).add(openInterval.get(variant));
        }
        openInterval = emptyCounters();
        intervalHasOutcomes = false;
        unpublished = true;
    }

    /**
     * Response time in seconds from which a request counts as slow: the 99th percentile of the baseline. Computed once
     * and then unchanged for the rest of the stage.
     *
     * @param previousStage counters of the same request class in the previous stage; null if there are none
     * @return NaN while the baseline has fewer than {@link #MIN_LATENCY_SAMPLES} response times
     */
    double slowThreshold(ClassCounters previousStage) {
        if (Double.isNaN(slowThreshold)) {
            slowThreshold = baselinePercentile99(previousStage);
        }
        return slowThreshold;
    }

    /**
     * Computes the percentile from closed intervals only, so that no request affects the threshold that it is compared
     * with.
     */
    private double baselinePercentile99(ClassCounters previousStage) {
        var baseline = new OutcomeCounters();
        baseline.add(closedIntervals.get(Variant.BASELINE));
        if (previousStage != null) {
            baseline.add(previousStage.closedIntervals.get(Variant.BASELINE));
        }
        return LatencyHistogram.total(baseline.latencies) >= MIN_LATENCY_SAMPLES
                ? LatencyHistogram.percentile99(baseline.latencies)
                : Double.NaN;
    }

    /** Whether an interval has been closed since the last {@link #markPublished()}. */
    boolean isUnpublished() {
        return unpublished;
    }

    /** Records that the counters of all closed intervals have been replicated. */
    void markPublished() {
        unpublished = false;
    }

    /** Increments and returns the revision, for the next replicated value. */
    long nextRevision() {
        return ++revision;
    }

    /** A copy of the outcome counters of closed intervals, in the layout of {@link CounterLayout}. */
    long[] outcomeCounts() {
        long[] counts = new long[CounterLayout.SIZE];
        for (int i = 0; i < CounterLayout.EVIDENCE_SIZE; i++) {
            counts[i] = SequentialTest.toFixedPoint(evidenceSums[i]);
        }
        for (Variant variant : Variant.values()) {
            long[] outcomes = closedIntervals.get(variant).counts;
            System.arraycopy(outcomes, 0, counts, CounterLayout.outcomeOffset(variant), OutcomeCounters.SIZE);
        }
        return counts;
    }

    /** A copy of the {@link LatencyHistogram} of a variant's response times in closed intervals. */
    long[] latencies(Variant variant) {
        return closedIntervals.get(variant).latencies.clone();
    }
}
