package clayhook.nodes;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Command;
import clayhook.Dispatch;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.config.Operator;
import clayhook.protocol.Outgoing;
import clayhook.transport.Clock;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Where events at a node's connections cross; each test forces one order of them. */
@Timeout(60)
class CrossingsTest implements Nodes.Listener {
    /** More than the buffers of both machines hold together, so that only a part goes out unless it is read. */
    private static final int LONG = 1 << 26;

    private record Ended(Dispatch dispatch, Outcome outcome, String value) {}

    private final Transport transport = Transport.tcp();
    private final Clock clock = new Clock();
    private final BlockingQueue<Ended> ended = new LinkedBlockingQueue<>();
    private Predicate<Dispatch> may = dispatch -> true;
    private boolean knows = true;
    private ScriptedNode there;

    @Override
    public void ended(Dispatch dispatch, Reply reply, List<byte[]> answer, String error) {
        ended.add(new Ended(
                dispatch,
                reply.outcome(),
                answer == null ? null : new String(answer.get(1), ISO_8859_1).substring(11)));
    }

    @Override
    public void probed(Node node, Reply reply) {
        ended.add(new Ended(null, reply.outcome(), null));
    }

    @Override
    public boolean mayGo(Dispatch dispatch) {
        return may.test(dispatch);
    }

    @Override
    public boolean knows(Node node) {
        return knows;
    }

    @BeforeEach
    void listen() throws Exception {
        there = new ScriptedNode();
    }

    @AfterEach
    void close() throws Exception {
        transport.close();
        there.close();
    }

    private Nodes nodes(double connectTimeout, double idle) {
        return new Nodes(transport, clock, new Descriptors(1024), 1 << 24, connectTimeout, idle, Operator.OFF, this);
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return transport.loop().submit(step).get();
    }

    private Node at(Nodes nodes) throws Exception {
        return onLoop(() -> nodes.at("n", "a", 1, there.address()));
    }

    private Dispatch dispatch(Node node) {
        double now = clock.now();
        return new Dispatch(new Command(null, 1, null, 0, now, now + 60), node, true, now, now + 60);
    }

    private static Outgoing text(String text) {
        return seconds -> text.getBytes(UTF_8);
    }

    private Dispatch send(Nodes nodes, Node node, String text) throws Exception {
        Dispatch dispatch = dispatch(node);
        onLoop(() -> {
            nodes.send(dispatch, text(text));
            return null;
        });
        return dispatch;
    }

    private void await(Callable<Boolean> condition) throws Exception {
        while (!onLoop(condition)) {
            Thread.onSpinWait();
        }
    }

    private void awaitIdle(Nodes nodes, int connections) throws Exception {
        await(() -> nodes.idle() == connections);
    }

    /** A connection that has carried one attempt and is idle. */
    private ScriptedNode.Peer idle(Nodes nodes, Node node) throws Exception {
        send(nodes, node, "before");
        ScriptedNode.Peer peer = there.welcome();
        assertEquals("before\0", peer.query());
        peer.write(ScriptedNode.answer("before"));
        assertEquals("before", ended.take().value());
        awaitIdle(nodes, 1);
        return peer;
    }

    // ---- before anything is written ----

    /** The end, and what came before it, are in the machine and not yet read by the loop. */
    @ParameterizedTest
    @ValueSource(strings = {"", "T", "stale"})
    void nothingIsWrittenWhereAnEndOrUnaskedBytesHaveCome(String bytes) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        ScriptedNode.Peer peer = idle(nodes, node);
        onLoop(() -> {
            peer.write(bytes.equals("stale") ? ScriptedNode.answer(bytes) : bytes);
            peer.close();
            nodes.send(dispatch(node), text("new"));
            return null;
        });
        ScriptedNode.Peer fresh = there.welcome();
        assertEquals("new\0", fresh.query());
        fresh.write(ScriptedNode.answer("new"));
        assertEquals("new", ended.take().value());
    }

    /** No sweep comes between; the first command after a pause finds it. */
    @Test
    void aConnectionThatStoodIdleTooLongIsNotWrittenToHoweverRareTheSweeps() throws Exception {
        Nodes nodes = nodes(60, 0);
        Node node = at(nodes);
        ScriptedNode.Peer old = idle(nodes, node);
        send(nodes, node, "new");
        assertNull(old.query());
        ScriptedNode.Peer fresh = there.welcome();
        assertEquals("new\0", fresh.query());
        fresh.write(ScriptedNode.answer("new"));
        assertEquals("new", ended.take().value());
    }

    @ParameterizedTest
    @ValueSource(strings = {"stale", "T"})
    void whatFollowsTheWelcomeIsNoAnswerToWhatWaited(String stale) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        send(nodes, node, "new");
        ScriptedNode.Peer peer = there.accept();
        peer.write(ScriptedNode.WELCOME + (stale.equals("stale") ? ScriptedNode.answer(stale) : stale));
        assertNull(peer.query());
        assertEquals(Outcome.CONNECT_FAILED, ended.take().outcome());
    }

    /** One that ends at once is a connection that failed: another one may be asked for, by those who decide. */
    @Test
    void aNodeThatEndsEachConnectionAfterItsWelcomeIsNotOpenedOneAfterTheOther() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        send(nodes, node, "new");
        ScriptedNode.Peer peer = there.accept();
        onLoop(() -> {
            peer.write(ScriptedNode.WELCOME);
            peer.close();
            return null;
        });
        assertEquals(Outcome.CONNECT_FAILED, ended.take().outcome());
        assertEquals(0, onLoop(nodes::connections));
    }

    // ---- while it is written ----

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, RESET"})
    void aRequestCountsAsRunFromItsLastByteOn(boolean whole, Outcome outcome) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        send(nodes, node, "x".repeat(LONG));
        ScriptedNode.Peer peer = there.welcome();
        if (whole) {
            assertEquals(LONG + 1, peer.query().length());
        } else {
            peer.begin();
        }
        peer.reset();
        assertEquals(outcome, ended.take().outcome());
    }

    @Test
    void anAnswerToWhatHasNotAllGoneOutIsNoneAndTheRestNeverGoesOut() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        send(nodes, node, "x".repeat(LONG));
        ScriptedNode.Peer peer = there.welcome();
        peer.begin();
        peer.write(ScriptedNode.answer("stale"));
        assertEquals(Outcome.ERROR, ended.take().outcome());
        assertTrue(peer.left() < LONG);
        assertEquals(0, onLoop(nodes::connections));
    }

    // ---- an answer that breaks or never ends ----

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 40, 59, 64})
    void anAnswerThatIsCutIsPassedToNobody(int bytes) throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        for (boolean reset : new boolean[] {false, true}) {
            send(nodes, node, "cut");
            ScriptedNode.Peer peer = there.welcome();
            peer.query();
            peer.write(ScriptedNode.answer("value").substring(0, bytes));
            if (reset) {
                peer.reset();
            } else {
                peer.close();
            }
            assertEquals(Outcome.RESET, ended.take().outcome());
        }
        assertEquals(0, onLoop(nodes::connections));
    }

    /** What was said before it falls silent. */
    private static List<String> silences() {
        return List.of(
                "",
                ScriptedNode.WELCOME.substring(0, 3),
                ScriptedNode.message('N', "CI\0\0"),
                ScriptedNode.message('E', "C57P03\0\0"),
                ScriptedNode.WELCOME,
                ScriptedNode.WELCOME + ScriptedNode.answer("a").substring(0, 30),
                ScriptedNode.WELCOME + ScriptedNode.message('N', "CI\0\0").repeat(1000));
    }

    @Test
    void anAttemptEndsAtItsLimitWhateverItsConnectionDoes() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        for (String said : silences()) {
            boolean welcomed = said.startsWith(ScriptedNode.WELCOME);
            Dispatch dispatch = send(nodes, node, "q");
            ScriptedNode.Peer peer = there.accept();
            peer.write(welcomed ? ScriptedNode.WELCOME : said);
            if (welcomed) {
                peer.query();
                peer.write(said.substring(ScriptedNode.WELCOME.length()));
            }
            onLoop(() -> {
                nodes.expire(dispatch);
                nodes.expire(dispatch);
                return null;
            });
            assertEquals(
                    welcomed ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED,
                    ended.take().outcome());
            assertEquals("{}", onLoop(nodes::underWay));
            peer.reset();
            await(() -> nodes.connections() == 0);
        }
        assertTrue(ended.isEmpty());
    }

    @Test
    void aWelcomeThatNeverEndsIsBoundedInTime() throws Exception {
        Nodes nodes = nodes(0.01, 60);
        Node node = at(nodes);
        send(nodes, node, "q");
        ScriptedNode.Peer peer = there.accept();
        while (ended.isEmpty()) {
            onLoop(() -> {
                nodes.sweep();
                return null;
            });
            if (ended.isEmpty()) {
                peer.write(ScriptedNode.message('N', "CI\0\0"));
            }
        }
        assertEquals(Outcome.CONNECT_FAILED, ended.take().outcome());
        assertEquals(0, onLoop(nodes::connections));
    }

    // ---- attempts that wait ----

    @Test
    void whatIsCalledOffWhileItWaitsEndsAtTheNextSweep() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        Dispatch gone = send(nodes, node, "gone");
        Dispatch wanted = send(nodes, node, "wanted");
        ScriptedNode.Peer peer = there.accept();
        may = dispatch -> dispatch != gone;
        onLoop(() -> {
            nodes.sweep();
            return null;
        });
        assertEquals(new Ended(gone, Outcome.NOT_SENT, null), ended.take());
        peer.write(ScriptedNode.WELCOME);
        assertEquals("wanted\0", peer.query());
        peer.write(ScriptedNode.answer("a"));
        assertEquals(new Ended(wanted, Outcome.ANSWERED, "a"), ended.take());
    }

    /** Its limit is another ending: the node did not come up in time. */
    @Test
    void aSweepLeavesWhatIsPastItsLimitToItsLimit() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        double now = clock.now();
        var late = new Dispatch(new Command(null, 1, null, 0, now, now), node, true, now, now);
        may = dispatch -> false;
        onLoop(() -> {
            nodes.send(late, text("q"));
            nodes.sweep();
            nodes.expire(late);
            return null;
        });
        assertEquals(Outcome.CONNECT_FAILED, ended.take().outcome());
        assertTrue(ended.isEmpty());
    }

    /** A listener that ends others while it is asked about one: none is written after it ended. */
    @Test
    void anEndingHeardWhileAttemptsAreHandedOutIsTheLast() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        List<Dispatch> sent = new ArrayList<>();
        List<ScriptedNode.Peer> peers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.add(send(nodes, node, "q" + i));
            peers.add(there.accept());
        }
        may = dispatch -> {
            nodes.recall(sent.get(1));
            nodes.expire(sent.get(2));
            nodes.recall(sent.get(1));
            return dispatch != sent.get(0);
        };
        peers.get(0).write(ScriptedNode.WELCOME);
        assertEquals("q3\0", peers.get(0).query());
        for (ScriptedNode.Peer peer : peers.subList(1, 4)) {
            peer.write(ScriptedNode.WELCOME);
        }
        awaitIdle(nodes, 3);
        peers.get(0).write(ScriptedNode.answer("a"));
        awaitIdle(nodes, 4);
        Set<Dispatch> over = new HashSet<>();
        while (!ended.isEmpty()) {
            assertTrue(over.add(ended.take().dispatch()));
        }
        assertEquals(new HashSet<>(sent), over);
        assertEquals("{}", onLoop(nodes::underWay));
    }

    /** Each connection in turn fails, comes up late or in time, while attempts end: none is lost or written twice. */
    @Test
    void everyAttemptHasOneEndingHoweverItsConnectionsFare() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        var random = new Random(1);
        List<Dispatch> sent = new ArrayList<>();
        Set<String> ran = new HashSet<>();
        List<ScriptedNode.Peer> opening = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.add(send(nodes, node, "q" + i));
            int wait = sent.size() - ended.size();
            while (onLoop(nodes::connections) > opening.size()) {
                opening.add(there.accept());
            }
            if (wait > 1 + random.nextInt(4)) {
                ScriptedNode.Peer peer = opening.remove(random.nextInt(opening.size()));
                int before = ended.size();
                switch (random.nextInt(3)) {
                    case 0 -> peer.reset();
                    case 1 -> {
                        peer.write(ScriptedNode.WELCOME);
                        assertTrue(ran.add(peer.query()));
                        peer.reset();
                    }
                    default -> {
                        Dispatch oldest = sent.get(sent.size() - wait);
                        onLoop(() -> {
                            nodes.expire(oldest);
                            return null;
                        });
                        peer.reset();
                    }
                }
                await(() -> ended.size() > before && nodes.connections() <= opening.size() + 1);
                await(() -> nodes.connections() == opening.size());
            }
        }
        for (Dispatch dispatch : sent) {
            onLoop(() -> {
                nodes.expire(dispatch);
                return null;
            });
        }
        Set<Dispatch> over = new HashSet<>();
        while (!ended.isEmpty()) {
            assertTrue(over.add(ended.take().dispatch()));
        }
        assertEquals(new HashSet<>(sent), over);
        assertEquals("{}", onLoop(nodes::underWay));
    }

    // ---- nodes that move or go ----

    @Test
    void whatWaitsForANodeThatMovesGoesToItsNewAddressAndTheOldOneFailsNothing() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        send(nodes, node, "q");
        ScriptedNode.Peer old = there.accept();
        ScriptedNode before = there;
        there = new ScriptedNode();
        at(nodes);
        assertNull(old.query());
        before.close();
        ScriptedNode.Peer fresh = there.welcome();
        assertEquals("q\0", fresh.query());
        fresh.write(ScriptedNode.answer("a"));
        assertEquals(Outcome.ANSWERED, ended.take().outcome());
    }

    @Test
    void whatIsSentToAForgottenNodeEndsAtOnce() throws Exception {
        Nodes nodes = nodes(60, 60);
        Node node = at(nodes);
        knows = false;
        onLoop(() -> {
            nodes.sweep();
            nodes.probe(node);
            return null;
        });
        Dispatch dispatch = send(nodes, node, "q");
        assertEquals(new Ended(dispatch, Outcome.NOT_SENT, null), ended.take());
        onLoop(() -> {
            nodes.expire(dispatch);
            return null;
        });
        assertTrue(ended.isEmpty());
    }
}
