package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What this router counts of one rollout, by stage and request class. Not thread-safe. */
final class LocalCounters {
    /** Seconds within which both variants are taken to be exposed to the same conditions. */
    static final double INTERVAL_SECONDS = 1;
    /** Stages kept: requests that began in the stage before are still finishing. */
    private static final int MAX_STAGES = 2;

    private final String rolloutId;
    private final Member self;
    private final Set<String> requestClasses;
    /** By stage and request class; the oldest stage is removed when a third begins. */
    private final TreeMap<Integer, Map<String, ClassCounters>> byStage = new TreeMap<>();

    private double intervalEndsAt = Double.NEGATIVE_INFINITY;

    /** Counts the given request classes of a rollout. */
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

    /** Adds outcomes of one version, by request class. Those of a stage that is no longer kept are dropped. */
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

    /** Closes the interval when it is over. */
    void tick(double now) {
        if (now >= intervalEndsAt) {
            byStage.values().forEach(byClass -> byClass.values().forEach(ClassCounters::closeInterval));
            intervalEndsAt = now + INTERVAL_SECONDS;
        }
    }

    /** By request class, seconds from which a request counts as slow in that stage; NaN while unknown. */
    Map<String, Double> slowThresholds(int stage) {
        var thresholds = new HashMap<String, Double>();
        classCounters(stage).forEach((requestClass, counters) -> {
            Map<String, ClassCounters> previous = byStage.get(stage - 1);
            thresholds.put(requestClass, counters.slowThreshold(previous == null ? null : previous.get(requestClass)));
        });
        return thresholds;
    }

    /**
     * Replicates what has changed, and in any case the counters of one request class of {@code stage}: their timestamp
     * shows the other routers that this one is alive.
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
