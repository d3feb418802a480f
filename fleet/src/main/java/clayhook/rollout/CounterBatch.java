package clayhook.rollout;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Outcomes of requests counted by one thread, which then hands the batch to {@link RolloutController#addOutcomes} and
 * starts a new one. Owned by one thread at a time. Allocates only for the first request of a version and request class.
 */
public final class CounterBatch {
    /**
     * Versions in a batch; more than two occur only where stages change. Requests of further versions are not counted.
     */
    private static final int MAX_VERSIONS = 8;

    /** By version object, then by request class. */
    private final IdentityHashMap<RuleSetVersion, Map<String, OutcomeCounters>> countersByVersion =
            new IdentityHashMap<>();

    /**
     * Counts a finished request, for its class and for all classes together.
     *
     * @param version the version with which the request began
     * @param requestClass the class of the request
     * @param session the hash by which the version was selected
     * @param failed whether it ended in an error that is not the statement's own
     * @param late whether it was answered after its latency objective
     * @param rejected whether it was rejected
     * @param seconds until the response; NaN without a response
     */
    public void add(
            RuleSetVersion version,
            String requestClass,
            long session,
            boolean failed,
            boolean late,
            boolean rejected,
            double seconds) {
        if (version.rolloutId() != null) {
            addToClass(version, requestClass, session, failed, late, rejected, seconds);
            addToClass(version, Guard.ALL_CLASSES, session, failed, late, rejected, seconds);
        }
    }

    private void addToClass(
            RuleSetVersion version,
            String requestClass,
            long session,
            boolean failed,
            boolean late,
            boolean rejected,
            double seconds) {
        if (!version.isGuarded(requestClass)) {
            return;
        }
        Map<String, OutcomeCounters> byClass = countersByVersion.get(version);
        if (byClass == null) {
            if (countersByVersion.size() >= MAX_VERSIONS) {
                return;
            }
            byClass = new HashMap<>();
            countersByVersion.put(version, byClass);
        }
        OutcomeCounters counters = byClass.get(requestClass);
        if (counters == null) {
            counters = new OutcomeCounters();
            byClass.put(requestClass, counters);
        }
        counters.add(session, failed, late, rejected, seconds, version.slowThreshold(requestClass));
    }

    /** Whether nothing was counted. */
    public boolean isEmpty() {
        return countersByVersion.isEmpty();
    }

    /** Hands out the counters of each version, by request class. */
    void forEach(BiConsumer<RuleSetVersion, Map<String, OutcomeCounters>> action) {
        countersByVersion.forEach(action);
    }
}
