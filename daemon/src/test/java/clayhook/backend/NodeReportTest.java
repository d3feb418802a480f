package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeReportTest {
    private static final double NOW = 1000;

    private final NodeReport report = new NodeReport(() -> NOW);

    private AttemptResult result() {
        return report.toResult(AttemptOutcome.ANSWERED, 0.1);
    }

    @ParameterizedTest
    @CsvSource({"role, primary", "role, other", "applied_ms, 1001000", "load, 'x0=1001,x1=1,rif=3'", "unknown, any"})
    void plausibleValueIsAccepted(String name, String value) {
        assertTrue(report.accept(name, value));
    }

    @ParameterizedTest
    @CsvSource({"applied_ms, 1001001", "applied_ms, -1", "applied_ms, x", "load, x0=1002", "load, rif=-1", "load, x0"})
    void implausibleValueIsRejectedAndChangesNothing(String name, String value) {
        assertFalse(report.accept(name, value));
        assertEquals(AttemptResult.withoutReport(AttemptOutcome.ANSWERED, 0.1), result());
    }

    @Test
    void resultContainsTheValuesReportedSinceTheLastReset() {
        report.accept("role", "replica");
        report.accept("applied_ms", "999500");
        report.accept("load", "x0=999,x1=1,rif=3");
        assertEquals(
                new AttemptResult(AttemptOutcome.ANSWERED, 0.1, Role.REPLICA, 999.5, Role.PRIMARY, 999, 3), result());
        report.reset();
        assertEquals(AttemptResult.withoutReport(AttemptOutcome.ANSWERED, 0.1), result());
    }
}
