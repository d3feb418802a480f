package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.rehearsal.StandInDiscovery;
import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WatchTest implements Discovery.Listener {
    /** Seconds; longer than any test but that on lateness takes. */
    private static final double WAIT = 10;

    private final Transport transport = Transport.tcp();
    /** For a service that is held up. */
    private final Transport apart = Transport.tcp();

    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private Discovery client;

    private void start(String... answers) throws InterruptedException {
        client = new Discovery(transport, service(calls, answers).address(), 41, WAIT, new Random(1), this);
        watch();
    }

    private StandInDiscovery service(LinkedBlockingQueue<String> calls, String... answers) throws InterruptedException {
        var left = new LinkedBlockingQueue<>(List.of(answers));
        return new StandInDiscovery(transport, transport.spare(0), call -> {
            calls.add(call);
            return left.poll();
        });
    }

    private void move(InetSocketAddress to) throws Exception {
        transport.loop().submit(() -> client.move(to)).get();
    }

    @Test
    void aServiceThatMovedIsAskedForAllAndItsOldAddressSaysNoMore() throws Exception {
        start(list(42, false));
        assertEquals("changes 42", heard.take());
        var there = new LinkedBlockingQueue<String>();
        move(service(there, list(7, true), list(8, false)).address());
        assertEquals("whole 7", heard.take());
        assertEquals("changes 8", heard.take());
        assertEquals("GET /v1/endpoints HTTP/1.1", there.take());
        assertTrue(there.take().contains("after=7&"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void theOldAddressGoesOnUntilTheNewOneAnswers(int moves) throws Exception {
        var gate = new CountDownLatch(1);
        var asked = new LinkedBlockingQueue<String>();
        var old = new StandInDiscovery(apart, transport.spare(0), call -> {
            asked.add(call);
            if (asked.size() == 2) {
                await(gate);
            }
            return asked.size() > 2 ? null : list(40 + asked.size(), false);
        });
        client = new Discovery(transport, old.address(), 40, WAIT, new Random(1), this);
        watch();
        assertEquals("changes 41", heard.take());
        for (int i = 0; i < moves; i++) {
            StandInDiscovery none = service(calls);
            none.close();
            move(none.address());
            assertEquals("failed", heard.take());
        }
        gate.countDown();
        assertEquals("changes 42", heard.take());
        move(service(calls, list(7, true)).address());
        assertEquals("whole 7", heard.take());
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch() {
        transport.loop().execute(client::watch);
    }

    @Override
    public void listed(NodeList list) {
        heard.add((list.whole() ? "whole " : "changes ") + list.version());
    }

    @Override
    public void listFailed() {
        heard.add("failed");
    }

    @Override
    public void listLate() {
        heard.add("late");
    }

    @AfterEach
    void close() {
        transport.close();
        apart.close();
    }

    private static String list(int version, boolean whole) {
        return "{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[]}";
    }

    @Test
    void eachAnswerIsFollowedByTheNextCallWithItsVersion() throws Exception {
        start(list(42, false), list(45, true));
        assertEquals("changes 42", heard.take());
        assertEquals("whole 45", heard.take());
        for (int version : new int[] {41, 42, 45}) {
            String call = calls.take();
            assertTrue(call.startsWith("GET /v1/endpoints?after=" + version + "&wait_ms="), call);
        }
    }

    @Test
    void theWatchGoesOnWhereTheServiceClosesTheConnection() throws Exception {
        start("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 35\r\n\r\n" + list(42, false), list(43, false));
        assertEquals("changes 42", heard.take());
        assertEquals("changes 43", heard.take());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSilentWatchIsToldOfAndItsAnswerStaysWelcome(boolean askedAnew) throws Exception {
        var gate = new CountDownLatch(1);
        var old = new StandInDiscovery(askedAnew ? transport : apart, transport.spare(0), call -> {
            calls.add(call);
            if (!askedAnew) {
                await(gate);
            }
            return askedAnew && calls.size() == 1 ? null : list(42, false);
        });
        client = new Discovery(transport, old.address(), 41, 0.05, new Random(1), this);
        watch();
        assertEquals("late", heard.take());
        if (askedAnew) {
            watch();
        }
        gate.countDown();
        assertEquals("changes 42", heard.take());
        assertEquals(
                askedAnew ? 2 : 1,
                calls.stream()
                        .filter(call -> call.contains("after=41&wait_ms=50 "))
                        .count());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTPS\r\n", "[]", "{\"rev\":42}"})
    void aFailedCallIsMadeAgainOnlyWhenAskedAndFromTheOldVersion(String answer) throws Exception {
        start(answer, list(43, true));
        assertEquals("failed", heard.take());
        watch();
        assertEquals("whole 43", heard.take());
        calls.take();
        assertTrue(calls.take().contains("after=41"));
    }

    /** A call that came, and what takes its answer. */
    private record Held(String call, Predicate<String> answer) {
        boolean waits() {
            return !call.contains("wait_ms=0");
        }
    }

    /** A watch that was answered once, at a service that answers when the test says so. */
    private LinkedBlockingQueue<Held> startHeld() throws Exception {
        var held = new LinkedBlockingQueue<Held>();
        var service =
                new StandInDiscovery(transport, transport.spare(0), (call, answer) -> held.add(new Held(call, answer)));
        client = new Discovery(transport, service.address(), 41, WAIT, new Random(1), this);
        watch();
        answer(held.take(), list(42, false));
        assertEquals("changes 42", heard.take());
        return held;
    }

    private void answer(Held held, String body) throws Exception {
        transport.loop().submit(() -> held.answer().test(body)).get();
    }

    @Test
    void aCheckFindsOutWhatASilentWatchMissedAndBecomesTheWatch() throws Exception {
        LinkedBlockingQueue<Held> held = startHeld();
        assertTrue(held.take().waits());
        Held check = held.take();
        assertTrue(check.call().contains("after=42&wait_ms=0 "));
        answer(check, list(43, false));
        assertEquals("changes 43", heard.take());
        assertTrue(held.take().call().contains("after=43&wait_ms=10000 "));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTPS\r\n",
                "{\"rev\":42,\"all\":false,\"targets\":[]}"
            })
    void aCheckThatFailsOrTellsNothingNewLeavesTheWatchAlone(String answer) throws Exception {
        LinkedBlockingQueue<Held> held = startHeld();
        Held watch = held.take();
        answer(held.take(), answer);
        Held next = held.take();
        assertTrue(next.call().contains("after=42&wait_ms=0 "), next.call());
        answer(watch, list(43, false));
        assertEquals("changes 43", heard.take());
    }

    /** The check asked before the watch told; what it answers then is older, and must not undo what is newer. */
    @Test
    void aCheckThatAWatchOvertookUndoesNothing() throws Exception {
        LinkedBlockingQueue<Held> held = startHeld();
        Held watch = held.take();
        Held check = held.take();
        answer(watch, list(44, false));
        assertEquals("changes 44", heard.take());
        Held next = held.take();
        assertTrue(next.call().contains("after=44&wait_ms=10000 "), next.call());
        answer(check, list(43, false));
        answer(next, list(45, false));
        assertEquals("changes 45", heard.take());
    }

    /** Its connection is gone, and it is asked for later; a check that is answered meanwhile opens it at once. */
    @Test
    void aCheckTakesThePlaceOfAWatchThatBroke() throws Exception {
        LinkedBlockingQueue<Held> held = startHeld();
        answer(held.take(), "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("failed", heard.take());
        answer(held.take(), list(42, false));
        assertEquals("changes 42", heard.take());
        assertTrue(held.take().waits());
    }
}
