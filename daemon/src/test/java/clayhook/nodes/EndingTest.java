package clayhook.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndingTest {
    @ParameterizedTest
    @CsvSource({
        "NOT_CONNECTED, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT",
        "PARTLY_WRITTEN, CONNECT_FAILED, CONNECT_FAILED, NOT_SENT",
        "WRITTEN, RESET, TIMED_OUT, CANCELLED",
        "ANSWERING, RESET, TIMED_OUT, CANCELLED"
    })
    void theStageTellsWhetherItMayHaveRun(Stage stage, Outcome broken, Outcome silent, Outcome calledOff) {
        assertEquals(broken, new Ending.Broken(stage).outcome());
        assertEquals(silent, new Ending.Silent(stage).outcome());
        assertEquals(calledOff, new Ending.CalledOff(stage).outcome());
    }

    @ParameterizedTest
    @CsvSource({"25006, TURNED_AWAY", "72000, TURNED_AWAY", "53300, FULL", "XX000, ERROR", "08P01, ERROR"})
    void theCodeOfAnErrorTellsTheOutcome(String code, Outcome outcome) {
        assertEquals(outcome, new Ending.Refused(code).outcome());
    }
}
