package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of one stage summed over all routers whose values this router has received, including routers that have
 * departed. A snapshot that later changes of the store do not affect. Not thread-safe.
 */
final class MergedCounters {
    private final String rolloutId;
    private final int stage;
    private final Map<String, ClassTotals> byRequestClass = new TreeMap<>();
    private final Map<Member, Double> lastRecordedAt = new HashMap<>();

    private MergedCounters(String rolloutId, int stage) {
        this.rolloutId = rolloutId;
        this.stage = stage;
    }

    /** Sums the replicated counters of a stage. */
    static MergedCounters collect(ReplicatedStore store, String rolloutId, int stage) {
        var merged = new MergedCounters(rolloutId, stage);
        store.forEach(MemberCounters.OUTCOME_COUNTS, merged::addOutcomes);
        store.forEach(
                MemberCounters.BASELINE_LATENCIES,
                (key, counters) -> merged.addLatencies(key, counters, Variant.BASELINE));
        store.forEach(
                MemberCounters.CANDIDATE_LATENCIES,
                (key, counters) -> merged.addLatencies(key, counters, Variant.CANDIDATE));
        return merged;
    }

    private void addOutcomes(String encodedKey, MemberCounters counters) {
        CounterKey key = decodeKeyOfStage(encodedKey);
        if (key != null) {
            forRequestClass(key.requestClass()).addOutcomes(counters.counts());
            lastRecordedAt.merge(key.member(), counters.recordedAt(), Math::max);
        }
    }

    private void addLatencies(String encodedKey, MemberCounters counters, Variant variant) {
        CounterKey key = decodeKeyOfStage(encodedKey);
        if (key != null) {
            forRequestClass(key.requestClass()).addLatencies(variant, counters.counts());
        }
    }

    /** The decoded key; null if it is malformed or belongs to another rollout or stage. */
    private CounterKey decodeKeyOfStage(String encodedKey) {
        CounterKey key = CounterKey.decode(encodedKey);
        return key != null && key.rolloutId().equals(rolloutId) && key.stage() == stage ? key : null;
    }

    /** The totals of a request class; zero if no requests were counted. */
    ClassTotals forRequestClass(String requestClass) {
        return byRequestClass.computeIfAbsent(requestClass, any -> new ClassTotals());
    }

    /** Time at which each router wrote its latest outcome counters, in seconds since 1970 on that router's clock. */
    Map<Member, Double> lastRecordedAt() {
        return lastRecordedAt;
    }
}
