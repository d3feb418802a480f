package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchLivenessCheckTest {
    /** After the start of all routers. */
    private static final double SETTLING_SECONDS = 30;

    /** When all watches fall silent. */
    private static final double SILENT_AT = 120;

    private static final double END = 160;

    /** Part of the calls that open watches. */
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
     * Where the service takes so long that checks would crowd it, watches go before checks.
     *
     * @param allCalls seconds that the service takes for one call of every router
     * @param within seconds in which every silent watch is to be found
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
    void checksDetectASilentWatchInTimeWithoutCrowdingOutWatches(int routers, double allCalls, double within) {
        var simulation = new DiscoverySimulation(routers, allCalls);
        simulation.run(SETTLING_SECONDS);
        simulation.watches = 0;
        simulation.rejectedWatches = 0;
        simulation.run(SILENT_AT);
        int watches = simulation.watches;
        int rejected = simulation.rejectedWatches;
        simulation.silentAt = SILENT_AT;
        simulation.run(END);
        double worst = simulation.lastFoundAt() - SILENT_AT;
        assertTrue(worst < within, worst + " s");
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
