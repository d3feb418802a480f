package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import java.util.Arrays;

/**
 * What one incarnation of one router has counted in one stage and request class since the stage began. Only that router
 * writes the value, each time with a higher revision, so a value that arrives twice, late or over several paths is not
 * counted twice. Immutable.
 */
final class MemberCounters {
    /** Evidence sums and outcome counters, see {@link CounterLayout}. */
    static final ReplicatedType<MemberCounters> OUTCOME_COUNTS =
            new MemberCountersType(13, "rollout counts", CounterLayout.SIZE);
    /** Latency histogram of the baseline. */
    static final ReplicatedType<MemberCounters> BASELINE_LATENCIES =
            new MemberCountersType(14, "rollout times, old version", LatencyHistogram.SIZE);
    /** Latency histogram of the candidate. */
    static final ReplicatedType<MemberCounters> CANDIDATE_LATENCIES =
            new MemberCountersType(15, "rollout times, candidate", LatencyHistogram.SIZE);

    private final long revision;
    private final double recordedAt;
    private final long[] counts;

    /**
     * Creates a value.
     *
     * @param revision number of the write; the highest one counts
     * @param recordedAt when it was written, in seconds since 1970 on the writer's clock
     * @param counts counters in the layout of the value's type; not copied, so they must not be changed any more
     */
    MemberCounters(long revision, double recordedAt, long[] counts) {
        this.revision = revision;
        this.recordedAt = recordedAt;
        this.counts = counts;
    }

    /** Number of the write. */
    long revision() {
        return revision;
    }

    /** When it was written, in seconds since 1970 on the writer's clock. */
    double recordedAt() {
        return recordedAt;
    }

    /** The counters; not a copy, so they must not be changed. */
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
