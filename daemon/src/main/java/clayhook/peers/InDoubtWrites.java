package clayhook.peers;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which fates of writes are put into what routers share: all that are in doubt, and what ran where any router is in
 * doubt. Guards against telling each write to all routers.
 */
final class InDoubtWrites {
    /** Writes that ran here lately; a client that got no answer elsewhere has tried again here within seconds. */
    static final int MAX_EXECUTED = 20_000;

    private final ReplicatedStore store;
    private final ReplicatedType<WriteOutcome> type;
    /** By key, oldest first; at the bound the oldest go, and a doubt told later than that stays one. */
    private final Map<String, WriteOutcome> executedWrites = new LinkedHashMap<>();
    /** Doubts that others told of what ran here; emptied each turn. */
    private final Set<String> resolvableKeys = new LinkedHashSet<>();

    InDoubtWrites(ReplicatedStore shared, ReplicatedType<WriteOutcome> kind) {
        this.store = shared;
        this.type = kind;
        shared.addListener(kind, (key, fate, now) -> {
            if (fate.ran() == null && executedWrites.containsKey(key)) {
                resolvableKeys.add(key);
            }
        });
    }

    void recordOutcome(String key, WriteOutcome fate, double now) {
        if (fate.ran() == null) {
            store.merge(type, key, fate, now);
            return;
        }
        executedWrites.put(key, fate);
        if (store.get(type, key) != null) {
            resolvableKeys.add(key);
        }
        if (executedWrites.size() > MAX_EXECUTED) {
            executedWrites.remove(executedWrites.keySet().iterator().next());
        }
    }

    /** Ends the doubts that can be ended here. */
    void publishResolved(double now) {
        for (String key : Set.copyOf(resolvableKeys)) {
            WriteOutcome fate = executedWrites.get(key);
            if (fate != null) {
                store.merge(type, key, fate, now);
            }
        }
        resolvableKeys.clear();
    }
}
