package clayhook.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Command;
import clayhook.Dispatch;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.protocol.Statement;
import clayhook.rehearsal.StandInNode;
import clayhook.rehearsal.StandInNode.Deed;
import clayhook.serve.Clock;
import clayhook.serve.Descriptors;
import clayhook.serve.Transport;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodesTest implements Nodes.Listener {
    private static final Statement READ =
            Statement.parse("SELECT 1 /* id=1,c=a,d=9,cluster=1 */".getBytes(StandardCharsets.UTF_8));
    private final Transport transport = Transport.tcp();
    private final Clock clock = new Clock();
    private final LinkedBlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final AtomicInteger statements = new AtomicInteger();
    private boolean may = true;

    @Override
    public void ended(Dispatch dispatch, Reply reply, byte[] answer) {
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

    @AfterEach
    void close() {
        transport.close();
    }

    private Nodes nodes(double connectTimeout, double idle) {
        return new Nodes(transport, clock, new Descriptors(1024), connectTimeout, idle, this);
    }

    private Node node(Nodes nodes, String role, Deed first, Deed then) throws Exception {
        var there = new StandInNode(transport, transport.spare(0), role,
                any -> statements.incrementAndGet() == 1 ? first : then);
        return transport.loop().submit(() -> nodes.at("n", "a", 1, there.address())).get();
    }

    private Dispatch send(Nodes nodes, Node node) throws Exception {
        var dispatch = new Dispatch(new Command(null, 1, null, 0, clock.now(), clock.now() + 60), node, true, clock.now(),
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

    @ParameterizedTest
    @CsvSource({"true, CANCELLED", "false, TIMED_OUT"})
    void anAbandonedDispatchLeavesNoAnswerToTheNext(boolean recalled, Outcome outcome) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.silence(), Deed.answer("a"));
        Dispatch first = send(nodes, node);
        while (statements.get() == 0) {
            Thread.onSpinWait();
        }
        transport.loop().submit(() -> {
            if (recalled) {
                nodes.recall(first);
            } else {
                nodes.expire(first);
            }
        }).get();
        assertEquals(outcome, outcomes.take());
        send(nodes, node);
        assertEquals(Outcome.ANSWERED, next(nodes));
        assertEquals(2, statements.get());
    }

    @ParameterizedTest
    @CsvSource({"XX000, ERROR", "72000, TURNED_AWAY", "53300, FULL"})
    void aConnectionIsUsedAgainAfterAnError(String code, Outcome outcome) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = node(nodes, "replica", Deed.error(code), Deed.answer("a"));
        send(nodes, node);
        assertEquals(outcome, next(nodes));
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
        transport.loop().submit(nodes::sweep).get();
        assertEquals(left, transport.loop().submit(() -> nodes.connections()).get());
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
