package clayhook.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.lab.model.Failure.Kind;
import clayhook.lab.model.RuleAudit.RuleKept;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class SimulatedFleetTest {
    private static final RequestClass BOUNDED =
            requestClass("bounded", Idempotency.IDEMPOTENT, ConsistencyLevel.BOUNDED_STALENESS);
    private static final RequestClass SESSION =
            requestClass("session", Idempotency.IDEMPOTENT, ConsistencyLevel.SESSION);
    private static final RequestClass ANY = requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL);
    private static final RequestClass KEYED =
            requestClass("keyed", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE);
    private static final RequestClass MUTATING =
            requestClass("mutating", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE);

    private static RequestClass requestClass(String name, Idempotency effect, ConsistencyLevel level) {
        return new RequestClass(name, effect, level, 0.25, 2, 1, 0, DeduplicationScope.REPLICA_SET, 1, 0.2);
    }

    private static FleetSpec fleet(double rate) {
        return new FleetSpec(
                2,
                2,
                2,
                List.of("a", "b", "c"),
                new MachineSpec(2, 50, 0.02, 0.001, 0.005, 0.3, 5),
                0.0005,
                2,
                0.5,
                true,
                false,
                List.of(
                        new FleetSpec.Kind(BOUNDED, 4, 0.004, 0.5),
                        new FleetSpec.Kind(SESSION, 1, 0.004, 0.5),
                        new FleetSpec.Kind(ANY, 3, 0.006, 0.5),
                        new FleetSpec.Kind(KEYED, 1, 0.003, 0.5),
                        new FleetSpec.Kind(MUTATING, 1, 0.003, 0.5)),
                rate,
                List.of(),
                100);
    }

    private static String summary(RunMetrics metrics) {
        var counts = new TreeMap<String, String>();
        metrics.totalsByClass()
                .forEach((group, of) -> counts.put(
                        group.name(),
                        of.requests + " " + of.inTime + " " + of.rejected + " " + of.failed + " "
                                + of.times.getValueAtPercentile(99)));
        return counts + " " + metrics.serviceBySecond() + " " + metrics.busy() + " " + metrics.events();
    }

    @Test
    void theSameSeedGivesTheSameRunAndAnotherSeedAnother() {
        var failures = List.of(new Failure(Kind.CRASH, "1p", 3, 5, 0), new Failure(Kind.NEIGHBOUR, "2r1", 2, 5, 0.5));
        String summary = summary(new SimulatedFleet(fleet(300), failures, 1).run(12));
        assertEquals(summary, summary(new SimulatedFleet(fleet(300), failures, 1).run(12)));
        assertNotEquals(summary, summary(new SimulatedFleet(fleet(300), failures, 2).run(12)));
    }

    @Test
    void fleetWithoutFailuresServesAllRequestsAtTheExpectedUtilization() {
        RunMetrics metrics = new SimulatedFleet(fleet(300), List.of(), 1).run(30);
        assertEquals(Map.of(), metrics.violations(), metrics::firstViolation);
        assertTrue(metrics.service() > 0.99, "" + metrics.service());
        // Expected utilization: the requested work per second over the number of cores.
        double expectedUtilization = 300 * (4 * 0.004 + 0.004 + 3 * 0.006 + 2 * 0.003) / 10 / (6 * 2);
        double busy = metrics.busy().values().stream()
                .mapToDouble(part -> part)
                .average()
                .orElseThrow();
        assertEquals(expectedUtilization, busy, 0.1 * expectedUtilization);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void rulesAreKeptAndServiceRecoversAfterEachFailure(Kind kind) {
        String target = kind == Kind.ZONE_LOSS ? "b" : kind == Kind.SLOW_LOG || kind == Kind.STALL_LOG ? "1r1" : "1p";
        var failure = new Failure(kind, target, 5, 6, kind == Kind.NEIGHBOUR ? 0.8 : 50);
        RunMetrics metrics = new SimulatedFleet(fleet(300), List.of(failure), 1).run(30);
        assertEquals(Map.of(), metrics.violations(), metrics::firstViolation);
        Map<Integer, Double> seconds = metrics.serviceBySecond();
        double recoveredService = seconds.entrySet().stream()
                .filter(s -> s.getKey() >= 20)
                .mapToDouble(Map.Entry::getValue)
                .average()
                .orElse(0);
        assertTrue(recoveredService > 0.95, kind + ": " + seconds);
    }

    @ParameterizedTest
    @CsvSource({"CRASH, 1p, 0", "HANG, 1p, 0", "PAUSE, 1p, 0", "NEIGHBOUR, 1r1, 0.95"})
    void failureChangesTheResultAndReducesService(Kind kind, String target, double amount) {
        var failure = new Failure(kind, target, 5, 6, amount);
        String with = summary(new SimulatedFleet(fleet(300), List.of(failure), 1).run(15));
        String without = summary(new SimulatedFleet(fleet(300), List.of(), 1).run(15));
        assertNotEquals(without, with);
        RunMetrics metrics = new SimulatedFleet(fleet(300), List.of(failure), 1).run(15);
        double worstService = metrics.serviceBySecond().entrySet().stream()
                .filter(s -> s.getKey() >= 5 && s.getKey() < 11)
                .mapToDouble(Map.Entry::getValue)
                .min()
                .orElse(1);
        assertTrue(kind == Kind.NEIGHBOUR || worstService < 0.97, kind + ": " + metrics.serviceBySecond());
    }

    @Test
    void requestsAreRejectedUnderOverload() {
        RunMetrics metrics = new SimulatedFleet(fleet(6000), List.of(), 1).run(10);
        assertEquals(Map.of(), metrics.violations(), metrics::firstViolation);
        assertTrue(metrics.service() < 0.9 && metrics.service() > 0.3, "" + metrics.service());
        assertTrue(metrics.totalsByClass().get(ANY).rejected > 1000);
    }

    // ---- the audit detects deliberate violations ----

    private final RuleAudit audit = new RuleAudit(0.25, 3, 3);
    private final Node firstNode = new Node("1p", "a", 1);
    private final Node otherNode = new Node("2p", "b", 2);

    private void assertOnlyViolation(RuleKept rule) {
        assertEquals(Map.of(rule, 1), audit.violations(), audit.firstViolation());
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 0", "2, 1"})
    void missingOrRepeatedAnswerIsAViolation(int answers, int violations) {
        audit.sent("c", ANY, 10);
        for (int i = 0; i < answers; i++) {
            audit.answered("c", 9);
        }
        audit.end(20);
        assertEquals(violations, audit.violations().getOrDefault(RuleKept.ONE_ANSWER, 0));
    }

    @Test
    void lateAnswerIsAViolation() {
        audit.sent("c", ANY, 10);
        audit.answered("c", 10.1);
        assertOnlyViolation(RuleKept.ONE_ANSWER);
    }

    @ParameterizedTest
    @CsvSource({
        "mutating, false, 1.5, 1",
        "keyed, false, 1.5, 0",
        "keyed, true, 1.5, 1",
        "keyed, false, 2.5, 1",
        "any, true, 9, 0"
    })
    void repeatedExecutionIsAViolation(String name, boolean atOtherNode, double repeatedAt, int violations) {
        RequestClass group = name.equals("mutating") ? MUTATING : name.equals("keyed") ? KEYED : ANY;
        audit.sent("c", group, 10);
        audit.executed("c", firstNode, 1, 0, 1);
        audit.executed("c", atOtherNode ? otherNode : firstNode, 1, 0, repeatedAt);
        assertEquals(violations, audit.violations().getOrDefault(RuleKept.NO_DOUBLE_EFFECT, 0));
    }

    @Test
    void rejectionOfExecutedRequestIsAViolation() {
        audit.sent("c", MUTATING, 10);
        audit.executed("c", firstNode, 1, 0, 1);
        audit.rejected("c", 2);
        assertOnlyViolation(RuleKept.NO_DOUBLE_EFFECT);
    }

    @Test
    void requestToDrainingNodeAfterGraceIsAViolation() {
        audit.sentToDraining(firstNode, 1, 1.2);
        assertEquals(Map.of(), audit.violations());
        audit.sentToDraining(firstNode, 1, 1.3);
        assertOnlyViolation(RuleKept.DRAINS);
    }

    @Test
    void overloadOfColdNodeIsAViolation() {
        audit.workAtColdNode(firstNode, 2, 0.3, 1);
        assertEquals(Map.of(), audit.violations());
        audit.workAtColdNode(firstNode, 1, 0.3, 2);
        assertOnlyViolation(RuleKept.COLD_NODES);
    }

    @Test
    void staleReadIsAViolation() {
        audit.sent("c", BOUNDED, 10);
        audit.executed("c", firstNode, 4.7, 4.8, 5);
        assertOnlyViolation(RuleKept.NO_STALE_READ);
    }
}
