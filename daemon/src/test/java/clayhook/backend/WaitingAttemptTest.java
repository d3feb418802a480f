package clayhook.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.Node;
import clayhook.backend.BackendClientFixture.FinishedAttempt;
import clayhook.backend.ScriptedNode.ScriptedConnection;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Races between events and attempts waiting for a connection; each test enforces one order of the events. */
@Timeout(60)
class WaitingAttemptTest {
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

    /** Asserts that each sent attempt has finished exactly once and none is in flight. */
    private void assertEachFinishedOnce(List<Attempt> sent) throws Exception {
        Set<Attempt> finished = new HashSet<>();
        while (!backend.finished.isEmpty()) {
            assertTrue(finished.add(backend.finished.take().attempt()));
        }
        assertEquals(new HashSet<>(sent), finished);
        assertEquals("{}", backend.onLoop(backend.client::inFlightByNode));
    }

    // ---- attempts that end while they wait ----

    @Test
    void waitingAttemptThatMayNoLongerBeSentIsCancelledByTheNextSweep() throws Exception {
        Attempt cancelled = backend.send(node, "gone");
        Attempt wanted = backend.send(node, "wanted");
        ScriptedConnection connection = scriptedNode.accept();
        backend.mayStillSend = attempt -> attempt != cancelled;
        backend.sweep();
        assertEquals(new FinishedAttempt(cancelled, AttemptOutcome.NOT_SENT, null), backend.finished.take());
        connection.write(ScriptedNode.STARTUP_ANSWER);
        assertEquals("wanted\0", connection.readQuery());
        connection.write(ScriptedNode.answer("a"));
        assertEquals(new FinishedAttempt(wanted, AttemptOutcome.ANSWERED, "a"), backend.finished.take());
        assertTrue(backend.finished.isEmpty());
    }

    /** A timeout is a different completion from a cancellation: the node did not accept the connection in time. */
    @Test
    void sweepLeavesAnExpiredAttemptToItsDeadline() throws Exception {
        Attempt expired = backend.newAttempt(node, 0);
        backend.mayStillSend = attempt -> false;
        backend.runOnLoop(() -> {
            backend.client.send(expired, BackendClientFixture.statement("q"));
            backend.client.sweep();
            backend.client.expire(expired);
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, backend.finished.take().outcome());
        assertTrue(backend.finished.isEmpty());
    }

    /** A listener may end other attempts during {@code mayStillSend}; none of them may be written afterwards. */
    @Test
    void attemptCancelledWhileConnectionsAreAssignedIsNotSent() throws Exception {
        List<Attempt> sent = new ArrayList<>();
        List<ScriptedConnection> connections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.add(backend.send(node, "q" + i));
            connections.add(scriptedNode.accept());
        }
        backend.mayStillSend = attempt -> {
            backend.client.cancel(sent.get(1));
            backend.client.expire(sent.get(2));
            backend.client.cancel(sent.get(1));
            return attempt != sent.get(0);
        };
        connections.get(0).write(ScriptedNode.STARTUP_ANSWER);
        assertEquals("q3\0", connections.get(0).readQuery());
        for (ScriptedConnection connection : connections.subList(1, 4)) {
            connection.write(ScriptedNode.STARTUP_ANSWER);
        }
        backend.awaitIdle(3);
        connections.get(0).write(ScriptedNode.answer("a"));
        connections.get(0).passBarrier();
        backend.awaitIdle(4);
        assertEachFinishedOnce(sent);
    }

    /**
     * Connections fail before or after an attempt is written to them, while attempts expire; no attempt may be lost or
     * written twice.
     */
    @Test
    void everyAttemptFinishesExactlyOnceUnderRandomConnectionFaults() throws Exception {
        var random = new Random(1);
        List<Attempt> sent = new ArrayList<>();
        Set<String> run = new HashSet<>();
        List<ScriptedConnection> opening = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.add(backend.send(node, "q" + i));
            int waiting = sent.size() - backend.finished.size();
            while (backend.connectionCount() > opening.size()) {
                opening.add(scriptedNode.accept());
            }
            if (waiting > 1 + random.nextInt(4)) {
                ScriptedConnection connection = opening.remove(random.nextInt(opening.size()));
                int finishedBefore = backend.finished.size();
                switch (random.nextInt(3)) {
                    case 0 -> connection.reset();
                    case 1 -> {
                        connection.write(ScriptedNode.STARTUP_ANSWER);
                        assertTrue(run.add(connection.readQuery()));
                        connection.reset();
                    }
                    default -> {
                        backend.expire(sent.get(sent.size() - waiting));
                        connection.reset();
                    }
                }
                backend.await(() -> backend.finished.size() > finishedBefore
                        && backend.client.connectionCount() <= opening.size() + 1);
                backend.await(() -> backend.client.connectionCount() == opening.size());
            }
        }
        for (Attempt attempt : sent) {
            backend.expire(attempt);
        }
        assertEachFinishedOnce(sent);
    }

    // ---- nodes that move or are removed ----

    @Test
    void waitingAttemptIsSentToTheNewAddressOfAMovedNode() throws Exception {
        backend.send(node, "q");
        ScriptedConnection old = scriptedNode.accept();
        ScriptedNode oldNode = scriptedNode;
        scriptedNode = new ScriptedNode();
        backend.register(scriptedNode.address());
        assertNull(old.readQuery());
        oldNode.close();
        ScriptedConnection fresh = scriptedNode.acceptAndStart();
        assertEquals("q\0", fresh.readQuery());
        fresh.write(ScriptedNode.answer("a"));
        assertEquals(AttemptOutcome.ANSWERED, backend.finished.take().outcome());
        assertTrue(backend.finished.isEmpty());
    }

    @Test
    void attemptAtARemovedNodeEndsImmediately() throws Exception {
        backend.nodesKnown = false;
        backend.runOnLoop(() -> {
            backend.client.sweep();
            backend.client.startHealthCheck(node);
        });
        Attempt attempt = backend.send(node, "q");
        assertEquals(new FinishedAttempt(attempt, AttemptOutcome.NOT_SENT, null), backend.finished.take());
        backend.expire(attempt);
        assertTrue(backend.finished.isEmpty());
    }
}
