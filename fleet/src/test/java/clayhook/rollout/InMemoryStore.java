package clayhook.rollout;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** A simple {@link ReplicatedStore} for tests. Two stores are synchronized by merging all of their values. */
final class InMemoryStore implements ReplicatedStore {
    private static final double REPLICATION_DELAY_SECONDS = 1;

    private final Map<Integer, TreeMap<String, Object>> values = new TreeMap<>();
    private final Map<Integer, ReplicatedStore.ChangeListener<Object>> listeners = new HashMap<>();
    boolean complete = true;

    @Override
    @SuppressWarnings("unchecked")
    public <V> V merge(ReplicatedType<V> type, String key, V value, double now) {
        if (now - type.timestamp(value) > type.retentionSeconds()) {
            return null;
        }
        V before = get(type, key);
        V merged = before == null ? value : type.merge(before, value);
        if (!merged.equals(before)) {
            values.computeIfAbsent(type.typeNumber(), any -> new TreeMap<>()).put(key, merged);
            ReplicatedStore.ChangeListener<Object> listener = listeners.get(type.typeNumber());
            if (listener != null) {
                listener.onChange(key, merged, now);
            }
        }
        return merged;
    }

    private Map<String, Object> entries(ReplicatedType<?> type) {
        return values.getOrDefault(type.typeNumber(), new TreeMap<>());
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V get(ReplicatedType<V> type, String key) {
        return (V) entries(type).get(key);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> void forEach(ReplicatedType<V> type, BiConsumer<String, V> action) {
        entries(type).forEach((key, value) -> action.accept(key, (V) value));
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> void addListener(ReplicatedType<V> type, ReplicatedStore.ChangeListener<V> listener) {
        listeners.put(type.typeNumber(), (ReplicatedStore.ChangeListener<Object>) listener);
    }

    @Override
    public int size(ReplicatedType<?> type) {
        return entries(type).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> type) {
        return Double.NEGATIVE_INFINITY;
    }

    @Override
    public double completeUpTo(double now) {
        return complete ? now - REPLICATION_DELAY_SECONDS : Double.NEGATIVE_INFINITY;
    }

    @Override
    public long digest(ReplicatedType<?> type, double now) {
        return entries(type).hashCode();
    }

    /** Merges all values of a type in another store into this one. */
    <V> void mergeFrom(InMemoryStore other, ReplicatedType<V> type, double now) {
        var all = new TreeMap<String, V>();
        other.forEach(type, all::put);
        all.forEach((key, value) -> merge(type, key, value, now));
    }
}
