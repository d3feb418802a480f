package clayhook.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the decoders of client and node messages and the parser of fixed-form statements. */
class MessageDecodersTest {
    private static final String READ =
            "SELECT val FROM state WHERE uid = '7f3a' " + "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

    /** Returns the types of the messages decoded from bytes that are received in pieces of {@code pieceBytes} bytes. */
    private static List<String> decodedTypes(ChannelHandler decoder, ByteBuf bytes, int pieceBytes) {
        var channel = new EmbeddedChannel(decoder);
        while (bytes.isReadable()) {
            channel.writeInbound(bytes.readRetainedSlice(Math.min(pieceBytes, bytes.readableBytes())));
        }
        bytes.release();
        var types = new ArrayList<String>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            types.add(message.getClass().getSimpleName());
        }
        channel.finishAndReleaseAll();
        return types;
    }

    private static ByteBuf message(char type, int length) {
        return Unpooled.buffer().writeByte(type).writeInt(length);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void decodesClientMessagesSplitAnywhere(int pieceBytes) {
        ByteBuf bytes = Unpooled.wrappedBuffer(
                Unpooled.buffer().writeInt(8).writeInt(80877103),
                MessageEncoder.startupMessage("client", "core"),
                MessageEncoder.query(READ.getBytes(UTF_8)),
                MessageEncoder.query(new byte[0]),
                message('S', 4),
                message('H', 4),
                message('P', 4),
                message('X', 4));
        assertEquals(
                List.of(
                        "EncryptionRequest",
                        "Startup",
                        "Query",
                        "EmptyQuery",
                        "Sync",
                        "Ignored",
                        "Extended",
                        "Terminate"),
                decodedTypes(new ClientMessageDecoder(new MemoryBudget(1 << 20)), bytes, pieceBytes));
    }

    @ParameterizedTest
    @CsvSource({"Q, 3", "Q, -1", "Q, 2147483647", "Q, 200000", "j, 4", "Q, 4"})
    void ignoresInputAfterMalformedClientMessage(char type, int length) {
        ByteBuf bytes = Unpooled.wrappedBuffer(
                MessageEncoder.startupMessage("client", "core"), message(type, length), message('S', 4));
        List<String> types = decodedTypes(new ClientMessageDecoder(new MemoryBudget(1 << 20)), bytes, 1000);
        assertEquals("Malformed", types.get(1));
        assertTrue(types.size() == 2 || type == 'j' || length == 4, types.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "0, Malformed",
        "131072, Malformed",
        "196608, Startup",
        "196610, Startup",
        "80877102, CancelRequest",
        "80877104, EncryptionRequest"
    })
    void decodesFirstMessageByVersionCode(int version, String kind) {
        assertEquals(
                List.of(kind),
                decodedTypes(
                        new ClientMessageDecoder(new MemoryBudget(1 << 20)),
                        Unpooled.buffer().writeInt(8).writeInt(version),
                        3));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 1000})
    void decodesNodeMessagesSplitAnywhere(int pieceBytes) {
        ByteBuf bytes = Unpooled.wrappedBuffer(
                MessageEncoder.startupResponse(0, Map.of()),
                MessageEncoder.error(false, "53300", "full", null),
                message('C', 5).writeByte(0),
                MessageEncoder.readyForQuery());
        assertEquals(
                List.of(
                        "AuthenticationOk",
                        "ParameterStatus",
                        "ParameterStatus",
                        "ParameterStatus",
                        "CancelKey",
                        "ReadyForQuery",
                        "ErrorResponse",
                        "ReadyForQuery",
                        "ResultMessage",
                        "ReadyForQuery"),
                decodedTypes(new NodeMessageDecoder(new MemoryBudget(1 << 20)), bytes, pieceBytes));
    }

    @Test
    void rejectsNodeThatRequestsPassword() {
        assertEquals(
                List.of("Malformed"),
                decodedTypes(
                        new NodeMessageDecoder(new MemoryBudget(1 << 20)),
                        message('R', 8).writeInt(3),
                        9));
    }

    @Test
    void changesOnlyTheTimeoutOfAForwardedStatement() {
        KeyValueStatement read = KeyValueStatement.parse(READ.getBytes(UTF_8));
        assertEquals(
                List.of("basket", 2, 0.48, 1767225600.123, "7f3a"),
                List.of(
                        read.requestClassName,
                        read.replicaSetId,
                        read.timeoutSeconds,
                        read.requiredPosition,
                        read.key));
        assertArrayEquals(READ.replace("d=480", "d=57").getBytes(UTF_8), read.textWithTimeout(0.0579));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "id=1,c=a,d=5 | lacks cluster",
                "c=a,d=5,cluster=1 | lacks id",
                "id=1,d=5,cluster=1 | lacks c",
                "id=1,c=a,cluster=1 | lacks d",
                "id=1,c=a,d=-5,cluster=1 | no valid d",
                "id=1,c=a,d=4e9,cluster=1 | no valid d",
                "id=1,c=a,d=9999999999999999,cluster=1 | no valid d",
                "id=1,c=a,d=5,cluster=x | no valid cluster",
                "id=1,c=a,d=5,cluster=1,after=now | no valid after",
                "id=1,c=a,d=5,cluster=1,id=2 | one twice",
                "id=1,c=a,d=5,cluster=1, | without a name",
                "id= ,c=a,d=5,cluster=1 | no valid id",
                "id=1,c=a,d=5,cluster=1,k=* | no read or write"
            })
    void errorNamesTheProblemOfAnInvalidComment(String comment, String expectedText) {
        String text = "SELECT val FROM state WHERE uid = 'k' /* " + comment + " */";
        var error = assertThrows(IllegalArgumentException.class, () -> KeyValueStatement.parse(text.getBytes(UTF_8)));
        assertTrue(error.getMessage().contains(expectedText), error.getMessage());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SELECT 1",
                "SELECT val FROM state WHERE uid = 'a' OR 'b'",
                "SELECT val FROM state WHERE uid = ''",
                "INSERT INTO state (uid, val) VALUES ('a', '\\x9') RETURNING val",
                "DELETE FROM state",
                "INSERT INTO state (uid, val) VALUES ('a', 'x9f') RETURNING val",
                "INSERT INTO state (uid, val) VALUES ('a', '\\x9f')",
                "SELECT val FROM state WHERE uid = 'a'; SELECT val FROM state WHERE uid = 'b'"
            })
    void rejectsStatementOfUnsupportedForm(String text) {
        String fields = " /* id=1,c=a,d=5,cluster=1 */";
        assertThrows(IllegalArgumentException.class, () -> KeyValueStatement.parse((text + fields).getBytes(UTF_8)));
        assertThrows(IllegalArgumentException.class, () -> KeyValueStatement.parse(text.getBytes(UTF_8)));
    }

    @Test
    void parsesLongestValue() {
        String text = "INSERT INTO state (uid, val) VALUES ('a', '\\x" + "9f".repeat(1 << 16) + "') RETURNING val "
                + "/* id=1,c=a,d=5,k=7,cluster=1 */";
        KeyValueStatement write = KeyValueStatement.parse(text.getBytes(UTF_8));
        assertEquals(
                List.of(true, true, "a", 0.005),
                List.of(write.isWrite, write.hasIdempotencyKey, write.key, write.timeoutSeconds));
    }

    /** Guards against a stall of the event loop by one statement: its pattern tried all ways to split white space. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "SELECT val FROM state WHERE uid = 'k' /* id=1,c=a,d=5,cluster=1 */ | ' ' | x",
                "SELECT val FROM state WHERE uid = 'k' | ' ' | /* id=1,c=a,d=5,cluster=1 */x",
                "SELECT val FROM state WHERE uid = 'k' /* id=1,c=a,d=5,cluster=1 | ',f=1' | */",
                "SELECT val FROM state WHERE uid = ' | k | ' /* id=1,c=a,d=5,cluster=1 */",
                "INSERT INTO state (uid, val) VALUES ('k', '\\\\x | 9f | g') RETURNING val /* id=1,c=a,d=5,cluster=1 */"
            })
    void longestInvalidStatementIsRejectedWithinTheHoldUpAllowed(String start, String repeated, String end) {
        int count = (160 * 1024 - start.length() - end.length()) / repeated.length();
        byte[] text = (start + repeated.repeat(count) + end).getBytes(UTF_8);
        var threads = ManagementFactory.getThreadMXBean();
        long startedAt = threads.getCurrentThreadCpuTime();
        assertThrows(InvalidStatementException.class, () -> KeyValueStatement.parse(text));
        long nanos = threads.getCurrentThreadCpuTime() - startedAt;
        assertTrue(nanos < 150_000_000L, nanos + " ns");
    }

    /** Guards against a stall of the event loop by long values; a router may be held up for at most 0.15 s. */
    @Test
    void longestValuesThatTheMemoryAdmitsAreParsedWithinTheHoldUpAllowed() {
        byte[] text = ("INSERT INTO state (uid, val) VALUES ('a', '\\x" + "9f".repeat(1 << 16)
                        + "') RETURNING val /* id=1,c=a,d=5,k=7,cluster=1 */")
                .getBytes(UTF_8);
        long memoryBytes = (192L << 20) / 8;
        long admitted = memoryBytes / (4L * text.length);
        var threads = ManagementFactory.getThreadMXBean();
        long startedAt = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < admitted; i++) {
            KeyValueStatement.parse(text);
        }
        long nanos = threads.getCurrentThreadCpuTime() - startedAt;
        assertTrue(nanos < 150_000_000L, admitted + " statements took " + nanos + " ns");
    }

    @ParameterizedTest
    @CsvSource({"9f, true", "'', true", "9F00aA, true", "9f0, false", "9g, false", "9f'', false", "\\x9f, false"})
    void valueIsAnyNumberOfBytesAsHexDigits(String digits, boolean valid) {
        String text = "INSERT INTO state (uid, val) VALUES ('a', '\\x" + digits + "') RETURNING val "
                + "/* id=1,c=\\x9f,d=480,k=7,cluster=1 */";
        if (valid) {
            KeyValueStatement write = KeyValueStatement.parse(text.getBytes(UTF_8));
            assertEquals("\\x9f", write.requestClassName);
            assertArrayEquals(text.replace("d=480", "d=5").getBytes(UTF_8), write.textWithTimeout(0.005));
        } else {
            assertThrows(IllegalArgumentException.class, () -> KeyValueStatement.parse(text.getBytes(UTF_8)));
        }
    }

    @Test
    void longStatementsShareOneMemoryBudgetAndAreSkippedIfItIsExhausted() {
        var memoryBudget = new MemoryBudget(200_000);
        ByteBuf incomplete = Unpooled.wrappedBuffer(
                MessageEncoder.startupMessage("client", "core"),
                message('Q', 50_000),
                Unpooled.buffer(10).writeZero(9));
        var firstClient = new EmbeddedChannel(new ClientMessageDecoder(memoryBudget));
        firstClient.writeInbound(incomplete.retainedDuplicate());
        ByteBuf completedThenNext = Unpooled.wrappedBuffer(
                incomplete.retainedDuplicate(),
                Unpooled.buffer(50_000).writeZero(50_000 - 4 - 9),
                MessageEncoder.query(READ.getBytes(UTF_8)));
        assertEquals(
                List.of("Startup", "SkippedQuery", "Query"),
                decodedTypes(new ClientMessageDecoder(memoryBudget), completedThenNext, 99));
        firstClient.finishAndReleaseAll();
        assertEquals(List.of("Startup"), decodedTypes(new ClientMessageDecoder(memoryBudget), incomplete, 99));
    }

    /** Guards against partial messages that hold receive buffers, which can be many times as long. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 5, 700, 40_000})
    void partialMessageDoesNotHoldTheReceiveBuffer(int bytes) {
        var client = new EmbeddedChannel(new ClientMessageDecoder(new MemoryBudget(1 << 20)));
        client.writeInbound(MessageEncoder.startupMessage("client", "core"));
        ByteBuf received = client.alloc().directBuffer(1 << 16);
        received.writeByte('Q').writeInt(50_000).writeZero(50_000).writerIndex(bytes);
        client.writeInbound(received);
        assertEquals(0, received.refCnt());
        assertTrue(client.pipeline().get(ClientMessageDecoder.class).hasPartialMessage());
        client.finishAndReleaseAll();
    }
}
