package clayhook.rollout;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Outcomes counted by one thread, which then hands the batch over and begins a new one. Allocates only for the first
 * command of a version and group.
 */
public final class Batch {
    /**
     * Versions in a batch; more than two follow each other only where stages change. Emptied by handing the batch over.
     */
    private static final int MOST_VERSIONS = 8;

    /** Counts of one version and command group; the parts of a bucket stand side by side. */
    static final class Cell {
        /** Commands are also counted by a hash of their session, which shows how unlike each other sessions are. */
        static final int BUCKETS = 12;
        /**
         * Within a bucket: all commands, then failed, late and throttled ones, those with a known limit for slow, slow
         * ones.
         */
        static final int ALL = 0;

        static final int FAILED = 1;
        static final int LATE = 2;
        static final int THROTTLED = 3;
        static final int TIMED = 4;
        static final int SLOW = 5;
        static final int WIDTH = 6;
        static final int SIZE = BUCKETS * WIDTH;
        /** Where the sessions' bucket is taken from; must not be what decides on the version. */
        private static final long SALT = 0x9e3779b97f4a7c15L;

        final long[] counts = new long[SIZE];
        final long[] times = new long[Times.SIZE];

        private void add(
                long session, boolean failed, boolean late, boolean throttled, double seconds, double slowFrom) {
            int at = (int) Long.remainderUnsigned(Split.mixed(session + SALT), BUCKETS) * WIDTH;
            counts[at + ALL]++;
            counts[at + FAILED] += failed ? 1 : 0;
            counts[at + LATE] += late ? 1 : 0;
            counts[at + THROTTLED] += throttled ? 1 : 0;
            if (!Double.isNaN(seconds)) {
                times[Times.step(seconds)]++;
                counts[at + TIMED] += Double.isNaN(slowFrom) ? 0 : 1;
                counts[at + SLOW] += seconds >= slowFrom ? 1 : 0;
            }
        }

        void add(Cell other) {
            for (int i = 0; i < SIZE; i++) {
                counts[i] += other.counts[i];
            }
            for (int i = 0; i < Times.SIZE; i++) {
                times[i] += other.times[i];
            }
        }
    }

    private final Map<Version, Map<String, Cell>> cells = new IdentityHashMap<>();

    /**
     * A command has ended.
     *
     * @param version with which it began
     * @param session the hash that its version was chosen by
     * @param seconds that its answer took; NaN where it got none
     */
    public void add(
            Version version,
            String group,
            long session,
            boolean failed,
            boolean late,
            boolean throttled,
            double seconds) {
        if (version.round() != null) {
            count(version, group, session, failed, late, throttled, seconds);
            count(version, Guard.ALL, session, failed, late, throttled, seconds);
        }
    }

    private void count(
            Version version,
            String group,
            long session,
            boolean failed,
            boolean late,
            boolean throttled,
            double seconds) {
        if (!version.watches(group)) {
            return;
        }
        Map<String, Cell> groups = cells.get(version);
        if (groups == null) {
            if (cells.size() >= MOST_VERSIONS) {
                return;
            }
            groups = new HashMap<>();
            cells.put(version, groups);
        }
        Cell cell = groups.get(group);
        if (cell == null) {
            cell = new Cell();
            groups.put(group, cell);
        }
        cell.add(session, failed, late, throttled, seconds, version.slowFrom(group));
    }

    public boolean isEmpty() {
        return cells.isEmpty();
    }

    void each(BiConsumer<Version, Map<String, Cell>> to) {
        cells.forEach(to);
    }
}
