package clayhook.metrics;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of events by name since the last {@link #takeSummary}. Names come from the code and the configuration, never
 * from clients, which bounds their number. Event loop only.
 */
public final class EventCounters {
    private final Map<String, Integer> counts = new TreeMap<>();

    /** Counts one event of that name. */
    public void increment(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    /** Returns the names with their counts, sorted by name, and resets them. */
    public String takeSummary() {
        String summary = counts.toString();
        counts.clear();
        return summary;
    }
}
