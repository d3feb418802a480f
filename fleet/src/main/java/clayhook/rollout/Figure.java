package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Arrays;

/**
 * What one life of one router has counted in one stage and command group, from the stage's beginning. Only that router
 * writes it, and each time with a higher number: whoever hears it twice, late or over three ways keeps the newest and
 * counts nothing twice.
 *
 * @param number of the writing; the higher one counts
 * @param at when it was written, on the writer's clock
 */
record Figure(long number, double at, long[] counts) {
    /** Seconds; a stage that takes longer forgets routers that died so long ago. */
    private static final double KEEP = 2 * 86_400;
    /** Of each kind: 1,024 routers with eight groups in two stages, and as many again. */
    private static final int MOST = 32_768;

    /** Sums of the sequential test and counts by session's bucket: the old version's, then the candidate's. */
    static final ReplicatedType<Figure> COUNTS = kind(13, "rollout counts", Sums.SIZE + 2 * Batch.Cell.SIZE);
    /** Times of the old version. */
    static final ReplicatedType<Figure> OLD_TIMES = kind(14, "rollout times, old version", Times.SIZE);
    /** Times of the candidate. */
    static final ReplicatedType<Figure> CANDIDATE_TIMES = kind(15, "rollout times, candidate", Times.SIZE);

    /** Sums of the test, within the counts: a row for each measure. */
    static final class Sums {
        static final int WIDTH = SequentialTest.RATIOS.length;
        static final int SIZE = Measure.values().length * WIDTH;

        private Sums() {}
    }

    /** Whose and of what a figure is. */
    record Key(String round, int stage, Member by, String group) {
        String text() {
            return round
                    + '/'
                    + stage
                    + '/'
                    + Long.toString(by.incarnation(), Character.MAX_RADIX)
                    + '/'
                    + by.name().length()
                    + '/'
                    + by.name()
                    + '/'
                    + group;
        }

        /** Null for what is none. */
        static Key of(String text) {
            String[] parts = text.split("/", 5);
            try {
                int length = Integer.parseInt(parts[3]);
                return new Key(
                        parts[0],
                        Integer.parseInt(parts[1]),
                        new Member(parts[4].substring(0, length), Long.parseLong(parts[2], Character.MAX_RADIX)),
                        parts[4].substring(length + 1));
            } catch (NumberFormatException | IndexOutOfBoundsException e) {
                return null;
            }
        }
    }

    private static ReplicatedType<Figure> kind(int number, String name, int size) {
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
            public Figure merge(Figure a, Figure b) {
                int order = Long.compare(a.number, b.number);
                Figure newer = order > 0 || order == 0 && Arrays.compare(a.counts, b.counts) >= 0 ? a : b;
                return new Figure(newer.number, Math.max(a.at, b.at), newer.counts);
            }

            @Override
            public double timestamp(Figure figure) {
                return figure.at;
            }

            @Override
            public double retentionSeconds() {
                return KEEP;
            }

            @Override
            public int maxEntries() {
                return MOST;
            }

            @Override
            public void write(Figure figure, FieldWriter out) {
                out.writeLong(figure.number).writeDouble(figure.at).beginList();
                for (long count : figure.counts) {
                    out.writeLong(count);
                }
                out.endList();
            }

            @Override
            public Figure read(FieldReader in) {
                var figure = new Figure(in.readLong(), in.readDouble(), in.readLongs(size));
                if (figure.counts.length != size) {
                    throw new IllegalArgumentException(figure.counts.length + " counts");
                }
                return figure;
            }
        };
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Figure figure
                && number == figure.number
                && at == figure.at
                && Arrays.equals(counts, figure.counts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(counts) + Long.hashCode(number);
    }
}
