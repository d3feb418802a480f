package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.transport.Transport;
import clayhook.warmup.StubDiscovery;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointWatcherTest implements EndpointWatcher.Listener {
    private static final long TIMEOUT_SECONDS = 10;

    /** Longer than any test runs, except the tests of late watches, which use a shorter wait. */
    private static final double LONG_POLL_SECONDS = 10;

    private static final int REJECTIONS = 3;
    /** How long an overloaded service queues a call before it rejects it. */
    private static final double QUEUE_SECONDS = 2;

    private static final double NOTIFIED_AFTER_SECONDS = 6;
    private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+) ");

    private final Transport transport = Transport.tcp();
    /** The transport of a service whose event loop a test blocks. */
    private final Transport blockedTransport = Transport.tcp();

    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<WatchEvent> watchEvents = new LinkedBlockingQueue<>();
    private EndpointWatcher watcher;

    private void startWatching(String... answers) throws InterruptedException {
        watcher = new EndpointWatcher(
                transport, startService(calls, answers).address(), 41, false, LONG_POLL_SECONDS, new Random(1), this);
        ensureWatching();
    }

    private StubDiscovery startService(LinkedBlockingQueue<String> calls, String... answers)
            throws InterruptedException {
        var remaining = new LinkedBlockingQueue<>(List.of(answers));
        return new StubDiscovery(transport, transport.ephemeralAddress(0), call -> {
            calls.add(call);
            return remaining.poll();
        });
    }

    private void moveTo(InetSocketAddress address) throws Exception {
        transport.eventLoop().submit(() -> watcher.moveTo(address)).get();
    }

    @Test
    void moveRequestsTheCompleteListAndIgnoresTheOldAddress() throws Exception {
        startWatching(list(42, false));
        assertEquals("changes 42", events.take());
        var newCalls = new LinkedBlockingQueue<String>();
        moveTo(startService(newCalls, list(7, true), list(8, false)).address());
        assertEquals("complete 7", events.take());
        assertEquals("changes 8", events.take());
        assertEquals("GET /v1/endpoints HTTP/1.1", newCalls.take());
        assertTrue(newCalls.take().contains("after=7&"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void oldAddressIsWatchedUntilTheNewOneAnswers(int moves) throws Exception {
        var gate = new CountDownLatch(1);
        var oldCalls = new LinkedBlockingQueue<String>();
        var old = new StubDiscovery(blockedTransport, transport.ephemeralAddress(0), call -> {
            oldCalls.add(call);
            if (oldCalls.size() == 2) {
                await(gate);
            }
            return oldCalls.size() > 2 ? null : list(40 + oldCalls.size(), false);
        });
        watcher = new EndpointWatcher(transport, old.address(), 40, false, LONG_POLL_SECONDS, new Random(1), this);
        ensureWatching();
        assertEquals("changes 41", events.take());
        for (int i = 0; i < moves; i++) {
            StubDiscovery unreachable = startService(calls);
            unreachable.close();
            moveTo(unreachable.address());
            assertEquals("failed", events.take());
        }
        gate.countDown();
        assertEquals("changes 42", events.take());
        moveTo(startService(calls, list(7, true)).address());
        assertEquals("complete 7", events.take());
    }

    /** A slow service may have created the answer to a watch up to the duration of one call before it arrives. */
    @Test
    @SuppressWarnings("FutureReturnValueIgnored") // an answer that fails makes the wait for its event fail
    void watchAnswerIsAtLeastAsOldAsACallTakes() throws Exception {
        double callSeconds = 0.5;
        double watchSeconds = 3.5; // the first check is sent after 2 to 2.4 s
        var service = new StubDiscovery(transport, transport.ephemeralAddress(0), (line, answer) -> {
            boolean waits = !line.contains("wait_ms=0");
            int version = waits ? 42 : 41;
            long millis = (long) ((waits ? watchSeconds : callSeconds) * 1000);
            transport.eventLoop().schedule(() -> answer.test(list(version, false)), millis, TimeUnit.MILLISECONDS);
        });
        watcher = new EndpointWatcher(transport, service.address(), 41, false, LONG_POLL_SECONDS, new Random(1), this);
        ensureWatching();
        assertEquals("changes 42", events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        var check = (WatchEvent.Confirmed) watchEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        var watch = (WatchEvent.Confirmed) watchEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(WatchEvent.PollKind.CHECK, check.kind());
        assertEquals(WatchEvent.PollKind.WATCH, watch.kind());
        assertTrue(check.secondsAgo() >= callSeconds, check::toString);
        assertTrue(watch.secondsAgo() >= callSeconds && watch.secondsAgo() < watchSeconds, watch::toString);
    }

    /**
     * Guards against a pushed list that is relied on, or of no use, until its next change or the end of a long poll.
     */
    @Test
    void watchOfPushedListBeginsWithPollThatIsAnsweredAtOnce() throws Exception {
        watcher = new EndpointWatcher(
                transport,
                startService(calls, list(41, false), "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", list(41, false))
                        .address(),
                41,
                true,
                LONG_POLL_SECONDS,
                new Random(1),
                this);
        ensureWatching();
        assertTrue(calls.take().contains("after=41&wait_ms=0 "));
        assertFalse(calls.take().contains("wait_ms=0 "));
        assertEquals("changes 41", events.take());
        assertEquals("failed", events.take());
        ensureWatching();
        assertTrue(calls.take().contains("after=41&wait_ms=0 "));
        assertFalse(calls.take().contains("wait_ms=0 "));
    }

    @Test
    void refusedConnectionReportsSecondsSinceConnectStart() throws Exception {
        StubDiscovery closed = startService(calls);
        closed.close();
        watcher = new EndpointWatcher(transport, closed.address(), 41, false, LONG_POLL_SECONDS, new Random(1), this);
        ensureWatching();
        var event = (WatchEvent.Unreachable) watchEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(event.begunSecondsAgo() > 0 && event.begunSecondsAgo() < TIMEOUT_SECONDS, event::toString);
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ensureWatching() {
        transport.eventLoop().execute(watcher::ensureWatching);
    }

    @Override
    public void onEndpointList(EndpointList list) {
        events.add((list.complete() ? "complete " : "changes ") + list.version());
    }

    @Override
    public void onEndpointListFailed() {
        events.add("failed");
    }

    @Override
    public void onWatchEvent(WatchEvent event) {
        watchEvents.add(event);
    }

    @Override
    public void onEndpointListLate() {
        events.add("late");
    }

    @AfterEach
    void close() {
        transport.close();
        blockedTransport.close();
    }

    private static String list(int version, boolean complete) {
        return "{\"rev\":" + version + ",\"all\":" + complete + ",\"targets\":[]}";
    }

    @Test
    void eachAnswerIsFollowedByAPollAfterItsVersion() throws Exception {
        startWatching(list(42, false), list(45, true));
        assertEquals("changes 42", events.take());
        assertEquals("complete 45", events.take());
        for (int version : new int[] {41, 42, 45}) {
            String call = calls.take();
            assertTrue(call.startsWith("GET /v1/endpoints?after=" + version + "&wait_ms="), call);
        }
    }

    @Test
    void watchContinuesAfterTheServiceClosesTheConnection() throws Exception {
        startWatching(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 35\r\n\r\n" + list(42, false),
                list(43, false));
        assertEquals("changes 42", events.take());
        assertEquals("changes 43", events.take());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateWatchIsReportedAndItsAnswerIsStillAccepted(boolean reopened) throws Exception {
        var gate = new CountDownLatch(1);
        var old = new StubDiscovery(reopened ? transport : blockedTransport, transport.ephemeralAddress(0), call -> {
            calls.add(call);
            if (!reopened) {
                await(gate);
            }
            return reopened && calls.size() == 1 ? null : list(42, false);
        });
        watcher = new EndpointWatcher(transport, old.address(), 41, false, 0.05, new Random(1), this);
        ensureWatching();
        assertEquals("late", events.take());
        if (reopened) {
            ensureWatching();
        }
        gate.countDown();
        assertEquals("changes 42", events.take());
        assertEquals(
                reopened ? 2 : 1,
                calls.stream()
                        .filter(call -> call.contains("after=41&wait_ms=50 "))
                        .count());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTPS\r\n", "[]", "{\"rev\":42}"})
    void failedPollIsRetriedOnRequestWithTheOldVersion(String answer) throws Exception {
        startWatching(answer, list(43, true));
        assertEquals("failed", events.take());
        ensureWatching();
        assertEquals("complete 43", events.take());
        calls.take();
        assertTrue(calls.take().contains("after=41"));
    }

    /**
     * A call that the service has not answered yet.
     *
     * @param answer sends an answer to the call
     */
    private record PendingCall(String call, Predicate<String> answer) {
        boolean isWatch() {
            return !call.contains("wait_ms=0");
        }
    }

    /** Starts a watch whose first poll is answered, at a service that answers all later calls only through the test. */
    private LinkedBlockingQueue<PendingCall> startWithPendingCalls() throws Exception {
        return startWithPendingCalls(LONG_POLL_SECONDS);
    }

    private LinkedBlockingQueue<PendingCall> startWithPendingCalls(double longPollSeconds) throws Exception {
        var pendingCalls = new LinkedBlockingQueue<PendingCall>();
        var service = new StubDiscovery(
                transport,
                transport.ephemeralAddress(0),
                (call, answer) -> pendingCalls.add(new PendingCall(call, answer)));
        watcher = new EndpointWatcher(transport, service.address(), 41, false, longPollSeconds, new Random(1), this);
        ensureWatching();
        answer(pendingCalls.take(), list(42, false));
        assertEquals("changes 42", events.take());
        return pendingCalls;
    }

    private void answer(PendingCall pendingCall, String body) throws Exception {
        transport.eventLoop().submit(() -> pendingCall.answer().test(body)).get();
    }

    @Test
    void checkWithANewerListReplacesTheUnansweredWatch() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        assertTrue(pendingCalls.take().isWatch());
        PendingCall check = pendingCalls.take();
        assertTrue(check.call().contains("after=42&wait_ms=0 "));
        answer(check, list(43, false));
        assertEquals("changes 43", events.take());
        assertTrue(pendingCalls.take().call().contains("after=43&wait_ms=10000 "));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTPS\r\n",
                "{\"rev\":42,\"all\":false,\"targets\":[]}"
            })
    void failedOrUnchangedCheckKeepsTheWatch(String answer) throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        PendingCall watch = pendingCalls.take();
        answer(pendingCalls.take(), answer);
        PendingCall next = pendingCalls.take();
        assertTrue(next.call().contains("after=42&wait_ms=0 "), next.call());
        answer(watch, list(43, false));
        assertEquals("changes 43", events.take());
    }

    /** The check was sent before the watch was answered, so its answer is older and must not revert newer changes. */
    @Test
    void olderCheckAnswerDoesNotRevertANewerWatchAnswer() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        PendingCall watch = pendingCalls.take();
        PendingCall check = pendingCalls.take();
        answer(watch, list(44, false));
        assertEquals("changes 44", events.take());
        PendingCall next = pendingCalls.take();
        assertTrue(next.call().contains("after=44&wait_ms=10000 "), next.call());
        answer(check, list(43, false));
        answer(next, list(45, false));
        assertEquals("changes 45", events.take());
    }

    /** Guards against a drain that is undone by an older complete list, which arrives after the watch has failed. */
    @Test
    void olderCompleteListDoesNotRevertANewerWatchAnswerOnceTheWatchHasFailed() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        PendingCall watch = pendingCalls.take();
        PendingCall check = pendingCalls.take();
        answer(watch, list(44, false));
        assertEquals("changes 44", events.take());
        answer(pendingCalls.take(), "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("failed", events.take());
        answer(check, list(43, true));
        assertEquals("changes 44", events.take());
        assertTrue(pendingCalls.take().call().contains("after=44&"));
    }

    /** Guards against a router that keeps its list for good after the service has lost its state. */
    @Test
    void completeListOfAServiceThatBeganAnewIsAppliedIfItWasPolledAfterTheLastList() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        answer(pendingCalls.take(), "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("failed", events.take());
        answer(pendingCalls.take(), list(3, true));
        assertEquals("complete 3", events.take());
    }

    /** A failed watch is otherwise reopened only on request; a check answered before that reopens it at once. */
    @Test
    void answeredCheckReplacesAFailedWatch() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        answer(pendingCalls.take(), "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("failed", events.take());
        answer(pendingCalls.take(), list(42, false));
        assertEquals("changes 42", events.take());
        assertTrue(pendingCalls.take().isWatch());
    }

    /** Otherwise a router that already has the newest version gets no confirmation of it until the wait has elapsed. */
    @Test
    void watchAfterAnOutageWaitsLessThanTheNotificationTime() throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls();
        PendingCall watch = pendingCalls.take();
        for (int i = 0; i < REJECTIONS; i++) {
            answer(watch, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            assertEquals("failed", events.take());
            ensureWatching();
            watch = pendingCalls.take();
            assertTrue(watch.isWatch(), watch.call());
        }
        assertTrue(waitSeconds(watch) + QUEUE_SECONDS < NOTIFIED_AFTER_SECONDS, watch.call());
        answer(watch, list(42, false));
        assertEquals("changes 42", events.take());
        assertEquals(LONG_POLL_SECONDS, waitSeconds(pendingCalls.take()));
    }

    private static double waitSeconds(PendingCall watch) {
        Matcher matcher = WAIT.matcher(watch.call());
        assertTrue(matcher.find(), watch.call());
        return Double.parseDouble(matcher.group(1)) / 1000;
    }

    /** As with a watch that is not late, the rejection invalidates what checks confirmed since the poll was sent. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void rejectedWatchIsReportedEvenIfItIsLateAndAnotherIsOpen(boolean late) throws Exception {
        LinkedBlockingQueue<PendingCall> pendingCalls = startWithPendingCalls(late ? 0.05 : LONG_POLL_SECONDS);
        PendingCall watch = pendingCalls.take();
        if (late) {
            assertEquals("late", events.take());
            ensureWatching();
            assertTrue(pendingCalls.take().isWatch());
        }
        watchEvents.clear();
        answer(watch, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        var rejected = (WatchEvent.Rejected) watchEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(rejected);
        assertTrue(rejected.polledSecondsAgo() >= (late ? 0.5 : 0), rejected::toString);
    }
}
