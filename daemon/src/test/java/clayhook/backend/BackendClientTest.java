package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.Request;
import clayhook.Role;
import clayhook.config.OperatorConfiguration;
import clayhook.metrics.EventCounters;
import clayhook.protocol.KeyValueStatement;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BackendClientTest implements BackendClient.Listener {
    private static final KeyValueStatement READ = KeyValueStatement.parse(
            "SELECT val FROM state WHERE uid = 'k' /* id=1,c=a,d=9,cluster=1 */".getBytes(StandardCharsets.UTF_8));
    private final Transport transport = Transport.tcp();
    private final SlewedClock clock = new SlewedClock();
    private final LinkedBlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    private final AtomicInteger receivedStatements = new AtomicInteger();
    private int descriptorLimit = 1024;
    private boolean mayStillSend = true;
    private boolean nodesKnown = true;
    private AttemptResult result;
    private String answer;

    @Override
    public void onAttemptFinished(Attempt dispatch, AttemptResult reply, List<byte[]> answer, String error) {
        this.result = reply;
        this.answer = answer == null ? "" : new String(answer.get(1), StandardCharsets.ISO_8859_1);
        outcomes.add(reply.outcome());
    }

    @Override
    public void onHealthCheck(Node node, AttemptResult reply) {
        outcomes.add(reply.outcome());
    }

    @Override
    public boolean mayStillSend(Attempt dispatch) {
        return mayStillSend;
    }

    @Override
    public boolean isKnown(Node node) {
        return nodesKnown;
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private BackendClient newClient(double connectTimeout, double idle) {
        return new BackendClient(
                transport,
                clock,
                new DescriptorBudget(descriptorLimit),
                1 << 24,
                connectTimeout,
                idle,
                OperatorConfiguration.DEFAULTS,
                this,
                new EventCounters());
    }

    private Node stubNode(BackendClient nodes, String role, StubResponse first, StubResponse then) throws Exception {
        var there = new StubNode(
                transport,
                transport.ephemeralAddress(0),
                role,
                any -> receivedStatements.incrementAndGet() == 1 ? first : then);
        return transport
                .eventLoop()
                .submit(() -> nodes.registerNode("n", "a", 1, there.address()))
                .get();
    }

    private Attempt send(BackendClient nodes, Node node) throws Exception {
        var dispatch = new Attempt(
                new Request(null, 1, null, 0, clock.now(), clock.now() + 60),
                node,
                true,
                clock.now(),
                clock.now() + 60);
        transport.eventLoop().submit(() -> nodes.send(dispatch, READ)).get();
        return dispatch;
    }

    /** Sweeps until something has ended. */
    private AttemptOutcome nextOutcome(BackendClient nodes) throws Exception {
        while (outcomes.isEmpty()) {
            transport.eventLoop().submit(nodes::sweep).get();
        }
        return outcomes.take();
    }

    private void awaitIdle(BackendClient nodes) throws Exception {
        while (transport.eventLoop().submit(nodes::idleCount).get() == 0) {
            Thread.onSpinWait();
        }
    }

    @ParameterizedTest
    @CsvSource({"mute, 0.5, TIMED_OUT", "replica, 60, ANSWERED"})
    void healthCheckTimesOutAndTheNextOneIsSent(String role, double timeout, AttemptOutcome outcome) throws Exception {
        BackendClient nodes = newClient(timeout, 60);
        Node node = stubNode(nodes, role, null, null);
        for (int i = 0; i < 2; i++) {
            transport.eventLoop().submit(() -> nodes.startHealthCheck(node)).get();
            assertEquals(outcome, nextOutcome(nodes));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, ANSWERED, 1", "false, NOT_SENT, 0"})
    void attemptThatMayNoLongerBeSentIsNeverWritten(boolean allowed, AttemptOutcome outcome, int written)
            throws Exception {
        mayStillSend = allowed;
        BackendClient nodes = newClient(60, 60);
        send(nodes, stubNode(nodes, "replica", StubResponse.answer("a"), StubResponse.answer("a")));
        assertEquals(outcome, nextOutcome(nodes));
        assertEquals(written, receivedStatements.get());
    }

    @Test
    void lackOfLocalDescriptorsIsNotANodeFailure() throws Exception {
        descriptorLimit = 1;
        BackendClient nodes = newClient(1, 9);
        Node node = stubNode(nodes, "replica", StubResponse.silence(), StubResponse.silence());
        send(nodes, node);
        transport.eventLoop().submit(() -> nodes.startHealthCheck(node)).get();
        assertEquals(AttemptOutcome.NOT_SENT, outcomes.take());
    }

    @ParameterizedTest
    @CsvSource({"true, CANCELLED", "false, TIMED_OUT"})
    void answerOfAnAbandonedAttemptNeverReachesTheNextOne(boolean recalled, AttemptOutcome outcome) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = stubNode(nodes, "replica", StubResponse.silence(), StubResponse.answer("a"));
        Attempt first = send(nodes, node);
        while (receivedStatements.get() == 0) {
            Thread.onSpinWait();
        }
        transport
                .eventLoop()
                .submit(() -> {
                    if (recalled) {
                        nodes.cancel(first);
                    } else {
                        nodes.expire(first);
                    }
                })
                .get();
        assertEquals(outcome, outcomes.take());
        send(nodes, node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        assertEquals(2, receivedStatements.get());
    }

    @ParameterizedTest
    @CsvSource({"false, NOT_SENT", "true, ANSWERED"})
    void cancelIfUnsentEndsAWaitingAttemptAndLeavesAWrittenOneRunning(boolean written, AttemptOutcome outcome)
            throws Exception {
        BackendClient nodes = newClient(60, 60);
        try (var silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Node node = written
                    ? stubNode(nodes, "replica", StubResponse.answer("a"), null)
                    : transport
                            .eventLoop()
                            .submit(() ->
                                    nodes.registerNode("n", "a", 1, (InetSocketAddress) silent.getLocalSocketAddress()))
                            .get();
            Attempt dispatch = send(nodes, node);
            while (written && receivedStatements.get() == 0) {
                Thread.onSpinWait();
            }
            transport.eventLoop().submit(() -> nodes.cancelIfUnsent(dispatch)).get();
            assertEquals(outcome, outcomes.poll(20, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @CsvSource({"XX000, ERROR", "72000, REJECTED", "53300, OVERLOADED"})
    void connectionIsReusedAfterAnErrorResponse(String code, AttemptOutcome outcome) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = stubNode(nodes, "replica", StubResponse.error(code), StubResponse.answer("a"));
        send(nodes, node);
        assertEquals(outcome, nextOutcome(nodes));
        awaitIdle(nodes);
        send(nodes, node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        assertEquals(
                1, transport.eventLoop().submit(() -> nodes.connectionCount()).get());
    }

    @ParameterizedTest
    @CsvSource({"60, 1", "0, 0"})
    void idleConnectionIsClosedAfterItsTimeout(double idle, int left) throws Exception {
        BackendClient nodes = newClient(60, idle);
        send(nodes, stubNode(nodes, "replica", StubResponse.answer("a"), StubResponse.answer("a")));
        assertEquals(AttemptOutcome.ANSWERED, outcomes.take());
        awaitIdle(nodes);
        transport.eventLoop().submit(nodes::sweep).get();
        assertEquals(
                left,
                transport.eventLoop().submit(() -> nodes.connectionCount()).get());
    }

    /** T, D, C, S, E and Z are good messages; a small letter is one whose inside does not fit. */
    private static ByteBuf messages(String letters) {
        ByteBuf out = Unpooled.buffer();
        for (char letter : letters.toCharArray()) {
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
        BackendClient nodes = newClient(60, 60);
        Node node = stubNode(nodes, "replica", StubResponse.bytes(messages(letters)), StubResponse.answer("new"));
        send(nodes, node);
        assertEquals(AttemptOutcome.ERROR, nextOutcome(nodes));
        assertEquals(AttemptResult.withoutReport(AttemptOutcome.ERROR, result.elapsedSeconds()), result);
        send(nodes, node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        assertTrue(answer.contains("new"), answer);
    }

    @ParameterizedTest
    @ValueSource(strings = {"TDCZTDCZ", "TDCZq", "TDCZT", "TDCZS", "TDSCZZ", "EZTDCZ"})
    void bytesAfterACompleteAnswerAreNotTheNextAnswer(String letters) throws Exception {
        BackendClient nodes = newClient(60, 60);
        ByteBuf bytes = messages(letters);
        for (int cut : new int[] {0, 1, 5}) {
            receivedStatements.set(0);
            Node node = stubNode(
                    nodes,
                    "replica",
                    StubResponse.bytes(bytes.slice(0, bytes.readableBytes() - cut)),
                    StubResponse.answer("new"));
            send(nodes, node);
            assertEquals(
                    letters.startsWith("E") ? AttemptOutcome.OVERLOADED : AttemptOutcome.ANSWERED, nextOutcome(nodes));
            send(nodes, node);
            assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
            assertTrue(answer.contains("new"), answer);
        }
    }

    @ParameterizedTest
    @CsvSource({"TDrCZ, 0", "TDrSCZ, 1"})
    void implausibleLoadReportIsIgnoredAndTheAnswerStands(String letters, double position) throws Exception {
        BackendClient nodes = newClient(60, 60);
        send(nodes, stubNode(nodes, "replica", StubResponse.bytes(messages(letters)), null));
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        assertEquals(
                new AttemptResult(
                        AttemptOutcome.ANSWERED, result.elapsedSeconds(), Role.UNKNOWN, position, Role.UNKNOWN, 0, -1),
                result);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, true", "false, 60, true", "false, 0, false"})
    void nodeIsForgottenOnceUnknownAndWithoutConnections(boolean known, double idle, boolean left) throws Exception {
        BackendClient nodes = newClient(60, idle);
        send(nodes, stubNode(nodes, "replica", StubResponse.answer("a"), null));
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        awaitIdle(nodes);
        nodesKnown = known;
        transport.eventLoop().submit(nodes::sweep).get();
        assertEquals(
                left, transport.eventLoop().submit(() -> nodes.hasReplicaSet(1)).get());
    }

    @ParameterizedTest
    @CsvSource({"400000, ANSWERED, 400000", "500000, ANSWERED, 500000", "600000, ERROR, 0", "2000000, ERROR, 0"})
    void longAnswersReserveMemoryAndReleaseIt(int length, AttemptOutcome outcome, int passed) throws Exception {
        BackendClient nodes = newClient(60, 60);
        for (int i = 0; i < 3; i++) {
            receivedStatements.set(0);
            send(nodes, stubNode(nodes, "replica", StubResponse.answer("v".repeat(length)), null));
            assertEquals(outcome, nextOutcome(nodes));
            assertEquals(passed, Math.max(0, answer.length() - 11));
        }
    }

    @Test
    void movedNodeIsReachedAtItsNewAddress() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = stubNode(nodes, "replica", StubResponse.answer("a"), StubResponse.answer("a"));
        send(nodes, node);
        assertEquals(AttemptOutcome.ANSWERED, nextOutcome(nodes));
        assertEquals(node, stubNode(nodes, "replica", null, StubResponse.error("72000")));
        send(nodes, node);
        assertEquals(AttemptOutcome.REJECTED, nextOutcome(nodes));
    }
}
