package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What this router counts of one rollout: by stage and command group, the two versions side by side. */
final class LocalCounters {
    /** Seconds within which both versions are taken to live through the same. */
    static final double INTERVAL_SECONDS = 1;
    /** Times of the old version from which its 99th percentile is taken; it then stays for the stage. */
    private static final int MIN_LATENCY_SAMPLES = 500;
    /** Stages kept: commands of the one before still come to their end. */
    private static final int MAX_STAGES = 2;

    private static final class ClassCounters {
        /** What came since the slice began. */
        CounterBatch.OutcomeCounters[] interval = {
            new CounterBatch.OutcomeCounters(), new CounterBatch.OutcomeCounters()
        };
        /** All before: the old version's, the candidate's. */
        final CounterBatch.OutcomeCounters[] completed = {
            new CounterBatch.OutcomeCounters(), new CounterBatch.OutcomeCounters()
        };

        final double[] evidenceSums = new double[MemberCounters.EvidenceSums.SIZE];
        double slowThreshold = Double.NaN;
        /** Whether something came since the slice began; and since it was shared. */
        boolean intervalHasOutcomes;

        boolean unpublished;
        long revision;
    }

    private final String rolloutId;
    private final Member self;
    private final Set<String> requestClasses;
    /** By stage and group; the oldest stage goes when a third begins. */
    private final TreeMap<Integer, Map<String, ClassCounters>> byStage = new TreeMap<>();

    private double intervalEndsAt = Double.NEGATIVE_INFINITY;

    LocalCounters(String round, Member self, Set<String> watched) {
        this.rolloutId = round;
        this.self = self;
        this.requestClasses = watched;
    }

    private Map<String, ClassCounters> classCounters(int stage) {
        Map<String, ClassCounters> groups = byStage.get(stage);
        if (groups == null) {
            groups = new HashMap<>();
            for (String group : requestClasses) {
                groups.put(group, new ClassCounters());
            }
            byStage.put(stage, groups);
            if (byStage.size() > MAX_STAGES) {
                byStage.pollFirstEntry();
            }
        }
        return groups;
    }

    /** Outcomes of one version. Those of a stage long over are dropped. */
    void add(RuleSetVersion version, Map<String, CounterBatch.OutcomeCounters> cells) {
        if (byStage.size() == MAX_STAGES && version.stage() < byStage.firstKey()) {
            return;
        }
        Map<String, ClassCounters> groups = classCounters(version.stage());
        cells.forEach((name, cell) -> {
            ClassCounters group = groups.get(name);
            if (group != null) {
                group.interval[version.isCandidate() ? 1 : 0].add(cell);
                group.intervalHasOutcomes = true;
            }
        });
    }

    /** Closes the slice when it is over. */
    void tick(double now) {
        if (now >= intervalEndsAt) {
            byStage.values().forEach(groups -> groups.values().forEach(LocalCounters::closeInterval));
            intervalEndsAt = now + INTERVAL_SECONDS;
        }
    }

    private static void closeInterval(ClassCounters group) {
        if (!group.intervalHasOutcomes) {
            return;
        }
        for (GuardMetric measure : GuardMetric.values()) {
            int all = comparedOffset(measure);
            int bad = badOffset(measure);
            SequentialTest.addInterval(
                    group.evidenceSums,
                    measure.ordinal() * MemberCounters.EvidenceSums.SUMS_PER_METRIC,
                    SequentialTest.sumBuckets(group.interval[0].counts, 0, all),
                    SequentialTest.sumBuckets(group.interval[0].counts, 0, bad),
                    SequentialTest.sumBuckets(group.interval[1].counts, 0, all),
                    SequentialTest.sumBuckets(group.interval[1].counts, 0, bad));
        }
        for (int i = 0; i < 2; i++) {
            group.completed[i].add(group.interval[i]);
        }
        group.interval = new CounterBatch.OutcomeCounters[] {
            new CounterBatch.OutcomeCounters(), new CounterBatch.OutcomeCounters()
        };
        group.intervalHasOutcomes = false;
        group.unpublished = true;
    }

    /** Where in a bucket the commands stand that a measure is a share of. */
    static int comparedOffset(GuardMetric measure) {
        return measure == GuardMetric.SLOW
                ? CounterBatch.OutcomeCounters.LATENCY_COMPARED
                : CounterBatch.OutcomeCounters.TOTAL;
    }

    /** Where in a bucket those stand that a measure counts. */
    static int badOffset(GuardMetric measure) {
        return switch (measure) {
            case FAILED -> CounterBatch.OutcomeCounters.FAILED;
            case LATE -> CounterBatch.OutcomeCounters.LATE;
            case THROTTLED -> CounterBatch.OutcomeCounters.THROTTLED;
            case SLOW -> CounterBatch.OutcomeCounters.SLOW;
        };
    }

    /** Seconds from which a command of each watched group counts as slow in that stage; NaN while that is not known. */
    Map<String, Double> slowThresholds(int stage) {
        var limits = new HashMap<String, Double>();
        classCounters(stage).forEach((name, group) -> {
            if (Double.isNaN(group.slowThreshold)) {
                Map<String, ClassCounters> before = byStage.get(stage - 1);
                group.slowThreshold = baselinePercentile99(group, before == null ? null : before.get(name));
            }
            limits.put(name, group.slowThreshold);
        });
        return limits;
    }

    /** Of what was closed before, so that no command has a say in whether it counts as slow itself. */
    private static double baselinePercentile99(ClassCounters group, ClassCounters before) {
        var old = new CounterBatch.OutcomeCounters();
        old.add(group.completed[0]);
        if (before != null) {
            old.add(before.completed[0]);
        }
        long times = 0;
        for (long count : old.latencies) {
            times += count;
        }
        return times >= MIN_LATENCY_SAMPLES ? LatencyHistogram.percentile99(old.latencies) : Double.NaN;
    }

    /** Puts what is new where the others find it, and in any case one figure of that stage, as a sign of life. */
    void publish(ReplicatedStore shared, int stage, double now) {
        classCounters(stage);
        byStage.forEach((of, groups) -> {
            boolean sign = of == stage;
            for (Map.Entry<String, ClassCounters> entry : new TreeMap<>(groups).entrySet()) {
                if (entry.getValue().unpublished || sign) {
                    publish(
                            shared,
                            new MemberCounters.CounterKey(rolloutId, of, self, entry.getKey()).encode(),
                            entry.getValue(),
                            now);
                    sign = false;
                }
            }
        });
    }

    private static void publish(ReplicatedStore shared, String key, ClassCounters group, double now) {
        long number = ++group.revision;
        long[] counts = new long[MemberCounters.EvidenceSums.SIZE + 2 * CounterBatch.OutcomeCounters.SIZE];
        for (int i = 0; i < MemberCounters.EvidenceSums.SIZE; i++) {
            counts[i] = SequentialTest.toFixedPoint(group.evidenceSums[i]);
        }
        System.arraycopy(
                group.completed[0].counts,
                0,
                counts,
                MemberCounters.EvidenceSums.SIZE,
                CounterBatch.OutcomeCounters.SIZE);
        System.arraycopy(
                group.completed[1].counts,
                0,
                counts,
                MemberCounters.EvidenceSums.SIZE + CounterBatch.OutcomeCounters.SIZE,
                CounterBatch.OutcomeCounters.SIZE);
        shared.merge(MemberCounters.OUTCOME_COUNTS, key, new MemberCounters(number, now, counts), now);
        if (group.unpublished) {
            shared.merge(
                    MemberCounters.BASELINE_LATENCIES,
                    key,
                    new MemberCounters(number, now, group.completed[0].latencies.clone()),
                    now);
            shared.merge(
                    MemberCounters.CANDIDATE_LATENCIES,
                    key,
                    new MemberCounters(number, now, group.completed[1].latencies.clone()),
                    now);
        }
        group.unpublished = false;
    }
}
