package clayhook.fleet.kinds;

import clayhook.fleet.Kind;
import clayhook.fleet.Shared;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** One copy that all routers of a test share at once. */
final class Memory implements Shared {
    double floor = Double.NEGATIVE_INFINITY;
    double certainUpTo = Double.POSITIVE_INFINITY;
    private final Map<Kind<?>, Map<String, Object>> values = new HashMap<>();
    private final Map<Kind<?>, List<Listener<?>>> listeners = new HashMap<>();

    private Map<String, Object> of(Kind<?> kind) {
        return values.computeIfAbsent(kind, any -> new TreeMap<>());
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V put(Kind<V> kind, String key, V value, double now) {
        V known = get(kind, key);
        V joined = known == null ? value : kind.join(known, value);
        if (!joined.equals(of(kind).put(key, joined))) {
            listeners.getOrDefault(kind, List.of()).forEach(to -> ((Listener<V>) to).changed(key, joined, now));
        }
        return joined;
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> V get(Kind<V> kind, String key) {
        return (V) of(kind).get(key);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <V> void each(Kind<V> kind, BiConsumer<String, V> to) {
        of(kind).forEach((key, value) -> to.accept(key, (V) value));
    }

    @Override
    public <V> void listen(Kind<V> kind, Listener<V> listener) {
        listeners.computeIfAbsent(kind, any -> new ArrayList<>()).add(listener);
    }

    @Override
    public int size(Kind<?> kind) {
        return of(kind).size();
    }

    @Override
    public double floor(Kind<?> kind) {
        return floor;
    }

    @Override
    public double certainUpTo(double now) {
        return certainUpTo;
    }

    @Override
    public long digest(Kind<?> kind, double now) {
        return of(kind).hashCode();
    }
}
