package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.SlowStartSimulation.Scenario;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rule 4: what all routers together send to a cold node stays within what it bears. */
class SlowStartTest {
    @ParameterizedTest
    @CsvSource({
        "120, 20, 0.8, 2, 0.3, DRAIN_IN_BURST",
        "120, 20, 0.6, 3, 2, DRAIN_IN_BURST",
        "30, 40, 0.6, 3, 2, ZONE_RESTART",
        "3, 20, 0.6, 3, 2, DRAIN"
    })
    void routersTogetherDoNotOverloadNodesInSlowStart(
            int routers, double capacity, double load, double factor, double spread, Scenario trouble) {
        int broken = 0;
        for (int seed = 0; seed < 15; seed++) {
            broken += new SlowStartSimulation(routers, capacity, load, factor, spread, trouble, seed).violations;
        }
        assertEquals(0, broken);
    }

    /** Each router at rest keeps one command in store for each cold node, and all of these may go out together. */
    @Test
    @Tag("known-red")
    void manyRoutersWithLittleTrafficDoNotOverloadNodesInSlowStart() {
        int broken = 0;
        for (int seed = 0; seed < 15; seed++) {
            broken += new SlowStartSimulation(120, 8, 0.9, 2, 0.3, Scenario.DRAIN_IN_BURST, seed).violations;
        }
        assertEquals(0, broken);
    }
}
