package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** One copy that all routers of a test share at once. */
final class SharedMemoryStore implements ReplicatedStore {
    double floor = Double.NEGATIVE_INFINITY;
    double certainUpTo = Double.POSITIVE_INFINITY;
    private final Map<ReplicatedType<?>, Map<String, Object>> values = new HashMap<>();
    private final Map<ReplicatedType<?>, List<ChangeListener<?>>> listeners = new HashMap<>();

    private Map<String, Object> valuesOf(ReplicatedType<?> kind) {
        return values.computeIfAbsent(kind, any -> new TreeMap<>());
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V merge(ReplicatedType<V> kind, String key, V value, double now) {
        V known = get(kind, key);
        V joined = known == null ? value : kind.merge(known, value);
        if (!joined.equals(valuesOf(kind).put(key, joined))) {
            listeners.getOrDefault(kind, List.of()).forEach(to -> ((ChangeListener<V>) to).onChange(key, joined, now));
        }
        return joined;
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V get(ReplicatedType<V> kind, String key) {
        return (V) valuesOf(kind).get(key);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> void forEach(ReplicatedType<V> kind, BiConsumer<String, V> to) {
        valuesOf(kind).forEach((key, value) -> to.accept(key, (V) value));
    }

    @Override
    public <V> void addListener(ReplicatedType<V> kind, ChangeListener<V> listener) {
        listeners.computeIfAbsent(kind, any -> new ArrayList<>()).add(listener);
    }

    @Override
    public int size(ReplicatedType<?> kind) {
        return valuesOf(kind).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> kind) {
        return floor;
    }

    @Override
    public double completeUpTo(double now) {
        return certainUpTo;
    }

    @Override
    public long digest(ReplicatedType<?> kind, double now) {
        return valuesOf(kind).hashCode();
    }
}
