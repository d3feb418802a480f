package clayhook.metrics;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts events by name since the last {@link #takeSummary}. Names come from the code and the configuration and never
 * from clients, so their number is bounded. For use on the event loop only.
 */
public final class EventCounters {
    private final Map<String, Integer> counts = new TreeMap<>();

    /** Adds 1 to the count of the event with the given name. */
    public void increment(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    /** Returns the counts by event name, sorted by name, and clears them. */
    public String takeSummary() {
        String summary = counts.toString();
        counts.clear();
        return summary;
    }
}
