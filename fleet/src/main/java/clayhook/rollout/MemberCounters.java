package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;
import java.util.Arrays;

/**
 * What one life of one router has counted in one stage and command group, from the stage's beginning. Only that router
 * writes it, and each time with a higher number: whoever hears it twice, late or over three ways keeps the newest and
 * counts nothing twice.
 *
 * @param number of the writing; the higher one counts
 * @param at when it was written, on the writer's clock
 */
record MemberCounters(long revision, double recordedAt, long[] counts) {
    /** Seconds; a stage that takes longer forgets routers that died so long ago. */
    private static final double RETENTION_SECONDS = 2 * 86_400;
    /** Of each kind: 1,024 routers with eight groups in two stages, and as many again. */
    private static final int MAX_ENTRIES = 32_768;

    /** Sums of the sequential test and counts by session's bucket: the old version's, then the candidate's. */
    static final ReplicatedType<MemberCounters> OUTCOME_COUNTS =
            replicatedType(13, "rollout counts", EvidenceSums.SIZE + 2 * CounterBatch.OutcomeCounters.SIZE);
    /** Times of the old version. */
    static final ReplicatedType<MemberCounters> BASELINE_LATENCIES =
            replicatedType(14, "rollout times, old version", LatencyHistogram.SIZE);
    /** Times of the candidate. */
    static final ReplicatedType<MemberCounters> CANDIDATE_LATENCIES =
            replicatedType(15, "rollout times, candidate", LatencyHistogram.SIZE);

    /** Sums of the test, within the counts: a row for each measure. */
    static final class EvidenceSums {
        static final int SUMS_PER_METRIC = SequentialTest.RATIOS.length;
        static final int SIZE = GuardMetric.values().length * SUMS_PER_METRIC;

        private EvidenceSums() {}
    }

    /** Whose and of what a figure is. */
    record CounterKey(String rolloutId, int stage, Member member, String requestClass) {
        String encode() {
            return rolloutId
                    + '/'
                    + stage
                    + '/'
                    + Long.toString(member.incarnation(), Character.MAX_RADIX)
                    + '/'
                    + member.name().length()
                    + '/'
                    + member.name()
                    + '/'
                    + requestClass;
        }

        /** Null for what is none. */
        static CounterKey decode(String text) {
            String[] parts = text.split("/", 5);
            try {
                int length = Integer.parseInt(parts[3]);
                return new CounterKey(
                        parts[0],
                        Integer.parseInt(parts[1]),
                        new Member(parts[4].substring(0, length), Long.parseLong(parts[2], Character.MAX_RADIX)),
                        parts[4].substring(length + 1));
            } catch (NumberFormatException | IndexOutOfBoundsException e) {
                return null;
            }
        }
    }

    private static ReplicatedType<MemberCounters> replicatedType(int number, String name, int size) {
        return new ReplicatedType<>() {
            @Override
            public int typeNumber() {
                return number;
            }

            @Override
            public String name() {
                return name;
            }

            @Override
            public MemberCounters merge(MemberCounters a, MemberCounters b) {
                int order = Long.compare(a.revision, b.revision);
                MemberCounters newer = order > 0 || order == 0 && Arrays.compare(a.counts, b.counts) >= 0 ? a : b;
                return new MemberCounters(newer.revision, Math.max(a.recordedAt, b.recordedAt), newer.counts);
            }

            @Override
            public double timestamp(MemberCounters figure) {
                return figure.recordedAt;
            }

            @Override
            public double retentionSeconds() {
                return RETENTION_SECONDS;
            }

            @Override
            public int maxEntries() {
                return MAX_ENTRIES;
            }

            @Override
            public void write(MemberCounters figure, FieldWriter out) {
                out.writeLong(figure.revision).writeDouble(figure.recordedAt).beginList();
                for (long count : figure.counts) {
                    out.writeLong(count);
                }
                out.endList();
            }

            @Override
            public MemberCounters read(FieldReader in) {
                var figure = new MemberCounters(in.readLong(), in.readDouble(), in.readLongs(size));
                if (figure.counts.length != size) {
                    throw new IllegalArgumentException(figure.counts.length + " counts");
                }
                return figure;
            }
        };
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberCounters figure
                && revision == figure.revision
                && recordedAt == figure.recordedAt
                && Arrays.equals(counts, figure.counts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(counts) + Long.hashCode(revision);
    }
}
