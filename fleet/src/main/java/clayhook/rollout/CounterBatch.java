package clayhook.rollout;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Outcomes counted by one thread, which then hands the batch over and begins a new one. Allocates only for the first
 * command of a version and group.
 */
public final class CounterBatch {
    /**
     * Versions in a batch; more than two follow each other only where stages change. Emptied by handing the batch over.
     */
    private static final int MAX_VERSIONS = 8;

    /** Counts of one version and command group; the parts of a bucket stand side by side. */
    static final class OutcomeCounters {
        /** Commands are also counted by a hash of their session, which shows how unlike each other sessions are. */
        static final int SESSION_BUCKETS = 12;
        /**
         * Within a bucket: all commands, then failed, late and throttled ones, those with a known limit for slow, slow
         * ones.
         */
        static final int TOTAL = 0;

        static final int FAILED = 1;
        static final int LATE = 2;
        static final int THROTTLED = 3;
        static final int LATENCY_COMPARED = 4;
        static final int SLOW = 5;
        static final int COUNTERS_PER_BUCKET = 6;
        static final int SIZE = SESSION_BUCKETS * COUNTERS_PER_BUCKET;
        /** Where the sessions' bucket is taken from; must not be what decides on the version. */
        private static final long BUCKET_SALT = 0x9e3779b97f4a7c15L;

        final long[] counts = new long[SIZE];
        final long[] latencies = new long[LatencyHistogram.SIZE];

        private void add(
                long session, boolean failed, boolean late, boolean throttled, double seconds, double slowFrom) {
            int at = (int) Long.remainderUnsigned(TrafficSplit.mixHash(session + BUCKET_SALT), SESSION_BUCKETS)
                    * COUNTERS_PER_BUCKET;
            counts[at + TOTAL]++;
            counts[at + FAILED] += failed ? 1 : 0;
            counts[at + LATE] += late ? 1 : 0;
            counts[at + THROTTLED] += throttled ? 1 : 0;
            if (!Double.isNaN(seconds)) {
                latencies[LatencyHistogram.bucketOf(seconds)]++;
                counts[at + LATENCY_COMPARED] += Double.isNaN(slowFrom) ? 0 : 1;
                counts[at + SLOW] += seconds >= slowFrom ? 1 : 0;
            }
        }

        void add(OutcomeCounters other) {
            for (int i = 0; i < SIZE; i++) {
                counts[i] += other.counts[i];
            }
            for (int i = 0; i < LatencyHistogram.SIZE; i++) {
                latencies[i] += other.latencies[i];
            }
        }
    }

    private final Map<RuleSetVersion, Map<String, OutcomeCounters>> countersByVersion = new IdentityHashMap<>();

    /**
     * A command has ended.
     *
     * @param version with which it began
     * @param session the hash that its version was chosen by
     * @param seconds that its answer took; NaN where it got none
     */
    public void add(
            RuleSetVersion version,
            String group,
            long session,
            boolean failed,
            boolean late,
            boolean throttled,
            double seconds) {
        if (version.rolloutId() != null) {
            addToClass(version, group, session, failed, late, throttled, seconds);
            addToClass(version, Guard.ALL_CLASSES, session, failed, late, throttled, seconds);
        }
    }

    private void addToClass(
            RuleSetVersion version,
            String group,
            long session,
            boolean failed,
            boolean late,
            boolean throttled,
            double seconds) {
        if (!version.isGuarded(group)) {
            return;
        }
        Map<String, OutcomeCounters> groups = countersByVersion.get(version);
        if (groups == null) {
            if (countersByVersion.size() >= MAX_VERSIONS) {
                return;
            }
            groups = new HashMap<>();
            countersByVersion.put(version, groups);
        }
        OutcomeCounters cell = groups.get(group);
        if (cell == null) {
            cell = new OutcomeCounters();
            groups.put(group, cell);
        }
        cell.add(session, failed, late, throttled, seconds, version.slowThreshold(group));
    }

    public boolean isEmpty() {
        return countersByVersion.isEmpty();
    }

    void forEach(BiConsumer<RuleSetVersion, Map<String, OutcomeCounters>> to) {
        countersByVersion.forEach(to);
    }
}
