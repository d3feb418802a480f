package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {
    /** The minimum time of each step, sufficient on a fraction of a processor core. */
    private static final double STEP_MARGIN_SECONDS = 0.05;

    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 3, 5, 60})
    void everyStepLeavesTimeForTheNextWithAnyClientTimeout(double longest) {
        ShutdownSchedule schedule = ShutdownSchedule.of(longest);
        assertTrue(schedule.acceptUntil() >= 0.5, "the platform may send connections for 0.4 s");
        assertTrue(
                schedule.failPendingAt() >= schedule.acceptUntil() + STEP_MARGIN_SECONDS,
                "no time to answer the requests admitted last: " + schedule);
        assertTrue(
                schedule.exitAt() >= schedule.failPendingAt() + STEP_MARGIN_SECONDS,
                "no time to write the final answers: " + schedule);
        assertTrue(
                schedule.exitAt() <= Math.min(longest, 3) + 0.7 - STEP_MARGIN_SECONDS,
                "the process is killed before it exits: " + schedule);
    }
}
