package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Node;
import clayhook.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the recorder reports each violation of a rule, and does not report requests that routers could not answer
 * because they were down or stalled.
 */
class HistoryRecorderTest {
    private static final Node FIRST_NODE = new Node("n0", "a", 1), SECOND_NODE = new Node("n1", "a", 1);

    private static void sendRequest(HistoryRecorder history, RequestClass requestClass) {
        history.onSent("id", requestClass, HistoryRecorder.now(), "r0", 1);
    }

    @ParameterizedTest
    @CsvSource({
        "silence, ONE_ANSWER",
        "two answers, ONE_ANSWER",
        "killed, ''",
        "stopped, ''",
        "stopped before, ''",
        "stopped and back before, ONE_ANSWER",
        "charged twice, NO_DOUBLE_EFFECT",
        "throttled after a charge, NO_DOUBLE_EFFECT",
        "keyed twice, ''",
        "charged twice in a killed router, NO_DOUBLE_EFFECT",
        "older than the session, NO_STALE_READ",
        "as new as the session, ''",
        "older than the bound, NO_STALE_READ",
        "within the bound, ''"
    })
    void reportsOnlyTheExpectedViolation(String situation, String rule) {
        var history = new HistoryRecorder(TestCluster.settings());
        boolean isWrite = situation.contains("charge") || situation.contains("keyed");
        if (situation.startsWith("stopped")) {
            history.onDown("r0");
        }
        if (situation.endsWith("back before")) {
            history.onUp("r0");
        }
        sendRequest(
                history,
                situation.contains("keyed")
                        ? TestCluster.WRITE
                        : isWrite
                                ? TestCluster.CHARGE
                                : situation.contains("session") ? TestCluster.SESSION : TestCluster.BOUNDED);
        if (situation.endsWith("router") || situation.equals("killed")) {
            history.onDown("r0");
            history.onUp("r0");
        }
        double age = situation.startsWith("older") ? 1.1 : situation.startsWith("within") ? 0.9 : 0;
        history.onExecuted("id", FIRST_NODE, isWrite ? 0 : HistoryRecorder.now() - age);
        if (situation.contains("twice")) {
            history.onExecuted("id", SECOND_NODE, 0);
        }
        if ((rule.equals("ONE_ANSWER") && !situation.startsWith("two"))
                || situation.startsWith("killed")
                || situation.startsWith("stopped")) {
            history.onUnanswered("id", null);
        } else {
            history.onAnswered("id", situation.startsWith("throttled"), true);
        }
        if (situation.startsWith("two")) {
            history.onAnswered("id", false, true);
        }
        assertEquals(
                rule,
                String.join(
                        ",",
                        history.brokenRules().keySet().stream().map(Enum::name).toList()));
    }
}
