package clayhook.peers;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Selects the write outcomes to publish: every in-doubt write, and an executed write only if some router has published
 * it as in doubt. Publishing every executed write would make traffic grow with the write rate. Confined to the gossip
 * thread.
 */
final class InDoubtWrites {
    /**
     * The number of executed writes that are kept. A client without an answer retries at another router within seconds,
     * before the router has executed that many further writes.
     */
    static final int MAX_EXECUTED = 20_000;

    private final ReplicatedStore store;
    private final ReplicatedType<WriteOutcome> type;
    /**
     * Executed writes by key, oldest first. Above the bound the oldest is removed; if it is published as in doubt
     * later, it stays in doubt.
     */
    private final Map<String, WriteOutcome> executedWrites = new LinkedHashMap<>();
    /** Keys of executed writes that some router has published as in doubt; cleared by {@link #publishResolved}. */
    private final Set<String> resolvableKeys = new LinkedHashSet<>();

    InDoubtWrites(ReplicatedStore store, ReplicatedType<WriteOutcome> type) {
        this.store = store;
        this.type = type;
        store.addListener(type, (key, outcome, now) -> {
            if (outcome.ran() == null && executedWrites.containsKey(key)) {
                resolvableKeys.add(key);
            }
        });
    }

    /** Publishes an in-doubt write at once, and stores an executed write. */
    void recordOutcome(String key, WriteOutcome outcome, double now) {
        if (outcome.ran() == null) {
            store.merge(type, key, outcome, now);
            return;
        }
        executedWrites.put(key, outcome);
        if (store.get(type, key) != null) {
            resolvableKeys.add(key);
        }
        if (executedWrites.size() > MAX_EXECUTED) {
            executedWrites.remove(executedWrites.keySet().iterator().next());
        }
    }

    /** Publishes the executed writes that some router has published as in doubt. */
    void publishResolved(double now) {
        for (String key : Set.copyOf(resolvableKeys)) {
            WriteOutcome outcome = executedWrites.get(key);
            if (outcome != null) {
                store.merge(type, key, outcome, now);
            }
        }
        resolvableKeys.clear();
    }
}
