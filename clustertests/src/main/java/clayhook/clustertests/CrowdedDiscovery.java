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
 * A discovery service that handles the calls of all routers in turn and rejects those that would wait too long. Each
 * router has an address of its own, so that the audit knows whom an answer went to. All methods are thread-safe.
 */
public final class CrowdedDiscovery implements AutoCloseable {
    /** What becomes of calls. */
    public enum Mode {
        /** They are handled in turn. */
        NORMAL,
        /** Other callers fill the queue: each call is rejected, at once or after it has waited. */
        CROWDED,
        /** As NORMAL, but each answer is late by a second. */
        SLOW,
        /** All calls are rejected at once, and those that were open as well; no change can be heard of. */
        DOWN,
        /** Calls get no answer and stay open. */
        SILENT
    }

    /** A call that would wait longer in the queue is rejected. */
    private static final double QUEUE_LIMIT_SECONDS = 2;

    private static final double SLOW_SECONDS = 1;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String REJECTION =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    private static final class Call {
        final String router;
        final long after;
        final double waitSeconds;
        final Predicate<String> answer;
        boolean answered;

        Call(String router, String requestLine, Predicate<String> answer) {
            this.router = router;
            this.answer = answer;
            Matcher matcher = AFTER.matcher(requestLine);
            boolean hasVersion = matcher.find();
            after = hasVersion ? Long.parseLong(matcher.group(1)) : -1;
            waitSeconds = hasVersion ? Double.parseDouble(matcher.group(2)) / MILLIS_PER_SECOND : 0;
        }
    }

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        var thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final TestReplicaSet cluster;
    private final EndpointNotifications notifications;
    private final Consumer<TestReplicaSet> changeListener;
    private final double secondsPerCall;
    /** Two for each router, of which one is in use at a time; the other answers as well. */
    private final List<List<StubDiscovery>> addresses = new ArrayList<>();

    private final List<Integer> inUse = new ArrayList<>();
    /** Calls that wait for a change; emptied by each change and at the end of their waits. */
    private final List<Call> parked = new ArrayList<>();

    private Mode mode = Mode.NORMAL;
    private double busyUntil;
    private int rejections;
    private int answers;

    /**
     * Listens at one address for each router.
     *
     * @param notifications records what is written to each router
     * @param changeListener hears of each new version of the list
     * @param secondsPerCall how long the service works on a call
     */
    CrowdedDiscovery(
            Transport transport,
            TestReplicaSet cluster,
            EndpointNotifications notifications,
            Consumer<TestReplicaSet> changeListener,
            List<String> routers,
            double secondsPerCall)
            throws InterruptedException {
        this.cluster = cluster;
        this.notifications = notifications;
        this.changeListener = changeListener;
        this.secondsPerCall = secondsPerCall;
        for (String router : routers) {
            addresses.add(List.of(listen(transport, router), listen(transport, router)));
            inUse.add(0);
        }
        cluster.watch(this::onChange);
    }

    private StubDiscovery listen(Transport transport, String router) throws InterruptedException {
        return new StubDiscovery(
                transport, transport.ephemeralAddress(0), (line, answer) -> onCall(new Call(router, line, answer)));
    }

    synchronized InetSocketAddress address(int router) {
        return addresses.get(router).get(inUse.get(router)).address();
    }

    /** From now on the other address of a router is the one to configure. */
    synchronized void move(int router) {
        inUse.set(router, 1 - inUse.get(router));
    }

    /** How many calls were rejected so far. */
    public synchronized int rejections() {
        return rejections;
    }

    /** How many calls were answered with a list so far. */
    public synchronized int answers() {
        return answers;
    }

    /** Changes what becomes of calls from now on. */
    public synchronized void mode(Mode next) {
        mode = next;
        notifications.onReachable(next != Mode.DOWN);
        if (next == Mode.DOWN) {
            parked.forEach(call -> reject(call, 0));
        }
        if (next == Mode.DOWN || next == Mode.SILENT) {
            parked.clear();
        }
    }

    private synchronized void onCall(Call call) {
        double now = HistoryRecorder.now();
        if (mode == Mode.CROWDED) {
            reject(call, rejections % 2 == 0 ? QUEUE_LIMIT_SECONDS : 0);
        } else if (mode == Mode.DOWN) {
            reject(call, 0);
        } else if (mode == Mode.NORMAL || mode == Mode.SLOW) {
            enqueue(call, now);
        } // else nobody answers
    }

    private void enqueue(Call call, double now) {
        double done = Math.max(now, busyUntil) + secondsPerCall;
        if (done > now + QUEUE_LIMIT_SECONDS) {
            reject(call, QUEUE_LIMIT_SECONDS);
            return;
        }
        busyUntil = done;
        schedule(done - now + (mode == Mode.SLOW ? SLOW_SECONDS : 0), () -> handle(call));
    }

    @SuppressWarnings("ReturnValueIgnored") // a rejection to a client that has gone is of no interest
    private void reject(Call call, double afterSeconds) {
        rejections++;
        schedule(afterSeconds, () -> call.answer.test(REJECTION));
    }

    private synchronized void handle(Call call) {
        if (call.answered || mode == Mode.DOWN || mode == Mode.SILENT) {
            return;
        } else if (call.after < cluster.version() || call.waitSeconds == 0) {
            write(call);
            return;
        }
        parked.add(call);
        schedule(call.waitSeconds, () -> onWaitOver(call));
    }

    private synchronized void onWaitOver(Call call) {
        if (parked.remove(call)) {
            write(call);
        }
    }

    private void write(Call call) {
        call.answered = true;
        answers++;
        int version = cluster.version();
        // Told from before the write on, as the router may act on it before this thread goes on.
        if (call.answer.test(cluster.list())) {
            notifications.onWritten(call.router, version);
        }
    }

    private synchronized void onChange() {
        changeListener.accept(cluster);
        double now = HistoryRecorder.now();
        List<Call> all = List.copyOf(parked);
        parked.clear();
        for (Call call : all) {
            busyUntil = Math.max(now, busyUntil) + secondsPerCall;
            schedule(busyUntil - now, () -> handle(call));
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a call whose task fails gets no answer, which its router reports
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
