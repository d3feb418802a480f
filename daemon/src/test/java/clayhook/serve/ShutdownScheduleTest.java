package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {
    /** Room for each step on a share of a core. */
    private static final double STEP_MARGIN_SECONDS = 0.05;

    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 3, 5, 60})
    void everyStepLeavesTimeForTheNextHoweverShortClientTimeoutsAre(double longest) {
        ShutdownSchedule grace = ShutdownSchedule.of(longest);
        assertTrue(grace.acceptUntil() >= 0.5, "connections come for 0.4 s");
        assertTrue(
                grace.failPendingAt() >= grace.acceptUntil() + STEP_MARGIN_SECONDS,
                "what was taken last is given up at once: " + grace);
        assertTrue(
                grace.exitAt() >= grace.failPendingAt() + STEP_MARGIN_SECONDS,
                "last answers are not written: " + grace);
        assertTrue(
                grace.exitAt() <= Math.min(longest, 3) + 0.7 - STEP_MARGIN_SECONDS, "killed before it ends: " + grace);
    }
}
