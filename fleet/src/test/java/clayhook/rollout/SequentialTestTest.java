package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SequentialTestTest {
    /**
     * The rollouts are evaluated each second for a minute and a half. A fixed-sample test of this level would halt many
     * of them.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fewerThanOnePercentAreHaltedWithoutADifference(boolean uneven) {
        long halted = RolloutSimulation.countHalted(
                new RolloutSimulation(3, 150, 1000, 0, uneven), RolloutSimulation.plan(30), 1000, 42);
        assertTrue(halted < 10, halted + " of 1,000 halted");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fivePercentagePointsMoreFailuresHaltBeforeTheLastStage(boolean uneven) {
        var simulation = new RolloutSimulation(5, 1000, 5000, 0.05, uneven);
        int[] haltedAt = IntStream.range(0, 20)
                .parallel()
                .map(i -> simulation.run(RolloutSimulation.plan(60), i).haltedAtSecond())
                .sorted()
                .toArray();
        assertTrue(haltedAt[0] > 0 && haltedAt[10] < 75, "halted at " + haltedAt[0] + " to " + haltedAt[19]);
    }

    /**
     * Prints a report and checks nothing. Skipped unless {@code -Dclayhook.rollouts=10000} is set, because it takes
     * minutes.
     */
    @Test
    @EnabledIfSystemProperty(named = "clayhook.rollouts", matches = "[0-9]+")
    void reportHaltRates() {
        RolloutSimulation.printReport(Integer.getInteger("clayhook.rollouts"));
    }

    @Test
    void mergedCountersDetectWhatNoSingleRouterCan() {
        var simulation = new RolloutSimulation(20, 1000, 5000, 0.03, false);
        for (int seed = 0; seed < 5; seed++) {
            RolloutSimulation.SimulationOutcome outcome = simulation.run(RolloutSimulation.plan(60), seed);
            assertTrue(outcome.haltedAtSecond() > 0);
            assertFalse(outcome.anyRouterHaltsAlone());
        }
    }

    /** One client of the candidate whose requests always fail is no proof, however many requests it sends. */
    @Test
    void oneFailingSessionIsNotProof() {
        long[] counts = new long[CounterLayout.SIZE];
        double[] sums = new double[CounterLayout.EVIDENCE_SIZE];
        for (int bucket = 0; bucket < OutcomeCounters.SESSION_BUCKETS; bucket++) {
            for (Variant variant : Variant.values()) {
                int bucketStart = CounterLayout.outcomeOffset(variant) + bucket * OutcomeCounters.COUNTERS_PER_BUCKET;
                counts[bucketStart + OutcomeCounters.TOTAL] = 1000;
                counts[bucketStart + OutcomeCounters.FAILED] = variant == Variant.CANDIDATE && bucket == 5 ? 1000 : 10;
            }
        }
        SequentialTest.addInterval(sums, 0, 12_000, 120, 12_000, 1110);
        assertTrue(sums[0] > 10);
        double dispersion = SequentialTest.dispersion(
                counts, CounterLayout.EVIDENCE_SIZE, OutcomeCounters.TOTAL, OutcomeCounters.FAILED);
        for (int i = 0; i < sums.length; i++) {
            counts[i] = SequentialTest.toFixedPoint(sums[i]);
        }
        assertFalse(
                SequentialTest.isProven(SequentialTest.logEvidence(counts, 0) / dispersion, 0.001),
                "dispersion " + dispersion);
    }

    /** Failures that affect both variants in the same second at the same router are no evidence. */
    @Test
    void onlyDifferencesWithinTheSameIntervalCount() {
        double[] both = new double[CounterLayout.EVIDENCE_SIZE];
        SequentialTest.addInterval(both, 0, 900, 450, 100, 50);
        assertTrue(both[0] < 0 && both[4] < 0);
        double[] none = new double[CounterLayout.EVIDENCE_SIZE];
        SequentialTest.addInterval(none, 0, 0, 0, 100, 100);
        assertEquals(0, none[0]);
        double[] worse = new double[CounterLayout.EVIDENCE_SIZE];
        SequentialTest.addInterval(worse, 0, 900, 9, 100, 10);
        assertTrue(worse[5] > 5, "ten of a hundred against one of a hundred: " + worse[5]);
    }
}
