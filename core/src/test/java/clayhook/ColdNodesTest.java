package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.ColdFleet.Trouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rule 4: what all routers together send to a cold node stays within what it bears. */
class ColdNodesTest {
    @ParameterizedTest
    @CsvSource({"120, 20, 0.8, 2, 0.3, DRAIN_IN_BURST", "120, 20, 0.6, 3, 2, DRAIN_IN_BURST",
        "30, 40, 0.6, 3, 2, ZONE", "3, 20, 0.6, 3, 2, DRAIN"})
    void allRoutersTogetherPushNoColdNodeOver(int routers, double capacity, double load, double factor,
            double spread, Trouble trouble) {
        int broken = 0;
        for (int seed = 0; seed < 15; seed++) {
            broken += new ColdFleet(routers, capacity, load, factor, spread, trouble, seed).broken;
        }
        assertEquals(0, broken);
    }
}
