package clayhook.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import clayhook.backend.AnswerReader.Progress;
import clayhook.config.OperatorConfiguration;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.NodeMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswerReaderTest {
    private static final int MAX_ANSWER_BYTES = 100;

    private final MemoryBudget memory = new MemoryBudget(1 << 20);
    private final AnswerReader answer = new AnswerReader(memory, new ConnectionProfile(operator()));

    private static OperatorConfiguration operator() {
        var statements = new OperatorConfiguration.StatementSettings(null, false, 0, MAX_ANSWER_BYTES);
        return new OperatorConfiguration(statements, "user", "database", null);
    }

    /**
     * The message for a letter: T, D and C are parts of a result, E is an ErrorResponse, N a notice, A a notification
     * and Z ReadyForQuery.
     */
    private static Object message(char letter) {
        return switch (letter) {
            case 'E' -> new NodeMessage.ErrorResponse("XX000", "text", bytes('E'));
            case 'N' -> new NodeMessage.Notice(bytes('N'));
            case 'A' -> new NodeMessage.Notification();
            case 'Z' -> new NodeMessage.ReadyForQuery();
            default -> new NodeMessage.ResultMessage(letter, bytes(letter));
        };
    }

    /** Encodes a message with one column, whose value is {@code v}. */
    private static byte[] bytes(char type) {
        return (type + "\0\0\0\13\0\1\0\0\0\1v").getBytes(ISO_8859_1);
    }

    private Progress readAll(String letters) {
        Progress progress = Progress.INCOMPLETE;
        for (int i = 0; i < letters.length() && progress == Progress.INCOMPLETE; i++) {
            progress = answer.read(message(letters.charAt(i)));
        }
        return progress;
    }

    @ParameterizedTest
    @CsvSource({
        "TDCZ, COMPLETE, 3",
        "TNDCZ, COMPLETE, 3",
        "EZ, COMPLETE, 0",
        "TD, INCOMPLETE, 2",
        "TDE, OUT_OF_ORDER, 2",
        "TDD, OUT_OF_ORDER, 2",
        "Z, OUT_OF_ORDER, 0",
        "A, OUT_OF_ORDER, 0"
    })
    void fixedFormAcceptsOnlyOneRowOrAnError(String letters, Progress progress, int messages) {
        answer.begin(false);
        assertEquals(progress, readAll(letters));
        assertEquals(messages, answer.messages().size());
    }

    @ParameterizedTest
    @CsvSource({
        "TDDCZ, COMPLETE, 4",
        "TDCTDCZ, COMPLETE, 6",
        "TANDCZ, COMPLETE, 4",
        "TDEZ, COMPLETE, 3",
        "D, OUT_OF_ORDER, 0",
        "TT, OUT_OF_ORDER, 1",
        "TDZ, OUT_OF_ORDER, 2",
        "Z, OUT_OF_ORDER, 0",
        "TDDDDDDDD, TOO_LONG, 8"
    })
    void freeFormAcceptsAnyNumberOfResultsUpToItsMaximumLength(String letters, Progress progress, int messages) {
        answer.begin(true);
        assertEquals(progress, readAll(letters));
        assertEquals(messages, answer.messages().size());
    }

    @ParameterizedTest
    @CsvSource({"false, TDCZ, v,", "false, EZ, , XX000", "true, TDEZ, , XX000"})
    void valueAndErrorOfTheAnswerAreAvailableUntilTheNextAnswerBegins(
            boolean freeForm, String letters, String value, String sqlState) {
        answer.begin(freeForm);
        assertEquals(Progress.COMPLETE, readAll(letters));
        assertEquals(value, answer.rowValue());
        assertEquals(sqlState, answer.sqlState());
        answer.begin(freeForm);
        assertNull(answer.rowValue());
        assertNull(answer.sqlState());
    }
}
