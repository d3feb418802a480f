package clayhook.clustertests;

import clayhook.transport.Transport;
import clayhook.warmup.StubDiscovery;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery service with one queue for the calls of all routers, which rejects calls that would wait too long. Each
 * router has its own address, so that the audits know to which router an answer was written. Thread-safe.
 */
public final class QueueingDiscovery implements AutoCloseable {
    /** How calls are handled. */
    public enum Mode {
        /** Calls are handled one after the other. */
        NORMAL,
        /** Other callers fill the queue: every call is rejected, alternately at once and after the longest wait. */
        CROWDED,
        /** As {@link #NORMAL}, but each answer is delayed by one second. */
        SLOW,
        /** All calls are rejected at once, also open watches; routers cannot be notified of changes. */
        DOWN,
        /** Calls get no answer and remain open. */
        SILENT
    }

    /** Longest wait in the queue, in seconds; a call that would wait longer is rejected. */
    private static final double MAX_QUEUE_SECONDS = 2;

    private static final double SLOW_DELAY_SECONDS = 1;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String REJECTION =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private static final Pattern POLL_PARAMETERS = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    private static final class Call {
        final String router;
        final long knownVersion;
        final double waitSeconds;
        final Predicate<String> answer;
        boolean answered;

        Call(String router, String requestLine, Predicate<String> answer) {
            this.router = router;
            this.answer = answer;
            Matcher matcher = POLL_PARAMETERS.matcher(requestLine);
            boolean hasVersion = matcher.find();
            knownVersion = hasVersion ? Long.parseLong(matcher.group(1)) : -1;
            waitSeconds = hasVersion ? Double.parseDouble(matcher.group(2)) / MILLIS_PER_SECOND : 0;
        }
    }

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        var thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final TestReplicaSet replicaSet;
    private final EndpointNotifications notifications;
    private final Consumer<TestReplicaSet> changeListener;
    private final double secondsPerCall;
    /** Two addresses for each router. One is in use at a time; the service answers at both. */
    private final List<List<StubDiscovery>> addresses = new ArrayList<>();

    /** Index of the address in use, for each router. */
    private final List<Integer> activeAddresses = new ArrayList<>();
    /** Open watches. Each change of the endpoint list removes all; a watch is also removed when its wait ends. */
    private final List<Call> waitingCalls = new ArrayList<>();

    private Mode mode = Mode.NORMAL;
    /** Time at which the service has processed all queued calls, in seconds. */
    private double busyUntil;

    private int rejections;
    private int answers;

    /**
     * Starts to listen at two addresses for each router.
     *
     * @param notifications records which versions of the list are written to each router
     * @param changeListener receives each new version of the list, on the thread that makes it
     * @param secondsPerCall processing time of one call, in seconds
     */
    QueueingDiscovery(
            Transport transport,
            TestReplicaSet replicaSet,
            EndpointNotifications notifications,
            Consumer<TestReplicaSet> changeListener,
            List<String> routers,
            double secondsPerCall)
            throws InterruptedException {
        this.replicaSet = replicaSet;
        this.notifications = notifications;
        this.changeListener = changeListener;
        this.secondsPerCall = secondsPerCall;
        for (String router : routers) {
            addresses.add(List.of(listen(transport, router), listen(transport, router)));
            activeAddresses.add(0);
        }
        replicaSet.setListChangeListener(this::onChange);
    }

    private StubDiscovery listen(Transport transport, String router) throws InterruptedException {
        return new StubDiscovery(
                transport, transport.ephemeralAddress(0), (line, answer) -> onCall(new Call(router, line, answer)));
    }

    synchronized InetSocketAddress address(int router) {
        return addresses.get(router).get(activeAddresses.get(router)).address();
    }

    /** Switches to the other address of a router, which {@link #address} returns from now on. */
    synchronized void switchAddress(int router) {
        activeAddresses.set(router, 1 - activeAddresses.get(router));
    }

    /** Number of calls rejected so far. */
    public synchronized int rejections() {
        return rejections;
    }

    /** Number of calls answered with an endpoint list so far. */
    public synchronized int answers() {
        return answers;
    }

    /**
     * Sets how calls are handled from now on. {@link Mode#DOWN} also rejects the open watches, and {@link Mode#SILENT}
     * leaves them without an answer.
     */
    public synchronized void setMode(Mode next) {
        mode = next;
        notifications.onReachable(next != Mode.DOWN);
        if (next == Mode.DOWN) {
            waitingCalls.forEach(call -> reject(call, 0));
        }
        if (next == Mode.DOWN || next == Mode.SILENT) {
            waitingCalls.clear();
        }
    }

    private synchronized void onCall(Call call) {
        double now = HistoryRecorder.now();
        if (mode == Mode.CROWDED) {
            reject(call, rejections % 2 == 0 ? MAX_QUEUE_SECONDS : 0);
        } else if (mode == Mode.DOWN) {
            reject(call, 0);
        } else if (mode == Mode.NORMAL || mode == Mode.SLOW) {
            enqueue(call, now);
        } // in SILENT mode the call stays open without an answer
    }

    private void enqueue(Call call, double now) {
        double doneAt = Math.max(now, busyUntil) + secondsPerCall;
        if (doneAt > now + MAX_QUEUE_SECONDS) {
            reject(call, MAX_QUEUE_SECONDS);
            return;
        }
        busyUntil = doneAt;
        schedule(doneAt - now + (mode == Mode.SLOW ? SLOW_DELAY_SECONDS : 0), () -> handle(call));
    }

    @SuppressWarnings("ReturnValueIgnored") // the result is irrelevant: the router may have closed the connection
    private void reject(Call call, double afterSeconds) {
        rejections++;
        schedule(afterSeconds, () -> call.answer.test(REJECTION));
    }

    private synchronized void handle(Call call) {
        if (call.answered || mode == Mode.DOWN || mode == Mode.SILENT) {
            return;
        } else if (call.knownVersion < replicaSet.version() || call.waitSeconds == 0) {
            write(call);
            return;
        }
        waitingCalls.add(call);
        schedule(call.waitSeconds, () -> onWaitOver(call));
    }

    private synchronized void onWaitOver(Call call) {
        if (waitingCalls.remove(call)) {
            write(call);
        }
    }

    private void write(Call call) {
        call.answered = true;
        answers++;
        int version = replicaSet.version();
        // Read before the write, as the router may act on the list before this thread records the notification.
        if (call.answer.test(replicaSet.endpointListJson())) {
            notifications.onWritten(call.router, version);
        }
    }

    private synchronized void onChange() {
        changeListener.accept(replicaSet);
        double now = HistoryRecorder.now();
        List<Call> calls = List.copyOf(waitingCalls);
        waitingCalls.clear();
        for (Call call : calls) {
            busyUntil = Math.max(now, busyUntil) + secondsPerCall;
            schedule(busyUntil - now, () -> handle(call));
        }
    }

    @SuppressWarnings(
            "FutureReturnValueIgnored") // a call whose task fails gets no answer, which its router reports in its log
    private void schedule(double seconds, Runnable task) {
        timer.schedule(task, (long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        try {
            for (List<StubDiscovery> both : addresses) {
                both.get(0).close();
                both.get(1).close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
