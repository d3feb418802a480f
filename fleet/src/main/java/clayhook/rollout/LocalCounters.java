package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counters of this router for one rollout, by stage and request class. Not thread-safe. */
final class LocalCounters {
    /** Length in seconds of an interval within which both variants are assumed to see the same conditions. */
    static final double INTERVAL_SECONDS = 1;
    /** Number of stages kept: the current one and the previous one, whose last requests are still finishing. */
    private static final int MAX_STAGES = 2;

    private final String rolloutId;
    private final Member self;
    private final Set<String> requestClasses;
    /** Counters by stage and request class. The oldest stage is removed when a third one begins. */
    private final TreeMap<Integer, Map<String, ClassCounters>> byStage = new TreeMap<>();

    private double intervalEndsAt = Double.NEGATIVE_INFINITY;

    /** Creates empty counters for the given request classes of a rollout. */
    LocalCounters(String rolloutId, Member self, Set<String> requestClasses) {
        this.rolloutId = rolloutId;
        this.self = self;
        this.requestClasses = requestClasses;
    }

    private Map<String, ClassCounters> classCounters(int stage) {
        Map<String, ClassCounters> byClass = byStage.get(stage);
        if (byClass == null) {
            byClass = new HashMap<>();
            for (String requestClass : requestClasses) {
                byClass.put(requestClass, new ClassCounters());
            }
            byStage.put(stage, byClass);
            if (byStage.size() > MAX_STAGES) {
                byStage.pollFirstEntry();
            }
        }
        return byClass;
    }

    /** Adds outcomes of one version, by request class. Ignores outcomes of a stage that is no longer kept. */
    void add(RuleSetVersion version, Map<String, OutcomeCounters> outcomes) {
        if (byStage.size() == MAX_STAGES && version.stage() < byStage.firstKey()) {
            return;
        }
        Map<String, ClassCounters> byClass = classCounters(version.stage());
        outcomes.forEach((requestClass, counters) -> {
            ClassCounters classCounters = byClass.get(requestClass);
            if (classCounters != null) {
                classCounters.add(version.variant(), counters);
            }
        });
    }

    /** Closes the open interval if its time is over, and begins a new one. */
    void tick(double now) {
        if (now >= intervalEndsAt) {
            byStage.values().forEach(byClass -> byClass.values().forEach(ClassCounters::closeInterval));
            intervalEndsAt = now + INTERVAL_SECONDS;
        }
    }

    /**
     * By request class, the response time in seconds from which a request of the given stage counts as slow; NaN while
     * unknown.
     */
    Map<String, Double> slowThresholds(int stage) {
        var thresholds = new HashMap<String, Double>();
        classCounters(stage).forEach((requestClass, counters) -> {
            Map<String, ClassCounters> previous = byStage.get(stage - 1);
            thresholds.put(requestClass, counters.slowThreshold(previous == null ? null : previous.get(requestClass)));
        });
        return thresholds;
    }

    /**
     * Replicates the counters that have changed, and always those of at least one request class of {@code stage}: their
     * timestamp shows other routers that this router's counters are fresh.
     */
    void publish(ReplicatedStore store, int stage, double now) {
        classCounters(stage);
        byStage.forEach((number, byClass) -> {
            boolean heartbeat = number == stage;
            for (Map.Entry<String, ClassCounters> entry : new TreeMap<>(byClass).entrySet()) {
                if (entry.getValue().isUnpublished() || heartbeat) {
                    String key = new CounterKey(rolloutId, number, self, entry.getKey()).encode();
                    publish(store, key, entry.getValue(), now);
                    heartbeat = false;
                }
            }
        });
    }

    private static void publish(ReplicatedStore store, String key, ClassCounters counters, double now) {
        long revision = counters.nextRevision();
        publish(store, MemberCounters.OUTCOME_COUNTS, key, revision, counters.outcomeCounts(), now);
        if (counters.isUnpublished()) {
            long[] baseline = counters.latencies(Variant.BASELINE);
            long[] candidate = counters.latencies(Variant.CANDIDATE);
            publish(store, MemberCounters.BASELINE_LATENCIES, key, revision, baseline, now);
            publish(store, MemberCounters.CANDIDATE_LATENCIES, key, revision, candidate, now);
        }
        counters.markPublished();
    }

    private static void publish(
            ReplicatedStore store,
            ReplicatedType<MemberCounters> type,
            String key,
            long revision,
            long[] counts,
            double now) {
        store.merge(type, key, new MemberCounters(revision, now, counts), now);
    }
}
