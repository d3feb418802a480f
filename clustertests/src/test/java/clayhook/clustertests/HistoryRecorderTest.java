package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Node;
import clayhook.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule broken once is told, and what nobody could help is not. */
class HistoryRecorderTest {
    private static final Node FIRST = new Node("n0", "a", 1), SECOND = new Node("n1", "a", 1);

    private static void ask(HistoryRecorder witness, RequestClass group) {
        witness.asked("id", group, HistoryRecorder.now(), "r0", 1);
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
        var witness = new HistoryRecorder(TestCluster.settings());
        boolean writes = what.contains("charge") || what.contains("keyed");
        if (what.startsWith("stopped")) {
            witness.down("r0");
        }
        if (what.endsWith("back before")) {
            witness.up("r0");
        }
        ask(
                witness,
                what.contains("keyed")
                        ? TestCluster.WRITE
                        : writes
                                ? TestCluster.CHARGE
                                : what.contains("session") ? TestCluster.SESSION : TestCluster.BOUNDED);
        if (what.endsWith("router") || what.equals("killed")) {
            witness.down("r0");
            witness.up("r0");
        }
        double age = what.startsWith("older") ? 1.1 : what.startsWith("within") ? 0.9 : 0;
        witness.ran("id", FIRST, writes ? 0 : HistoryRecorder.now() - age);
        if (what.contains("twice")) {
            witness.ran("id", SECOND, 0);
        }
        if ((rule.equals("ONE_ANSWER") && !what.startsWith("two"))
                || what.startsWith("killed")
                || what.startsWith("stopped")) {
            witness.unanswered("id", null);
        } else {
            witness.answered("id", what.startsWith("throttled"), true);
        }
        if (what.startsWith("two")) {
            witness.answered("id", false, true);
        }
        assertEquals(
                rule,
                String.join(
                        ",", witness.broken().keySet().stream().map(Enum::name).toList()));
    }
}
