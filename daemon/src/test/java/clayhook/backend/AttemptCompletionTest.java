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
    void phaseDecidesWhetherTheRequestMayHaveRun(
            AttemptPhase stage, AttemptOutcome broken, AttemptOutcome silent, AttemptOutcome calledOff) {
        assertEquals(broken, new AttemptCompletion.ConnectionLost(stage).outcome());
        assertEquals(silent, new AttemptCompletion.TimedOut(stage).outcome());
        assertEquals(calledOff, new AttemptCompletion.Cancelled(stage).outcome());
    }

    @ParameterizedTest
    @CsvSource({"25006, REJECTED", "72000, REJECTED", "53300, OVERLOADED", "XX000, ERROR", "08P01, ERROR"})
    void sqlStateDecidesTheOutcome(String code, AttemptOutcome outcome) {
        assertEquals(outcome, new AttemptCompletion.NodeError(code).outcome());
    }
}
