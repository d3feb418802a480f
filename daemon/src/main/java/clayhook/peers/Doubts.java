package clayhook.peers;

import clayhook.fleet.Kind;
import clayhook.fleet.Shared;
import clayhook.fleet.kinds.Fate;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which fates of writes are put into what routers share: all that are in doubt, and what ran where any router is in
 * doubt. Guards against telling each write to all routers.
 */
final class Doubts {
    /** Writes that ran here lately; a client that got no answer elsewhere has tried again here within seconds. */
    static final int MOST_RAN = 20_000;

    private final Shared shared;
    private final Kind<Fate> kind;
    /** By key, oldest first; at the bound the oldest go, and a doubt told later than that stays one. */
    private final Map<String, Fate> ran = new LinkedHashMap<>();
    /** Doubts that others told of what ran here; emptied each turn. */
    private final Set<String> asked = new LinkedHashSet<>();

    Doubts(Shared shared, Kind<Fate> kind) {
        this.shared = shared;
        this.kind = kind;
        shared.listen(kind, (key, fate, now) -> {
            if (fate.ran() == null && ran.containsKey(key)) {
                asked.add(key);
            }
        });
    }

    void told(String key, Fate fate, double now) {
        if (fate.ran() == null) {
            shared.put(kind, key, fate, now);
            return;
        }
        ran.put(key, fate);
        if (shared.get(kind, key) != null) {
            asked.add(key);
        }
        if (ran.size() > MOST_RAN) {
            ran.remove(ran.keySet().iterator().next());
        }
    }

    /** Ends the doubts that can be ended here. */
    void turn(double now) {
        for (String key : Set.copyOf(asked)) {
            Fate fate = ran.get(key);
            if (fate != null) {
                shared.put(kind, key, fate, now);
            }
        }
        asked.clear();
    }
}
