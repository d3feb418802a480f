package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchLivenessCheckTest {
    /** Time after the start of all routers that is excluded from the counts. */
    private static final double SETTLING_SECONDS = 30;

    /** Time at which all watches stop reporting changes, in seconds. */
    private static final double WATCHES_DEAD_AT = 120;

    private static final double END_SECONDS = 160;

    /** Largest permitted share of rejected calls among those that open watches. */
    private static final double MAX_REJECTED_FRACTION = 0.05;

    @Test
    void checkAndItsRetryFitIntoFiveSeconds() {
        for (int seed = 0; seed < 1000; seed++) {
            var check = new WatchLivenessCheck(new Random(seed));
            double first = check.nextIntervalSeconds() + DiscoverySimulation.QUEUE_LIMIT_SECONDS;
            assertTrue(first + check.nextRetrySeconds() < 5, first + " s");
        }
    }

    @Test
    void failedCheckIsRetriedSoonWithExponentialBackoff() {
        var check = new WatchLivenessCheck(new Random(1));
        assertTrue(check.nextRetrySeconds() < 0.4);
        double last = 0;
        for (int i = 0; i < 10; i++) {
            last = check.nextRetrySeconds();
        }
        assertTrue(last >= 1.2 && last <= 1.5, last + " s");
        check.onAnswered(0.01);
        assertTrue(check.nextRetrySeconds() < 0.4);
    }

    /**
     * If the service is so slow that checks would overload it, calls that open watches take precedence over checks.
     *
     * @param secondsForAllCalls the time in seconds that the service takes for one call of every router
     * @param maxDetectionSeconds the time limit in seconds for the detection of all dead watches
     */
    @ParameterizedTest
    @CsvSource({
        "3, 2, 5",
        "6, 2, 5",
        "30, 2, 5",
        "100, 2, 5",
        "400, 2, 5",
        "3, 4, 12",
        "6, 4, 12",
        "100, 4, 12",
        "100, 8, 12"
    })
    void checksDetectADeadWatchInTimeWithoutDisplacingWatches(
            int routers, double secondsForAllCalls, double maxDetectionSeconds) {
        var simulation = new DiscoverySimulation(routers, secondsForAllCalls);
        simulation.run(SETTLING_SECONDS);
        simulation.watches = 0;
        simulation.rejectedWatchCalls = 0;
        simulation.run(WATCHES_DEAD_AT);
        int watches = simulation.watches;
        int rejected = simulation.rejectedWatchCalls;
        simulation.watchesDeadAt = WATCHES_DEAD_AT;
        simulation.run(END_SECONDS);
        double detectionSeconds = simulation.lastDetectedAt() - WATCHES_DEAD_AT;
        assertTrue(detectionSeconds < maxDetectionSeconds, detectionSeconds + " s");
        assertTrue(rejected <= MAX_REJECTED_FRACTION * (watches + rejected), rejected + " of " + (watches + rejected));
    }

    @Test
    void checkIntervalGrowsUnderOverloadAndShrinksAfterFastAnswers() {
        var check = new WatchLivenessCheck(new Random(1));
        check.onAnswered(0.02);
        for (int i = 0; i < 5; i++) {
            check.onRejected();
        }
        assertTrue(check.nextIntervalSeconds() >= 12);
        check.onAnswered(1.5);
        assertTrue(check.nextIntervalSeconds() >= 12);
        for (int i = 0; i < 30; i++) {
            check.onAnswered(0.02);
        }
        assertEquals(2.2, check.nextIntervalSeconds(), 0.23);
    }
}
