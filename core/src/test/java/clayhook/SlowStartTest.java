package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.SlowStartSimulation.Scenario;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What all routers together send to a node in slow start stays below what would overload it. */
class SlowStartTest {
    @ParameterizedTest
    @CsvSource({
        "120, 20, 0.8, 2, 0.3, DRAIN_IN_BURST",
        "120, 20, 0.6, 3, 2, DRAIN_IN_BURST",
        "30, 40, 0.6, 3, 2, ZONE_RESTART",
        "3, 20, 0.6, 3, 2, DRAIN"
    })
    void routersTogetherDoNotOverloadNodesInSlowStart(
            int routers, double capacity, double load, double overloadFactor, double spread, Scenario scenario) {
        int violations = 0;
        for (int seed = 0; seed < 15; seed++) {
            violations +=
                    new SlowStartSimulation(routers, capacity, load, overloadFactor, spread, scenario, seed).violations;
        }
        assertEquals(0, violations);
    }

    /** An idle router may send each node in slow start one request at once, and all routers may do so together. */
    @Test
    @Tag("known-red")
    void manyRoutersWithLittleTrafficDoNotOverloadNodesInSlowStart() {
        int violations = 0;
        for (int seed = 0; seed < 15; seed++) {
            violations += new SlowStartSimulation(120, 8, 0.9, 2, 0.3, Scenario.DRAIN_IN_BURST, seed).violations;
        }
        assertEquals(0, violations);
    }
}
