package clayhook.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.lab.model.Failure.Kind;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks conditions of a fleet on loopback sockets that hold on a machine of any speed. */
class LoopbackTest {
    private static RequestClass requestClass(String name, Idempotency effect, ConsistencyLevel level) {
        // Latency objectives far beyond what a busy machine needs, so that the verdict does not depend on its speed.
        return new RequestClass(name, effect, level, 5, 10, 1, 1, DeduplicationScope.REPLICA_SET, 20, 5);
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"NEIGHBOUR", "CRASH"})
    void everyRequestIsAnsweredOnceAndCountedAndTheRulesAreKept(Kind kind) throws Exception {
        var spec = new FleetSpec(
                1,
                2,
                2,
                List.of("a", "b"),
                new MachineSpec(2, 50, 0.02, 0.001, 0.002, 0.5, 1),
                0.0005,
                0.5,
                0.1,
                true,
                false,
                List.of(
                        new FleetSpec.Kind(
                                requestClass("read", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL), 4, 0.002, 0.5),
                        new FleetSpec.Kind(
                                requestClass("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE),
                                1,
                                0.002,
                                0.5)),
                100,
                List.of(),
                10);
        var loopback = new LoopbackFleet(spec, 1);
        RunMetrics metrics = loopback.run(List.of(new Failure(kind, "1r1", 0.5, 1, 0.5)), 3);
        if (metrics == null) {
            assertTrue(
                    loopback.latenessSeconds() > 0.01); // the run returned no verdict because its event loop ran late
            return;
        }
        assertEquals(Map.of(), metrics.violations(), metrics::firstViolation);
        for (RunMetrics.Totals totals : metrics.totalsByClass().values()) {
            assertEquals(totals.requests, totals.answered + totals.rejected + totals.failed);
            assertTrue(totals.answered > 0.8 * totals.requests, totals.answered + " of " + totals.requests);
        }
        assertTrue(
                metrics.busy().get("1p") > 0 && metrics.busy().get("1r2") > 0,
                metrics.busy().toString());
    }
}
