package clayhook.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimulatorAdapterTest {
    private static final String SETUP =
            """
            BATCH 1000000000 1
            SWITCH_TO 3
            CONFIGURE 7 balancers=1 unheard_of=x limits.most_tries=3 limits.parallel_tries=true limits.probing=0 \
            domain.read_level=write domain.max_age=0 domain.write_marks=carried domain.origin_time=0 \
            grades.count=1 grades.0.name=post grades.0.aim=600000000 grades.0.hard_limit=5000000000 \
            grades.0.effect=at_most_once grades.0.late_worth=0.5 rules.warm_after=1 rules.overload_factor=2 \
            rules.overload_for=3
            POOL 0 1
            ROW 10.0.0.1:1 north std 1 11 0 1 -
            DISCOVERY 2 1 0
            ARRIVAL 00000000000000aa post - s 6000000000 - 11 0 0 1
            GO
            """;

    private static String reply(String input) throws SimulatorProtocolException, IOException {
        var out = new StringWriter();
        new SimulatorAdapter(new BufferedReader(new StringReader(input)), new PrintWriter(out)).run();
        return out.toString();
    }

    @Test
    void replyToEmptyBatchHasNoDecisions() throws Exception {
        assertEquals("NEXT 1\n", reply("BATCH 8412250000 1\nGO\n"));
    }

    @Test
    void writeIsSentToTheListedPrimaryWithATimeoutBeforeTheDeadline() throws Exception {
        assertTrue(reply(SETUP).startsWith("SOURCE 3\nCALL_OUT 00000000000000aa 5970000000 10.0.0.1:1\n"));
    }

    @ParameterizedTest
    @CsvSource({"100, 1, false", "303, 0, true", "305, 0, true"})
    void nonIdempotentRequestIsNotRetried(int verdict, int terminal, boolean fails) throws Exception {
        String out = reply(SETUP + "BATCH 1100000000 2\nSWITCH_TO 3\nRESPONSE 00000000000000aa 0 10.0.0.1:1 " + verdict
                + " 100000000 " + terminal + " 4405 -\nGO\n");
        assertEquals(fails, out.contains("REPORT_FAILURE 00000000000000aa"));
        assertEquals(1, out.split("CALL_OUT", -1).length - 1);
    }

    @ParameterizedTest
    @CsvSource({"DOWN", "GONE 00000000000000aa"})
    void noDecisionFollowsWhenRouterIsDownOrClientIsGone(String event) throws Exception {
        String out = reply(SETUP + "BATCH 7000000000 2\nSWITCH_TO 3\n" + event + "\nGO\n");
        assertEquals(1, out.split("00000000000000aa", -1).length - 1);
    }

    @ParameterizedTest
    @CsvSource({
        "BATCH x 1, 'line 1 has ''x'' for its clock'",
        "HELLO, 'line 1 stands where a BATCH should'",
        "'BATCH 1 1\nSWITCH_TO 1\nDUE t', 'line 3 speaks to an instance that was not configured'",
        "'BATCH 1 1\nGONE a', 'line 2 speaks to no instance'",
        "'BATCH 1 1\nPOOL 0 1\nROW a b c 1 2 7 1 -', 'line 3 has an unknown stage_state 7'",
        "'BATCH 1 1', 'the input ends within a batch'"
    })
    void errorNamesTheMalformedLine(String input, String message) {
        SimulatorProtocolException error = assertThrows(SimulatorProtocolException.class, () -> reply(input + "\n"));
        assertTrue(error.getMessage().startsWith(message), error.getMessage());
    }
}
