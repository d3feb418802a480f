package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What all routers have counted in one stage, as far as it is known here; the counters of routers that have departed
 * still count. A snapshot that does not follow the store. Not thread-safe.
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

    /** Adds up the replicated counters of a stage. */
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

    private void addOutcomes(String text, MemberCounters counters) {
        CounterKey key = keyOfStage(text);
        if (key != null) {
            forRequestClass(key.requestClass()).addOutcomes(counters.counts());
            lastRecordedAt.merge(key.member(), counters.recordedAt(), Math::max);
        }
    }

    private void addLatencies(String text, MemberCounters counters, Variant variant) {
        CounterKey key = keyOfStage(text);
        if (key != null) {
            forRequestClass(key.requestClass()).addLatencies(variant, counters.counts());
        }
    }

    /** Null for malformed keys and for those of other stages. */
    private CounterKey keyOfStage(String text) {
        CounterKey key = CounterKey.decode(text);
        return key != null && key.rolloutId().equals(rolloutId) && key.stage() == stage ? key : null;
    }

    /** The totals of a request class; zero if nothing was counted. */
    ClassTotals forRequestClass(String requestClass) {
        return byRequestClass.computeIfAbsent(requestClass, any -> new ClassTotals());
    }

    /** When each router wrote its newest counters, in seconds since 1970 on that router's clock. */
    Map<Member, Double> lastRecordedAt() {
        return lastRecordedAt;
    }
}
