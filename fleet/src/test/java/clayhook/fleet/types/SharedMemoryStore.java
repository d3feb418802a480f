package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** A store that all routers of a test share, so that each router sees the updates of the others at once. */
final class SharedMemoryStore implements ReplicatedStore {
    double evictionFloor = Double.NEGATIVE_INFINITY;
    double completeUpTo = Double.POSITIVE_INFINITY;
    private final Map<ReplicatedType<?>, Map<String, Object>> values = new HashMap<>();
    private final Map<ReplicatedType<?>, List<ChangeListener<?>>> listeners = new HashMap<>();

    private Map<String, Object> valuesOf(ReplicatedType<?> type) {
        return values.computeIfAbsent(type, any -> new TreeMap<>());
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V merge(ReplicatedType<V> type, String key, V value, double now) {
        V known = get(type, key);
        V merged = known == null ? value : type.merge(known, value);
        if (!merged.equals(valuesOf(type).put(key, merged))) {
            listeners.getOrDefault(type, List.of()).forEach(listener -> ((ChangeListener<V>) listener)
                    .onChange(key, merged, now));
        }
        return merged;
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V get(ReplicatedType<V> type, String key) {
        return (V) valuesOf(type).get(key);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> void forEach(ReplicatedType<V> type, BiConsumer<String, V> consumer) {
        valuesOf(type).forEach((key, value) -> consumer.accept(key, (V) value));
    }

    @Override
    public <V> void addListener(ReplicatedType<V> type, ChangeListener<V> listener) {
        listeners.computeIfAbsent(type, any -> new ArrayList<>()).add(listener);
    }

    @Override
    public int size(ReplicatedType<?> type) {
        return valuesOf(type).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> type) {
        return evictionFloor;
    }

    @Override
    public double completeUpTo(double now) {
        return completeUpTo;
    }

    @Override
    public long digest(ReplicatedType<?> type, double now) {
        return valuesOf(type).hashCode();
    }
}
