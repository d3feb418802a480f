package clayhook.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventCountersTest {
    @Test
    void summaryIsSortedByNameAndResetsTheCounts() {
        var counters = new EventCounters();
        counters.increment("SEND read");
        counters.increment("ANSWERED");
        counters.increment("SEND read");
        assertEquals("{ANSWERED=1, SEND read=2}", counters.takeSummary());
        assertEquals("{}", counters.takeSummary());
    }
}
