package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.AttemptOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptCompletionTest {
    @ParameterizedTest
    @CsvSource({
        "NOT_CONNECTED, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT",
        "PARTLY_WRITTEN, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT",
        "WRITTEN, RESET, TIMED_OUT, CANCELLED",
        "ANSWERING, RESET, TIMED_OUT, CANCELLED"
    })
    void outcomeOfAFailureDependsOnWhetherTheRequestMayHaveRun(
            AttemptPhase phase, AttemptOutcome lost, AttemptOutcome timedOut, AttemptOutcome cancelled) {
        assertEquals(lost, new AttemptCompletion.ConnectionLost(phase).outcome());
        assertEquals(timedOut, new AttemptCompletion.TimedOut(phase).outcome());
        assertEquals(cancelled, new AttemptCompletion.Cancelled(phase).outcome());
    }

    @ParameterizedTest
    @CsvSource({"25006, REJECTED", "72000, REJECTED", "53300, OVERLOADED", "XX000, ERROR", "08P01, ERROR"})
    void outcomeOfANodeErrorDependsOnItsSqlState(String sqlState, AttemptOutcome outcome) {
        assertEquals(outcome, new AttemptCompletion.NodeError(sqlState).outcome());
    }

    /** Guards against a statement that raises 57P03 itself and thereby closes its node for all clients. */
    @ParameterizedTest
    @CsvSource({"true, DRAINING", "false, ERROR"})
    void onlyTheAnswerToAHealthCheckReportsThatTheNodeDrains(boolean healthCheck, AttemptOutcome outcome) {
        var error = new AttemptCompletion.NodeError("57P03");
        assertEquals(outcome, (healthCheck ? AttemptCompletion.ofHealthCheck(error) : error).outcome());
    }
}
