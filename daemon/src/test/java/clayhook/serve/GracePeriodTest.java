package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GracePeriodTest {
    /** Room for each step on a share of a core. */
    private static final double ROOM = 0.05;

    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 3, 5, 60})
    void everyStepLeavesRoomForTheNextHoweverShortClientTimeoutsAre(double longest) {
        GracePeriod grace = GracePeriod.of(longest);
        assertTrue(grace.takesUntil() >= 0.5, "connections come for 0.4 s");
        assertTrue(grace.givesUpAt() >= grace.takesUntil() + ROOM, "what was taken last is given up at once: " + grace);
        assertTrue(grace.leavesAt() >= grace.givesUpAt() + ROOM, "last answers are not written: " + grace);
        assertTrue(grace.leavesAt() <= Math.min(longest, 3) + 0.7 - ROOM, "killed before it ends: " + grace);
    }
}
