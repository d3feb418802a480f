package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.Node;
import clayhook.backend.BackendClientFixture.FinishedAttempt;
import clayhook.backend.ScriptedNode.ScriptedConnection;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Races between events on a connection to a node; each test enforces one order of the events. */
@Timeout(60)
class ConnectionRaceTest {
    /**
     * A length in bytes that exceeds the socket buffers of both sides, so that a request of this length is written only
     * partly unless the node reads it.
     */
    private static final int BEYOND_SOCKET_BUFFERS = 1 << 26;

    private static final int SHORT_CONNECT_TIMEOUT_MS = 50;
    /** Longer than Linux delays an acknowledgement, for which a node's system may hold back a small write. */
    private static final int HELD_BACK_MS = 250;

    private final BackendClientFixture backend = new BackendClientFixture();
    private ScriptedNode scriptedNode;
    private Node node;

    @BeforeEach
    void listen() throws Exception {
        scriptedNode = new ScriptedNode();
        node = backend.register(scriptedNode.address());
    }

    @AfterEach
    void close() throws Exception {
        backend.close();
        scriptedNode.close();
    }

    /** Replaces the client by one with other time limits. */
    private void reopen(double connectTimeoutSeconds, double idleSeconds) throws Exception {
        backend.open(connectTimeoutSeconds, idleSeconds);
        node = backend.register(scriptedNode.address());
    }

    /** Opens a connection and runs one attempt on it; the node has not read the barrier query yet. */
    private ScriptedConnection answeredConnection() throws Exception {
        backend.send(node, "before");
        ScriptedConnection connection = scriptedNode.acceptAndStart();
        assertEquals("before\0", connection.readQuery());
        connection.write(ScriptedNode.answer("before"));
        assertEquals("before", backend.finished.take().value());
        return connection;
    }

    /** Opens a connection, runs one attempt on it, and returns it when it is idle. */
    private ScriptedConnection idleConnection() throws Exception {
        ScriptedConnection connection = answeredConnection();
        connection.passBarrier();
        backend.awaitIdle(1);
        assertEquals(1, backend.connectionCount());
        return connection;
    }

    /** Asserts that the waiting attempt is written to a new connection and gets the answer sent on it. */
    private void assertAnsweredOnNewConnection() throws Exception {
        ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("new\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("new"));
        FinishedAttempt finished = backend.finished.take();
        assertEquals(AttemptOutcome.ANSWERED, finished.outcome());
        assertEquals("new", finished.value());
    }

    // ---- before the request is written ----

    /** The event loop has not yet read the end of stream, and the bytes before it, from the socket buffer. */
    @ParameterizedTest
    @ValueSource(strings = {"", "T", "stale"})
    void idleConnectionWithPendingCloseOrUnsolicitedBytesIsNotWrittenTo(String bytes) throws Exception {
        ScriptedConnection connection = idleConnection();
        backend.runOnLoop(() -> {
            connection.write(bytes.equals("stale") ? ScriptedNode.answer(bytes) : bytes);
            connection.close();
            backend.client.send(backend.newAttempt(node), BackendClientFixture.statement("new"));
        });
        assertAnsweredOnNewConnection();
    }

    /** The first request after an idle period finds the expired connection, as no sweep has closed it yet. */
    @Test
    void connectionPastItsIdleTimeoutIsNotWrittenToEvenBeforeASweep() throws Exception {
        reopen(BackendClientFixture.LONG_SECONDS, 0);
        ScriptedConnection old = idleConnection();
        backend.send(node, "new");
        assertNull(old.readQuery());
        assertAnsweredOnNewConnection();
    }

    /** Guards against serving a client with a second copy of another answer, which the node's system held back. */
    @Test
    void secondCopyThatIsHeldBackIsNotReadAsTheAnswerToTheNextRequest() throws Exception {
        ScriptedConnection connection = answeredConnection();
        Thread.sleep(HELD_BACK_MS);
        backend.send(node, "new");
        String next = connection.readQuery();
        String answer = next.equals("\0") ? ScriptedNode.BARRIER_ANSWER : ScriptedNode.answer("new");
        connection.write(ScriptedNode.answer("before") + answer);
        assertAnsweredOnNewConnection();
        assertNull(connection.readQuery());
    }

    /** Some nodes answer with an error, as they accept no statement but those of the two fixed forms. */
    @ParameterizedTest
    @ValueSource(strings = {"I", "E08P01"})
    void connectionIsUsedAgainOnceItsBarrierIsAnswered(String barrierAnswer) throws Exception {
        ScriptedConnection connection = answeredConnection();
        backend.send(node, "next");
        assertEquals("\0", connection.readQuery());
        connection.write(
                barrierAnswer.equals("I")
                        ? ScriptedNode.BARRIER_ANSWER
                        : ScriptedNode.message('E', "C08P01\0\0") + ScriptedNode.message('Z', "I"));
        assertEquals("next\0", connection.readQuery());
        connection.write(ScriptedNode.answer("next"));
        assertEquals("next", backend.finished.take().value());
        assertEquals(1, backend.connectionCount());
    }

    /** Only an answer to the empty query proves that nothing sent before it is in transit. */
    @ParameterizedTest
    @ValueSource(strings = {"Z", "EZ", "TDCZ", "CZ", "IIZ", "IEZ", "q"})
    void connectionWithAnotherAnswerToItsBarrierIsClosed(String letters) throws Exception {
        ScriptedConnection connection = answeredConnection();
        assertEquals("\0", connection.readQuery());
        backend.send(node, "new");
        connection.write(letters.equals("TDCZ") ? ScriptedNode.answer("old") : barrierMessages(letters));
        assertAnsweredOnNewConnection();
        assertNull(connection.readQuery());
    }

    private static String barrierMessages(String letters) {
        var messages = new StringBuilder();
        for (int i = 0; i < letters.length(); i++) {
            char type = letters.charAt(i);
            String body =
                    switch (type) {
                        case 'Z' -> "I";
                        case 'E' -> "C53300\0\0";
                        case 'C' -> "SET\0";
                        default -> "";
                    };
            messages.append(ScriptedNode.message(type, body));
        }
        return messages.toString();
    }

    /**
     * A second copy of an error with which a node answers a barrier could not be told from the answer to the barrier.
     */
    @Test
    void connectionIsClosedAfterAnErrorThatAlsoAnswersBarriers() throws Exception {
        backend.send(node, "before");
        ScriptedConnection connection = scriptedNode.acceptAndStart();
        connection.readQuery();
        connection.write(ScriptedNode.message('E', "C08P01\0\0") + ScriptedNode.message('Z', "I"));
        assertEquals(AttemptOutcome.ERROR, backend.finished.take().outcome());
        assertNull(connection.readQuery());
    }

    /** A node that does not answer a barrier must not keep the connection, nor a request that waits for it. */
    @Test
    void connectionWithAnUnansweredBarrierIsClosedAndTheWaitingRequestGetsAnother() throws Exception {
        reopen(SHORT_CONNECT_TIMEOUT_MS / 1000.0, BackendClientFixture.LONG_SECONDS);
        ScriptedConnection connection = answeredConnection();
        assertEquals("\0", connection.readQuery());
        backend.send(node, "new");
        Thread.sleep(2 * SHORT_CONNECT_TIMEOUT_MS);
        backend.sweep();
        assertNull(connection.readQuery());
        assertAnsweredOnNewConnection();
    }

    @ParameterizedTest
    @ValueSource(strings = {"stale", "T"})
    void bytesAfterTheStartupAreNotReadAsTheAnswerToAWaitingRequest(String stale) throws Exception {
        backend.send(node, "new");
        ScriptedConnection connection = scriptedNode.accept();
        connection.write(ScriptedNode.STARTUP_ANSWER + (stale.equals("stale") ? ScriptedNode.answer(stale) : stale));
        assertNull(connection.readQuery());
        assertEquals(AttemptOutcome.CONNECT_FAILED, backend.finished.take().outcome());
        assertEquals(0, backend.connectionCount());
    }

    /** A connection that is closed right after its startup counts as failed; the routing policy decides on a retry. */
    @Test
    void nodeThatClosesAfterStartupIsNotReconnectedInALoop() throws Exception {
        backend.send(node, "new");
        ScriptedConnection connection = scriptedNode.accept();
        backend.runOnLoop(() -> {
            connection.write(ScriptedNode.STARTUP_ANSWER);
            connection.close();
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, backend.finished.take().outcome());
        assertEquals(0, backend.connectionCount());
    }

    // ---- while the request is written ----

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, RESET"})
    void requestMayHaveRunOnlyOnceItsLastByteIsWritten(boolean written, AttemptOutcome outcome) throws Exception {
        backend.send(node, "x".repeat(BEYOND_SOCKET_BUFFERS));
        ScriptedConnection connection = scriptedNode.acceptAndStart();
        if (written) {
            assertEquals(BEYOND_SOCKET_BUFFERS + 1, connection.readQuery().length());
        } else {
            connection.awaitFirstByte();
        }
        connection.reset();
        assertEquals(outcome, backend.finished.take().outcome());
        assertEquals(0, backend.connectionCount());
    }

    @Test
    void answerToAPartlyWrittenRequestIsAProtocolViolationAndTheRestIsNotSent() throws Exception {
        backend.send(node, "x".repeat(BEYOND_SOCKET_BUFFERS));
        ScriptedConnection connection = scriptedNode.acceptAndStart();
        connection.awaitFirstByte();
        connection.write(ScriptedNode.answer("stale"));
        assertEquals(AttemptOutcome.ERROR, backend.finished.take().outcome());
        assertTrue(connection.skipToEnd() < BEYOND_SOCKET_BUFFERS);
        assertEquals(0, backend.connectionCount());
    }

    // ---- truncated and endless answers ----

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 40, 59, 64})
    void truncatedAnswerIsNotForwarded(int bytes) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            backend.send(node, "cut");
            ScriptedConnection connection = scriptedNode.acceptAndStart();
            connection.readQuery();
            connection.write(ScriptedNode.answer("value").substring(0, bytes));
            if (reset) {
                connection.reset();
            } else {
                connection.close();
            }
            assertEquals(AttemptOutcome.RESET, backend.finished.take().outcome());
        }
        assertEquals(0, backend.connectionCount());
    }

    /** The bytes that a node sends before it stops sending; one element for each case. */
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
        for (String sent : partialConversations()) {
            boolean starts = sent.startsWith(ScriptedNode.STARTUP_ANSWER);
            Attempt attempt = backend.send(node, "q");
            ScriptedConnection connection = scriptedNode.accept();
            connection.write(starts ? ScriptedNode.STARTUP_ANSWER : sent);
            if (starts) {
                connection.readQuery();
                connection.write(sent.substring(ScriptedNode.STARTUP_ANSWER.length()));
            }
            backend.runOnLoop(() -> {
                backend.client.expire(attempt);
                backend.client.expire(attempt);
            });
            assertEquals(
                    starts ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED,
                    backend.finished.take().outcome());
            assertEquals("{}", backend.onLoop(backend.client::inFlightByNode));
            connection.reset();
            backend.await(() -> backend.client.connectionCount() == 0);
        }
        assertTrue(backend.finished.isEmpty());
    }

    @Test
    void endlessStartupIsClosedAfterTheConnectTimeout() throws Exception {
        reopen(0.01, BackendClientFixture.LONG_SECONDS);
        backend.send(node, "q");
        ScriptedConnection connection = scriptedNode.accept();
        while (backend.finished.isEmpty()) {
            backend.sweep();
            if (backend.finished.isEmpty()) {
                connection.write(ScriptedNode.message('N', "CI\0\0"));
            }
        }
        assertEquals(AttemptOutcome.CONNECT_FAILED, backend.finished.take().outcome());
        assertEquals(0, backend.connectionCount());
    }
}
