package clayhook.rollout;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Outcomes of requests counted by one thread, which later passes the batch to {@link RolloutController#addOutcomes} and
 * starts a new one. Owned by one thread at a time. Allocates memory only for the first request of each version and
 * request class.
 */
public final class CounterBatch {
    /**
     * Maximum number of versions in a batch. More than two occur only when the stage changes. Requests of further
     * versions are not counted.
     */
    private static final int MAX_VERSIONS = 8;

    /** Counters by version object, then by request class. */
    private final IdentityHashMap<RuleSetVersion, Map<String, OutcomeCounters>> countersByVersion =
            new IdentityHashMap<>();

    /**
     * Counts a finished request for its request class and for {@link Guard#ALL_CLASSES}, if guards watch them. Ignores
     * requests that began outside of a rollout.
     *
     * @param version the version with which the request began
     * @param requestClass the class of the request
     * @param session the hash of the session by which the version was selected
     * @param failed whether it ended in an error that the statement itself did not cause
     * @param late whether its response came after its latency objective
     * @param rejected whether the router rejected it
     * @param seconds response time in seconds; NaN without a response
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

    /** Whether the batch has no counted requests. */
    public boolean isEmpty() {
        return countersByVersion.isEmpty();
    }

    /** Calls the action with each version and its counters by request class. */
    void forEach(BiConsumer<RuleSetVersion, Map<String, OutcomeCounters>> action) {
        countersByVersion.forEach(action);
    }
}
