package clayhook.peers;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Selects which write outcomes are published: every write in doubt, and an executed write only if some router holds it
 * in doubt. Publishing each executed write would make traffic grow with the write rate. Confined to the gossip thread.
 */
final class InDoubtWrites {
    /**
     * Executed writes remembered. A client without an answer retries at another router within seconds, sooner than
     * that.
     */
    static final int MAX_EXECUTED = 20_000;

    private final ReplicatedStore store;
    private final ReplicatedType<WriteOutcome> type;
    /** By key, oldest first. At the bound the oldest are forgotten; a doubt published later than that remains. */
    private final Map<String, WriteOutcome> executedWrites = new LinkedHashMap<>();
    /** Keys in doubt at some router that were executed here; emptied by {@link #publishResolved}. */
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

    /** Publishes an outcome in doubt at once, and remembers an executed write. */
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

    /** Publishes the executed writes that some router holds in doubt. */
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
