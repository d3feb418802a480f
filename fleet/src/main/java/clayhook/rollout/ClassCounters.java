package clayhook.rollout;

import java.util.EnumMap;
import java.util.Map;

/**
 * What this router has counted in one stage and request class, for both variants side by side. Outcomes are collected
 * in an open interval, in which both variants are taken to be exposed to the same conditions, and then added to the
 * closed ones. Not thread-safe.
 */
final class ClassCounters {
    /** Response times of the baseline from which the threshold of slowness is taken. */
    private static final int MIN_LATENCY_SAMPLES = 500;

    /** Outcomes since the interval began, by variant. */
    private Map<Variant, OutcomeCounters> interval = emptyCounters();
    /** Outcomes of closed intervals, by variant. */
    private final Map<Variant, OutcomeCounters> closed = emptyCounters();

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

    /** Adds outcomes to the open interval. */
    void add(Variant variant, OutcomeCounters outcomes) {
        interval.get(variant).add(outcomes);
        intervalHasOutcomes = true;
    }

    /** Closes the interval, if it has outcomes, and begins a new one. */
    void closeInterval() {
        if (!intervalHasOutcomes) {
            return;
        }
        OutcomeCounters baseline = interval.get(Variant.BASELINE);
        OutcomeCounters candidate = interval.get(Variant.CANDIDATE);
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
            closed.get(variant).add(interval.get(variant));
        }
        interval = emptyCounters();
        intervalHasOutcomes = false;
        unpublished = true;
    }

    /**
     * Seconds from which a request counts as slow: the 99th percentile of the baseline. Once known it stays for the
     * stage.
     *
     * @param previousStage counters of the same class in the stage before; null for none
     * @return NaN while there are too few response times
     */
    double slowThreshold(ClassCounters previousStage) {
        if (Double.isNaN(slowThreshold)) {
            slowThreshold = baselinePercentile99(previousStage);
        }
        return slowThreshold;
    }

    /** From closed intervals only, so that no request takes part in the decision whether it is slow itself. */
    private double baselinePercentile99(ClassCounters previousStage) {
        var baseline = new OutcomeCounters();
        baseline.add(closed.get(Variant.BASELINE));
        if (previousStage != null) {
            baseline.add(previousStage.closed.get(Variant.BASELINE));
        }
        return LatencyHistogram.total(baseline.latencies) >= MIN_LATENCY_SAMPLES
                ? LatencyHistogram.percentile99(baseline.latencies)
                : Double.NaN;
    }

    /** Whether an interval was closed since the last {@link #markPublished()}. */
    boolean isUnpublished() {
        return unpublished;
    }

    /** Records that the closed intervals were replicated. */
    void markPublished() {
        unpublished = false;
    }

    /** The revision for the next replicated value. */
    long nextRevision() {
        return ++revision;
    }

    /** A copy of the closed intervals in the layout of {@link CounterLayout}. */
    long[] outcomeCounts() {
        long[] counts = new long[CounterLayout.SIZE];
        for (int i = 0; i < CounterLayout.EVIDENCE_SIZE; i++) {
            counts[i] = SequentialTest.toFixedPoint(evidenceSums[i]);
        }
        for (Variant variant : Variant.values()) {
            long[] outcomes = closed.get(variant).counts;
            System.arraycopy(outcomes, 0, counts, CounterLayout.outcomeOffset(variant), OutcomeCounters.SIZE);
        }
        return counts;
    }

    /** A copy of a variant's response times in closed intervals, see {@link LatencyHistogram}. */
    long[] latencies(Variant variant) {
        return closed.get(variant).latencies.clone();
    }
}
