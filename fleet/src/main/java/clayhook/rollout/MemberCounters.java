package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import java.util.Arrays;

/**
 * Counters of one incarnation of one router for one stage and request class since the stage began. Only that router
 * writes the value, each time with a higher revision, so a value that is received twice, late or over several paths is
 * not counted twice. Immutable.
 */
final class MemberCounters {
    /** Evidence sums and outcome counters, in the layout of {@link CounterLayout}. */
    static final ReplicatedType<MemberCounters> OUTCOME_COUNTS =
            new MemberCountersType(13, "rollout counts", CounterLayout.SIZE);
    /** {@link LatencyHistogram} of the baseline. */
    static final ReplicatedType<MemberCounters> BASELINE_LATENCIES =
            new MemberCountersType(14, "rollout times, old version", LatencyHistogram.SIZE);
    /** {@link LatencyHistogram} of the candidate. */
    static final ReplicatedType<MemberCounters> CANDIDATE_LATENCIES =
            new MemberCountersType(15, "rollout times, candidate", LatencyHistogram.SIZE);

    private final long revision;
    private final double recordedAt;
    private final long[] counts;

    /**
     * Creates a value.
     *
     * @param revision number of the write; the value with the highest one wins the merge
     * @param recordedAt time of the write, in seconds since 1970 on the writer's clock
     * @param counts counters in the layout of the value's type; not copied, so the caller must not change them
     *     afterwards
     */
    MemberCounters(long revision, double recordedAt, long[] counts) {
        this.revision = revision;
        this.recordedAt = recordedAt;
        this.counts = counts;
    }

    /** Number of the write, increased with each write. */
    long revision() {
        return revision;
    }

    /** Time of the write, in seconds since 1970 on the writer's clock. */
    double recordedAt() {
        return recordedAt;
    }

    /** The counters. The array is not a copy and must not be changed. */
    long[] counts() {
        return counts;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberCounters counters
                && revision == counters.revision
                && recordedAt == counters.recordedAt
                && Arrays.equals(counts, counters.counts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(counts) + Long.hashCode(revision);
    }
}
