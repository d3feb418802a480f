package clayhook.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.Request;
import clayhook.config.OperatorConfiguration;
import clayhook.metrics.EventCounters;
import clayhook.protocol.OutboundStatement;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
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
class ConnectionRaceTest implements BackendClient.Listener {
    /** More than the buffers of both machines hold together, so that only a part goes out unless it is read. */
    private static final int BEYOND_SOCKET_BUFFERS = 1 << 26;

    private record FinishedAttempt(Attempt dispatch, AttemptOutcome outcome, String value) {}

    private final Transport transport = Transport.tcp();
    private final SlewedClock clock = new SlewedClock();
    private final BlockingQueue<FinishedAttempt> finished = new LinkedBlockingQueue<>();
    private Predicate<Attempt> mayStillSend = dispatch -> true;
    private boolean nodesKnown = true;
    private ScriptedNode scriptedNode;

    @Override
    public void onAttemptFinished(Attempt dispatch, AttemptResult reply, List<byte[]> answer, String error) {
        finished.add(new FinishedAttempt(
                dispatch,
                reply.outcome(),
                answer == null ? null : new String(answer.get(1), ISO_8859_1).substring(11)));
    }

    @Override
    public void onHealthCheck(Node node, AttemptResult reply) {
        finished.add(new FinishedAttempt(null, reply.outcome(), null));
    }

    @Override
    public boolean mayStillSend(Attempt dispatch) {
        return mayStillSend.test(dispatch);
    }

    @Override
    public boolean isKnown(Node node) {
        return nodesKnown;
    }

    @BeforeEach
    void listen() throws Exception {
        scriptedNode = new ScriptedNode();
    }

    @AfterEach
    void close() throws Exception {
        transport.close();
        scriptedNode.close();
    }

    private BackendClient newClient(double connectTimeout, double idle) {
        return new BackendClient(
                transport,
                clock,
                new DescriptorBudget(1024),
                1 << 24,
                connectTimeout,
                idle,
                OperatorConfiguration.DEFAULTS,
                this,
                new EventCounters());
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return transport.eventLoop().submit(step).get();
    }

    private Node register(BackendClient nodes) throws Exception {
        return onLoop(() -> nodes.registerNode("n", "a", 1, scriptedNode.address()));
    }

    private Attempt newAttempt(Node node) {
        double now = clock.now();
        return new Attempt(new Request(null, 1, null, 0, now, now + 60), node, true, now, now + 60);
    }

    private static OutboundStatement statement(String text) {
        return seconds -> text.getBytes(UTF_8);
    }

    private Attempt send(BackendClient nodes, Node node, String text) throws Exception {
        Attempt dispatch = newAttempt(node);
        onLoop(() -> {
            nodes.send(dispatch, statement(text));
            return null;
        });
        return dispatch;
    }

    private void await(Callable<Boolean> condition) throws Exception {
        while (!onLoop(condition)) {
            Thread.onSpinWait();
        }
    }

    private void awaitIdle(BackendClient nodes, int connections) throws Exception {
        await(() -> nodes.idleCount() == connections);
    }

    /** A connection that has carried one attempt and is idle. */
    private ScriptedNode.ScriptedConnection idleConnection(BackendClient nodes, Node node) throws Exception {
        send(nodes, node, "before");
        ScriptedNode.ScriptedConnection peer = scriptedNode.acceptAndStart();
        assertEquals("before\0", peer.readQuery());
        peer.write(ScriptedNode.answer("before"));
        assertEquals("before", finished.take().value());
        awaitIdle(nodes, 1);
        return peer;
    }

    // ---- before anything is written ----

    /** The end, and what came before it, are in the machine and not yet read by the loop. */
    @ParameterizedTest
    @ValueSource(strings = {"", "T", "stale"})
    void idleConnectionWithPendingCloseOrUnsolicitedBytesIsNotWrittenTo(String bytes) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        ScriptedNode.ScriptedConnection peer = idleConnection(nodes, node);
        onLoop(() -> {
            peer.write(bytes.equals("stale") ? ScriptedNode.answer(bytes) : bytes);
            peer.close();
            nodes.send(newAttempt(node), statement("new"));
            return null;
        });
        ScriptedNode.ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("new\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("new"));
        assertEquals("new", finished.take().value());
    }

    /** No sweep comes between; the first command after a pause finds it. */
    @Test
    void connectionPastItsIdleTimeoutIsNotWrittenToEvenBeforeASweep() throws Exception {
        BackendClient nodes = newClient(60, 0);
        Node node = register(nodes);
        ScriptedNode.ScriptedConnection old = idleConnection(nodes, node);
        send(nodes, node, "new");
        assertNull(old.readQuery());
        ScriptedNode.ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("new\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("new"));
        assertEquals("new", finished.take().value());
    }

    @ParameterizedTest
    @ValueSource(strings = {"stale", "T"})
    void bytesAfterTheStartupAreNotTheAnswerToAWaitingRequest(String stale) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        send(nodes, node, "new");
        ScriptedNode.ScriptedConnection peer = scriptedNode.accept();
        peer.write(ScriptedNode.STARTUP_ANSWER + (stale.equals("stale") ? ScriptedNode.answer(stale) : stale));
        assertNull(peer.readQuery());
        assertEquals(AttemptOutcome.CONNECT_FAILED, finished.take().outcome());
    }

    /** One that ends at once is a connection that failed: another one may be asked for, by those who decide. */
    @Test
    void nodeThatClosesAfterStartupIsNotReconnectedInALoop() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        send(nodes, node, "new");
        ScriptedNode.ScriptedConnection peer = scriptedNode.accept();
        onLoop(() -> {
            peer.write(ScriptedNode.STARTUP_ANSWER);
            peer.close();
            return null;
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, finished.take().outcome());
        assertEquals(0, onLoop(nodes::connectionCount));
    }

    // ---- while it is written ----

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, RESET"})
    void requestMayHaveRunOnlyOnceItsLastByteIsWritten(boolean whole, AttemptOutcome outcome) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        send(nodes, node, "x".repeat(BEYOND_SOCKET_BUFFERS));
        ScriptedNode.ScriptedConnection peer = scriptedNode.acceptAndStart();
        if (whole) {
            assertEquals(BEYOND_SOCKET_BUFFERS + 1, peer.readQuery().length());
        } else {
            peer.awaitFirstByte();
        }
        peer.reset();
        assertEquals(outcome, finished.take().outcome());
    }

    @Test
    void answerToAPartlyWrittenRequestIsAProtocolViolationAndTheRestIsNotSent() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        send(nodes, node, "x".repeat(BEYOND_SOCKET_BUFFERS));
        ScriptedNode.ScriptedConnection peer = scriptedNode.acceptAndStart();
        peer.awaitFirstByte();
        peer.write(ScriptedNode.answer("stale"));
        assertEquals(AttemptOutcome.ERROR, finished.take().outcome());
        assertTrue(peer.skipToEnd() < BEYOND_SOCKET_BUFFERS);
        assertEquals(0, onLoop(nodes::connectionCount));
    }

    // ---- an answer that breaks or never ends ----

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 40, 59, 64})
    void truncatedAnswerIsNotForwarded(int bytes) throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        for (boolean reset : new boolean[] {false, true}) {
            send(nodes, node, "cut");
            ScriptedNode.ScriptedConnection peer = scriptedNode.acceptAndStart();
            peer.readQuery();
            peer.write(ScriptedNode.answer("value").substring(0, bytes));
            if (reset) {
                peer.reset();
            } else {
                peer.close();
            }
            assertEquals(AttemptOutcome.RESET, finished.take().outcome());
        }
        assertEquals(0, onLoop(nodes::connectionCount));
    }

    /** What was said before it falls silent. */
    private static List<String> partialConversations() {
        return List.of(
                "",
                ScriptedNode.STARTUP_ANSWER.substring(0, 3),
                ScriptedNode.message('N', "CI\0\0"),
                ScriptedNode.message('E', "C57P03\0\0"),
                ScriptedNode.STARTUP_ANSWER,
                ScriptedNode.STARTUP_ANSWER + ScriptedNode.answer("a").substring(0, 30),
                ScriptedNode.STARTUP_ANSWER
                        + ScriptedNode.message('N', "CI\0\0").repeat(1000));
    }

    @Test
    void attemptExpiresAtItsDeadlineInEveryConnectionState() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        for (String said : partialConversations()) {
            boolean welcomed = said.startsWith(ScriptedNode.STARTUP_ANSWER);
            Attempt dispatch = send(nodes, node, "q");
            ScriptedNode.ScriptedConnection peer = scriptedNode.accept();
            peer.write(welcomed ? ScriptedNode.STARTUP_ANSWER : said);
            if (welcomed) {
                peer.readQuery();
                peer.write(said.substring(ScriptedNode.STARTUP_ANSWER.length()));
            }
            onLoop(() -> {
                nodes.expire(dispatch);
                nodes.expire(dispatch);
                return null;
            });
            assertEquals(
                    welcomed ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED,
                    finished.take().outcome());
            assertEquals("{}", onLoop(nodes::inFlightByNode));
            peer.reset();
            await(() -> nodes.connectionCount() == 0);
        }
        assertTrue(finished.isEmpty());
    }

    @Test
    void endlessStartupIsClosedAfterTheConnectTimeout() throws Exception {
        BackendClient nodes = newClient(0.01, 60);
        Node node = register(nodes);
        send(nodes, node, "q");
        ScriptedNode.ScriptedConnection peer = scriptedNode.accept();
        while (finished.isEmpty()) {
            onLoop(() -> {
                nodes.sweep();
                return null;
            });
            if (finished.isEmpty()) {
                peer.write(ScriptedNode.message('N', "CI\0\0"));
            }
        }
        assertEquals(AttemptOutcome.CONNECT_FAILED, finished.take().outcome());
        assertEquals(0, onLoop(nodes::connectionCount));
    }

    // ---- attempts that wait ----

    @Test
    void waitingAttemptThatMayNoLongerBeSentEndsAtTheNextSweep() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        Attempt gone = send(nodes, node, "gone");
        Attempt wanted = send(nodes, node, "wanted");
        ScriptedNode.ScriptedConnection peer = scriptedNode.accept();
        mayStillSend = dispatch -> dispatch != gone;
        onLoop(() -> {
            nodes.sweep();
            return null;
        });
        assertEquals(new FinishedAttempt(gone, AttemptOutcome.NOT_SENT, null), finished.take());
        peer.write(ScriptedNode.STARTUP_ANSWER);
        assertEquals("wanted\0", peer.readQuery());
        peer.write(ScriptedNode.answer("a"));
        assertEquals(new FinishedAttempt(wanted, AttemptOutcome.ANSWERED, "a"), finished.take());
    }

    /** Its limit is another ending: the node did not come up in time. */
    @Test
    void sweepLeavesAnExpiredAttemptToItsDeadline() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        double now = clock.now();
        var late = new Attempt(new Request(null, 1, null, 0, now, now), node, true, now, now);
        mayStillSend = dispatch -> false;
        onLoop(() -> {
            nodes.send(late, statement("q"));
            nodes.sweep();
            nodes.expire(late);
            return null;
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, finished.take().outcome());
        assertTrue(finished.isEmpty());
    }

    /** A listener that ends others while it is asked about one: none is written after it ended. */
    @Test
    void attemptCancelledWhileConnectionsAreAssignedIsNotSent() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        List<Attempt> sent = new ArrayList<>();
        List<ScriptedNode.ScriptedConnection> peers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.add(send(nodes, node, "q" + i));
            peers.add(scriptedNode.accept());
        }
        mayStillSend = dispatch -> {
            nodes.cancel(sent.get(1));
            nodes.expire(sent.get(2));
            nodes.cancel(sent.get(1));
            return dispatch != sent.get(0);
        };
        peers.get(0).write(ScriptedNode.STARTUP_ANSWER);
        assertEquals("q3\0", peers.get(0).readQuery());
        for (ScriptedNode.ScriptedConnection peer : peers.subList(1, 4)) {
            peer.write(ScriptedNode.STARTUP_ANSWER);
        }
        awaitIdle(nodes, 3);
        peers.get(0).write(ScriptedNode.answer("a"));
        awaitIdle(nodes, 4);
        Set<Attempt> over = new HashSet<>();
        while (!finished.isEmpty()) {
            assertTrue(over.add(finished.take().dispatch()));
        }
        assertEquals(new HashSet<>(sent), over);
        assertEquals("{}", onLoop(nodes::inFlightByNode));
    }

    /** Each connection in turn fails, comes up late or in time, while attempts end: none is lost or written twice. */
    @Test
    void everyAttemptFinishesExactlyOnceUnderRandomConnectionFaults() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        var random = new Random(1);
        List<Attempt> sent = new ArrayList<>();
        Set<String> ran = new HashSet<>();
        List<ScriptedNode.ScriptedConnection> opening = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.add(send(nodes, node, "q" + i));
            int wait = sent.size() - finished.size();
            while (onLoop(nodes::connectionCount) > opening.size()) {
                opening.add(scriptedNode.accept());
            }
            if (wait > 1 + random.nextInt(4)) {
                ScriptedNode.ScriptedConnection peer = opening.remove(random.nextInt(opening.size()));
                int before = finished.size();
                switch (random.nextInt(3)) {
                    case 0 -> peer.reset();
                    case 1 -> {
                        peer.write(ScriptedNode.STARTUP_ANSWER);
                        assertTrue(ran.add(peer.readQuery()));
                        peer.reset();
                    }
                    default -> {
                        Attempt oldest = sent.get(sent.size() - wait);
                        onLoop(() -> {
                            nodes.expire(oldest);
                            return null;
                        });
                        peer.reset();
                    }
                }
                await(() -> finished.size() > before && nodes.connectionCount() <= opening.size() + 1);
                await(() -> nodes.connectionCount() == opening.size());
            }
        }
        for (Attempt dispatch : sent) {
            onLoop(() -> {
                nodes.expire(dispatch);
                return null;
            });
        }
        Set<Attempt> over = new HashSet<>();
        while (!finished.isEmpty()) {
            assertTrue(over.add(finished.take().dispatch()));
        }
        assertEquals(new HashSet<>(sent), over);
        assertEquals("{}", onLoop(nodes::inFlightByNode));
    }

    // ---- nodes that move or go ----

    @Test
    void waitingAttemptsFollowANodeToItsNewAddressWithoutFailing() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        send(nodes, node, "q");
        ScriptedNode.ScriptedConnection old = scriptedNode.accept();
        ScriptedNode before = scriptedNode;
        scriptedNode = new ScriptedNode();
        register(nodes);
        assertNull(old.readQuery());
        before.close();
        ScriptedNode.ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("q\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("a"));
        assertEquals(AttemptOutcome.ANSWERED, finished.take().outcome());
    }

    @Test
    void attemptAtAForgottenNodeEndsAtOnce() throws Exception {
        BackendClient nodes = newClient(60, 60);
        Node node = register(nodes);
        nodesKnown = false;
        onLoop(() -> {
            nodes.sweep();
            nodes.startHealthCheck(node);
            return null;
        });
        Attempt dispatch = send(nodes, node, "q");
        assertEquals(new FinishedAttempt(dispatch, AttemptOutcome.NOT_SENT, null), finished.take());
        onLoop(() -> {
            nodes.expire(dispatch);
            return null;
        });
        assertTrue(finished.isEmpty());
    }
}
