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
    private static final Node FIRST = new Node("n0", "a", 1), SECOND = new Node("n1", "a", 1);

    private static void ask(HistoryRecorder history, RequestClass group) {
        history.onSent("id", group, HistoryRecorder.now(), "r0", 1);
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
    void theVerdictIsThat(String what, String rule) {
        var history = new HistoryRecorder(TestCluster.settings());
        boolean writes = what.contains("charge") || what.contains("keyed");
        if (what.startsWith("stopped")) {
            history.onDown("r0");
        }
        if (what.endsWith("back before")) {
            history.onUp("r0");
        }
        ask(
                history,
                what.contains("keyed")
                        ? TestCluster.WRITE
                        : writes
                                ? TestCluster.CHARGE
                                : what.contains("session") ? TestCluster.SESSION : TestCluster.BOUNDED);
        if (what.endsWith("router") || what.equals("killed")) {
            history.onDown("r0");
            history.onUp("r0");
        }
        double age = what.startsWith("older") ? 1.1 : what.startsWith("within") ? 0.9 : 0;
        history.onExecuted("id", FIRST, writes ? 0 : HistoryRecorder.now() - age);
        if (what.contains("twice")) {
            history.onExecuted("id", SECOND, 0);
        }
        if ((rule.equals("ONE_ANSWER") && !what.startsWith("two"))
                || what.startsWith("killed")
                || what.startsWith("stopped")) {
            history.onUnanswered("id", null);
        } else {
            history.onAnswered("id", what.startsWith("throttled"), true);
        }
        if (what.startsWith("two")) {
            history.onAnswered("id", false, true);
        }
        assertEquals(
                rule,
                String.join(
                        ",", history.brokenRules().keySet().stream().map(Enum::name).toList()));
    }
}
