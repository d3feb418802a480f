package clayhook.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Command;
import clayhook.Dispatch;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.Role;
import clayhook.config.Operator;
import clayhook.protocol.Statement;
import clayhook.rehearsal.StandInNode;
import clayhook.rehearsal.StandInNode.Deed;
import clayhook.transport.Clock;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
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

class NodesTest implements Nodes.Listener {
    private static final Statement READ = Statement.parse(
            "SELECT val FROM state WHERE uid = 'k' /* id=1,c=a,d=9,cluster=1 */".getBytes(StandardCharsets.UTF_8));
    private final Transport transport = Transport.tcp();
    private final Clock clock = new Clock();
    private final LinkedBlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final AtomicInteger statements = new AtomicInteger();
    private int descriptors = 1024;
    private boolean may = true;
    private boolean knows = true;
    private Reply reply;
    private String answer;

    @Override
    public void ended(Dispatch dispatch, Reply reply, List<byte[]> answer, String error) {
        this.reply = reply;
        this.answer = answer == null ? "" : new String(answer.get(1), StandardCharsets.ISO_8859_1);
        outcomes.add(reply.outcome());
    }

    @Override
    public void probed(Node node, Reply reply) {
        outcomes.add(reply.outcome());
    }

    @Override
    public boolean mayGo(Dispatch dispatch) {
        return may;
    }

    @Override
    public boolean knows(Node node) {
        return knows;
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private Nodes nodes(double connectTimeout, double idle) {
        return new Nodes(
                transport, clock, new Descriptors(descriptors), 1 << 24, connectTimeout, idle, Operator.OFF, this);
    }

    private Node node(Nodes nodes, String role, Deed first, Deed then) throws Exception {
        var there = new StandInNode(
                transport, transport.spare(0), role, any -> statements.incrementAndGet() == 1 ? first : then);
        return transport
                .loop()
                .submit(() -> nodes.at("n", "a", 1, there.address()))
                .get();
    }

    private Dispatch send(Nodes nodes, Node node) throws Exception {
        var dispatch = new Dispatch(
                new Command(null, 1, null, 0, clock.now(), clock.now() + 60),
                node,
                true,
                clock.now(),
                clock.now() + 60);
        transport.loop().submit(() -> nodes.send(dispatch, READ)).get();
        return dispatch;
    }

    /** Sweeps until something has ended. */
    private Outcome next(Nodes nodes) throws Exception {
        while (outcomes.isEmpty()) {
            transport.loop().submit(nodes::sweep).get();
        }
        return outcomes.take();
    }

    private void awaitIdle(Nodes nodes) throws Exception {
        while (transport.loop().submit(nodes::idle).get() == 0) {
            Thread.onSpinWait();
        }
    }

    @ParameterizedTest
    @CsvSource({"mute, 0.5, TIMED_OUT", "replica, 60, ANSWERED"})
    void aProbeIsBoundedInTimeAndTheNextOneGoesOut(String role, double timeout, Outcome outcome) throws Exception {
        Nodes nodes = nodes(timeout, 60);
        Node node = node(nodes, role, null, null);
        for (int i = 0; i < 2; i++) {
            transport.loop().submit(() -> nodes.probe(node)).get();
            assertEquals(outcome, next(nodes));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, ANSWERED, 1", "false, NOT_SENT, 0"})
    void whatMayNotGoAnyMoreIsNeverWritten(boolean allowed, Outcome outcome, int written) throws Exception {
        may = allowed;
        Nodes nodes = nodes(60, 60);
        send(nodes, node(nodes, "replica", Deed.answer("a"), Deed.answer("a")));
        assertEquals(outcome, next(nodes));
        assertEquals(written, statements.get());
    }

    @Test
    void wantOfOwnDescriptorsIsNoFailureOfTheNode() throws Exception {
        descriptors = 1;
        Nodes nodes = nodes(1, 9);
        Node node = node(nodes, "replica", Deed.silence(), Deed.silence());
        send(nodes, node);
        transport.loop().submit(() -> nodes.probe(node)).get();
        assertEquals(Outcome.NOT_SENT, outcomes.take());
    }

    @ParameterizedTest
    @CsvSource({"true, CANCELLED", "false, TIMED_OUT"})
    void anAbandonedDispatchLeavesNoAnswerToTheNext(boolean recalled, Outcome outcome) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.silence(), Deed.answer("a"));
        Dispatch first = send(nodes, node);
        while (statements.get() == 0) {
            Thread.onSpinWait();
        }
        transport
                .loop()
                .submit(() -> {
                    if (recalled) {
                        nodes.recall(first);
                    } else {
                        nodes.expire(first);
                    }
                })
                .get();
        assertEquals(outcome, outcomes.take());
        send(nodes, node);
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertEquals(2, statements.get());
    }

    @ParameterizedTest
    @CsvSource({"false, NOT_SENT", "true, ANSWERED"})
    void whatIsWithdrawnEndsAtOnceWhereItWaitsForItsConnectionAndElseIsHeardOut(boolean written, Outcome outcome)
            throws Exception {
        Nodes nodes = nodes(60, 60);
        try (var silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Node node = written
                    ? node(nodes, "replica", Deed.answer("a"), null)
                    : transport
                            .loop()
                            .submit(() -> nodes.at("n", "a", 1, (InetSocketAddress) silent.getLocalSocketAddress()))
                            .get();
            Dispatch dispatch = send(nodes, node);
            while (written && statements.get() == 0) {
                Thread.onSpinWait();
            }
            transport.loop().submit(() -> nodes.withdraw(dispatch)).get();
            assertEquals(outcome, outcomes.poll(20, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @CsvSource({"XX000, ERROR", "72000, TURNED_AWAY", "53300, FULL"})
    void aConnectionIsUsedAgainAfterAnError(String code, Outcome outcome) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.error(code), Deed.answer("a"));
        send(nodes, node);
        assertEquals(outcome, next(nodes));
        awaitIdle(nodes);
        send(nodes, node);
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertEquals(1, transport.loop().submit(() -> nodes.connections()).get());
    }

    @ParameterizedTest
    @CsvSource({"60, 1", "0, 0"})
    void anIdleConnectionIsClosedBeforeTheNodeDoesSo(double idle, int left) throws Exception {
        Nodes nodes = nodes(60, idle);
        send(nodes, node(nodes, "replica", Deed.answer("a"), Deed.answer("a")));
        assertEquals(Outcome.ANSWERED, outcomes.take());
        awaitIdle(nodes);
        transport.loop().submit(nodes::sweep).get();
        assertEquals(left, transport.loop().submit(() -> nodes.connections()).get());
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
    void aSpoiltAnswerMayHaveRunTellsNothingAndEndsItsConnection(String letters) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.bytes(messages(letters)), Deed.answer("new"));
        send(nodes, node);
        assertEquals(Outcome.ERROR, next(nodes));
        assertEquals(Reply.untold(Outcome.ERROR, reply.took()), reply);
        send(nodes, node);
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertTrue(answer.contains("new"), answer);
    }

    @ParameterizedTest
    @ValueSource(strings = {"TDCZTDCZ", "TDCZq", "TDCZT", "TDCZS", "TDSCZZ", "EZTDCZ"})
    void whatFollowsAGoodAnswerIsNotTheNextOnes(String letters) throws Exception {
        Nodes nodes = nodes(60, 60);
        ByteBuf bytes = messages(letters);
        for (int cut : new int[] {0, 1, 5}) {
            statements.set(0);
            Node node =
                    node(nodes, "replica", Deed.bytes(bytes.slice(0, bytes.readableBytes() - cut)), Deed.answer("new"));
            send(nodes, node);
            assertEquals(letters.startsWith("E") ? Outcome.FULL : Outcome.ANSWERED, next(nodes));
            send(nodes, node);
            assertEquals(Outcome.ANSWERED, next(nodes));
            assertTrue(answer.contains("new"), answer);
        }
    }

    @ParameterizedTest
    @CsvSource({"TDrCZ, 0", "TDrSCZ, 1"})
    void aReportThatCannotBeCostsOnlyItself(String letters, double position) throws Exception {
        Nodes nodes = nodes(60, 60);
        send(nodes, node(nodes, "replica", Deed.bytes(messages(letters)), null));
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertEquals(new Reply(Outcome.ANSWERED, reply.took(), Role.UNKNOWN, position, Role.UNKNOWN, 0, -1), reply);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, true", "false, 60, true", "false, 0, false"})
    void aNodeIsForgottenOnceItIsNotKnownAndItsConnectionsHaveEnded(boolean known, double idle, boolean left)
            throws Exception {
        Nodes nodes = nodes(60, idle);
        send(nodes, node(nodes, "replica", Deed.answer("a"), null));
        assertEquals(Outcome.ANSWERED, next(nodes));
        awaitIdle(nodes);
        knows = known;
        transport.loop().submit(nodes::sweep).get();
        assertEquals(left, transport.loop().submit(() -> nodes.listed(1)).get());
    }

    @ParameterizedTest
    @CsvSource({"400000, ANSWERED, 400000", "500000, ANSWERED, 500000", "600000, ERROR, 0", "2000000, ERROR, 0"})
    void longAnswersTakeOfAnAllowanceAndGiveItBack(int length, Outcome outcome, int passed) throws Exception {
        Nodes nodes = nodes(60, 60);
        for (int i = 0; i < 3; i++) {
            statements.set(0);
            send(nodes, node(nodes, "replica", Deed.answer("v".repeat(length)), null));
            assertEquals(outcome, next(nodes));
            assertEquals(passed, Math.max(0, answer.length() - 11));
        }
    }

    @Test
    void aNodeThatMovedIsMetAtItsNewAddress() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.answer("a"), Deed.answer("a"));
        send(nodes, node);
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertEquals(node, node(nodes, "replica", null, Deed.error("72000")));
        send(nodes, node);
        assertEquals(Outcome.TURNED_AWAY, next(nodes));
    }
}
