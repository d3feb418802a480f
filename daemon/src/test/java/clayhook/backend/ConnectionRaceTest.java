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

/** Events that race at a node's connection; each test forces one order of them. */
@Timeout(60)
class ConnectionRaceTest {
    /** More than the socket buffers of both sides hold together, so that only a part goes out unless it is read. */
    private static final int BEYOND_SOCKET_BUFFERS = 1 << 26;

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

    /** Puts a client with other time limits in the place of the one before. */
    private void reopen(double connectTimeoutSeconds, double idleSeconds) throws Exception {
        backend.open(connectTimeoutSeconds, idleSeconds);
        node = backend.register(scriptedNode.address());
    }

    /** A connection that has carried one attempt and is idle. */
    private ScriptedConnection idleConnection() throws Exception {
        backend.send(node, "before");
        ScriptedConnection connection = scriptedNode.acceptAndStart();
        assertEquals("before\0", connection.readQuery());
        connection.write(ScriptedNode.answer("before"));
        assertEquals("before", backend.finished.take().value());
        backend.awaitIdle(1);
        assertEquals(1, backend.connectionCount());
        return connection;
    }

    /** The waiting attempt is written to a connection of its own, and its answer is the one to it. */
    private void assertAnsweredOnNewConnection() throws Exception {
        ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("new\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("new"));
        FinishedAttempt finished = backend.finished.take();
        assertEquals(AttemptOutcome.ANSWERED, finished.outcome());
        assertEquals("new", finished.value());
    }

    // ---- before anything is written ----

    /** The end, and what came before it, are in the socket buffer and not yet read by the loop. */
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

    /** No sweep comes between; the first request after a quiet time finds the expired connection. */
    @Test
    void connectionPastItsIdleTimeoutIsNotWrittenToEvenBeforeASweep() throws Exception {
        reopen(BackendClientFixture.LONG_SECONDS, 0);
        ScriptedConnection old = idleConnection();
        backend.send(node, "new");
        assertNull(old.readQuery());
        assertAnsweredOnNewConnection();
    }

    @ParameterizedTest
    @ValueSource(strings = {"stale", "T"})
    void bytesAfterTheStartupAreNotTheAnswerToAWaitingRequest(String stale) throws Exception {
        backend.send(node, "new");
        ScriptedConnection connection = scriptedNode.accept();
        connection.write(ScriptedNode.STARTUP_ANSWER + (stale.equals("stale") ? ScriptedNode.answer(stale) : stale));
        assertNull(connection.readQuery());
        assertEquals(AttemptOutcome.CONNECT_FAILED, backend.finished.take().outcome());
        assertEquals(0, backend.connectionCount());
    }

    /** A connection that ends at once is one that failed: whether to open another is the policy's decision. */
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

    // ---- an answer that breaks or never ends ----

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

    /** What a node sends before it falls silent. */
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
