package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.Role;
import clayhook.protocol.KeyValueStatement;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BackendClientTest {
    private static final KeyValueStatement READ = KeyValueStatement.parse(
            "SELECT val FROM state WHERE uid = 'k' /* id=1,c=a,d=9,cluster=1 */".getBytes(StandardCharsets.UTF_8));

    private final BackendClientFixture backend = new BackendClientFixture();
    private final AtomicInteger receivedStatements = new AtomicInteger();

    @AfterEach
    void close() {
        backend.close();
    }

    /**
     * Starts and registers a node that answers its first statement with {@code first} and all others with
     * {@code others}.
     */
    private Node stubNode(String role, StubResponse first, StubResponse others) throws Exception {
        var stub = new StubNode(
                backend.transport,
                backend.transport.ephemeralAddress(0),
                role,
                any -> receivedStatements.incrementAndGet() == 1 ? first : others);
        return backend.register(stub.address());
    }

    private Attempt send(Node node) throws Exception {
        return backend.send(node, READ);
    }

    private AttemptOutcome nextOutcome() throws Exception {
        return backend.sweepUntilFinished().outcome();
    }

    private void awaitReceivedStatement() {
        while (receivedStatements.get() == 0) {
            Thread.onSpinWait();
        }
    }

    @ParameterizedTest
    @CsvSource({"mute, 0.5, TIMED_OUT", "replica, 60, ANSWERED"})
    void healthCheckAfterAFinishedOrTimedOutOneIsSent(String role, double timeout, AttemptOutcome outcome)
            throws Exception {
        backend.open(timeout, BackendClientFixture.LONG_SECONDS);
        Node node = stubNode(role, null, null);
        for (int i = 0; i < 2; i++) {
            backend.runOnLoop(() -> backend.client.startHealthCheck(node));
            assertEquals(outcome, nextOutcome());
        }
    }

    /** Guards against requests at a draining node that accepts no new connections and has idle ones. */
    @ParameterizedTest
    @CsvSource({"57P03, DRAINING", "28000, CONNECT_FAILED"})
    void healthCheckWhoseConnectionIsRejectedAsDrainingReportsDraining(String sqlState, AttemptOutcome outcome)
            throws Exception {
        try (var rejecting = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Node node = backend.register((InetSocketAddress) rejecting.getLocalSocketAddress());
            backend.runOnLoop(() -> backend.client.startHealthCheck(node));
            try (Socket connection = rejecting.accept()) {
                connection.getInputStream().read();
                byte[] fields = ("C" + sqlState + "\0\0").getBytes(StandardCharsets.ISO_8859_1);
                connection.getOutputStream().write(new byte[] {'E', 0, 0, 0, (byte) (4 + fields.length)});
                connection.getOutputStream().write(fields);
            }
            assertEquals(outcome, backend.finished.poll(20, TimeUnit.SECONDS).outcome());
        }
    }

    @ParameterizedTest
    @CsvSource({"true, ANSWERED, 1", "false, NOT_SENT, 0"})
    void attemptThatMayNoLongerBeSentIsNeverWritten(boolean allowed, AttemptOutcome outcome, int written)
            throws Exception {
        backend.mayStillSend = attempt -> allowed;
        send(stubNode("replica", StubResponse.answer("a"), StubResponse.answer("a")));
        assertEquals(outcome, nextOutcome());
        assertEquals(written, receivedStatements.get());
    }

    @Test
    void lackOfLocalDescriptorsIsNotReportedAsNodeFailure() throws Exception {
        backend.open(1, 9, 1);
        Node node = stubNode("replica", StubResponse.silence(), StubResponse.silence());
        send(node);
        backend.runOnLoop(() -> backend.client.startHealthCheck(node));
        assertEquals(AttemptOutcome.NOT_SENT, backend.finished.take().outcome());
        assertEquals(1, backend.connectionCount());
    }

    @ParameterizedTest
    @CsvSource({"true, CANCELLED", "false, TIMED_OUT"})
    void answerOfAnAbandonedAttemptNeverReachesTheNextOne(boolean cancelled, AttemptOutcome outcome) throws Exception {
        Node node = stubNode("replica", StubResponse.silence(), StubResponse.answer("a"));
        Attempt first = send(node);
        awaitReceivedStatement();
        backend.runOnLoop(() -> {
            if (cancelled) {
                backend.client.cancel(first);
            } else {
                backend.client.expire(first);
            }
        });
        assertEquals(outcome, backend.finished.take().outcome());
        send(node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome());
        assertEquals(2, receivedStatements.get());
    }

    @ParameterizedTest
    @CsvSource({"false, NOT_SENT", "true, ANSWERED"})
    void cancelIfUnsentEndsAWaitingAttemptAndLeavesAWrittenOneRunning(boolean written, AttemptOutcome outcome)
            throws Exception {
        try (var silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Node node = written
                    ? stubNode("replica", StubResponse.answer("a"), null)
                    : backend.register((InetSocketAddress) silent.getLocalSocketAddress());
            Attempt attempt = send(node);
            if (written) {
                awaitReceivedStatement();
            }
            backend.runOnLoop(() -> backend.client.cancelIfUnsent(attempt));
            assertEquals(outcome, backend.finished.poll(20, TimeUnit.SECONDS).outcome());
        }
    }

    @ParameterizedTest
    @CsvSource({"XX000, ERROR", "72000, REJECTED", "53300, OVERLOADED"})
    void connectionIsReusedAfterAnErrorResponse(String sqlState, AttemptOutcome outcome) throws Exception {
        Node node = stubNode("replica", StubResponse.error(sqlState), StubResponse.answer("a"));
        send(node);
        assertEquals(outcome, nextOutcome());
        backend.awaitIdle(1);
        send(node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome());
        assertEquals(1, backend.connectionCount());
    }

    @ParameterizedTest
    @CsvSource({"60, 1", "0, 0"})
    void idleConnectionIsClosedAfterItsTimeout(double idleSeconds, int left) throws Exception {
        backend.open(BackendClientFixture.LONG_SECONDS, idleSeconds);
        send(stubNode("replica", StubResponse.answer("a"), StubResponse.answer("a")));
        assertEquals(AttemptOutcome.ANSWERED, backend.finished.take().outcome());
        backend.awaitIdle(1);
        backend.sweep();
        assertEquals(left, backend.connectionCount());
    }

    /**
     * Encodes the messages for some letters. T, D, C, S, E and Z are well-formed messages, r is a load report with an
     * implausible value; other lower-case letters are messages with a malformed body.
     */
    private static ByteBuf messages(String letters) {
        ByteBuf out = Unpooled.buffer();
        for (int i = 0; i < letters.length(); i++) {
            char letter = letters.charAt(i);
            String body =
                    switch (letter) {
                        case 'T' -> "\0\1val\0" + "\0".repeat(18);
                        case 't' -> "\0\2val\0" + "\0".repeat(18);
                        case 'D' -> "\0\1\0\0\0\3old";
                        case 'd' -> "\0\1\0\0\0\2old";
                        case 'n' -> "\0\1\377\377\377\377";
                        case 'C' -> "SELECT 1\0";
                        case 'c' -> "SELECT 1";
                        case 'S' -> "applied_ms\0" + "1000\0";
                        case 'r' -> "load\0x0=1e300\0";
                        case 'E' -> "C53300\0\0";
                        case 'Z' -> "I";
                        default -> "";
                    };
            char type = letter == 'n' ? 'D' : letter == 'r' ? 'S' : Character.toUpperCase(letter);
            out.writeByte(type).writeInt(4 + body.length()).writeCharSequence(body, StandardCharsets.ISO_8859_1);
        }
        return out;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "DCZ", "TCZ", "TDZ", "TDDCZ", "TTDCZ", "TDSCEZ", "SZ", "tDCZ", "TdCZ", "TnCZ", "TDcZ", "STDCz", "STDCq",
                "STDCSs", "Eq"
            })
    void malformedAnswerCountsAsPossiblyRunAndClosesItsConnection(String letters) throws Exception {
        Node node = stubNode("replica", StubResponse.bytes(messages(letters)), StubResponse.answer("new"));
        send(node);
        assertEquals(AttemptOutcome.ERROR, nextOutcome());
        AttemptResult result = backend.lastResult;
        assertEquals(AttemptResult.withoutReport(AttemptOutcome.ERROR, result.elapsedSeconds()), result);
        send(node);
        assertAnsweredWithNew();
        assertEquals(1, backend.connectionCount());
    }

    private void assertAnsweredWithNew() throws Exception {
        BackendClientFixture.FinishedAttempt finished = backend.sweepUntilFinished();
        assertEquals(AttemptOutcome.ANSWERED, finished.outcome());
        assertTrue(finished.value().contains("new"), finished.value());
    }

    @ParameterizedTest
    @ValueSource(strings = {"TDCZTDCZ", "TDCZq", "TDCZT", "TDCZS", "TDSCZZ", "EZTDCZ"})
    void bytesAfterACompleteAnswerAreNotReadAsTheNextAnswer(String letters) throws Exception {
        ByteBuf bytes = messages(letters);
        for (int cut : new int[] {0, 1, 5}) {
            receivedStatements.set(0);
            Node node = stubNode(
                    "replica",
                    StubResponse.bytes(bytes.slice(0, bytes.readableBytes() - cut)),
                    StubResponse.answer("new"));
            send(node);
            assertEquals(letters.startsWith("E") ? AttemptOutcome.OVERLOADED : AttemptOutcome.ANSWERED, nextOutcome());
            send(node);
            assertAnsweredWithNew();
        }
    }

    @ParameterizedTest
    @CsvSource({"TDrCZ, 0", "TDrSCZ, 1"})
    void implausibleLoadReportIsIgnoredAndTheAnswerIsForwarded(String letters, double position) throws Exception {
        send(stubNode("replica", StubResponse.bytes(messages(letters)), null));
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome());
        AttemptResult result = backend.lastResult;
        assertEquals(
                new AttemptResult(
                        AttemptOutcome.ANSWERED, result.elapsedSeconds(), Role.UNKNOWN, position, Role.UNKNOWN, 0, -1),
                result);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, true", "false, 60, true", "false, 0, false"})
    void nodeIsRemovedOnceUnknownAndWithoutConnections(boolean known, double idleSeconds, boolean left)
            throws Exception {
        backend.open(BackendClientFixture.LONG_SECONDS, idleSeconds);
        send(stubNode("replica", StubResponse.answer("a"), null));
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome());
        backend.awaitIdle(1);
        backend.nodesKnown = known;
        backend.sweep();
        assertEquals(left, backend.onLoop(() -> backend.client.hasReplicaSet(1)));
    }

    @ParameterizedTest
    @CsvSource({"400000, ANSWERED, 400000", "500000, ANSWERED, 500000", "600000, ERROR, 0", "2000000, ERROR, 0"})
    void longAnswersReserveMemoryAndReleaseIt(int length, AttemptOutcome outcome, int forwarded) throws Exception {
        for (int i = 0; i < 3; i++) {
            receivedStatements.set(0);
            send(stubNode("replica", StubResponse.answer("v".repeat(length)), null));
            BackendClientFixture.FinishedAttempt finished = backend.sweepUntilFinished();
            assertEquals(outcome, finished.outcome());
            assertEquals(
                    forwarded, finished.value() == null ? 0 : finished.value().length());
        }
    }

    @Test
    void movedNodeIsReachedAtItsNewAddress() throws Exception {
        Node node = stubNode("replica", StubResponse.answer("a"), StubResponse.answer("a"));
        send(node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome());
        assertEquals(node, stubNode("replica", null, StubResponse.error("72000")));
        send(node);
        assertEquals(AttemptOutcome.REJECTED, nextOutcome());
        assertEquals(2, receivedStatements.get());
    }
}
