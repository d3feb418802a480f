package clayhook.clustertests;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one router during its shutdown. Each kind of client sends in a different state of its connection, and
 * none checks first whether the connection has ended. Thread-safe.
 */
final class ShutdownClients {
    /**
     * Seconds before its first request at which a client connects; routers close connections without a request a little
     * after two seconds.
     */
    private static final double FIRST_REQUEST_LEAD_SECONDS = 0.5;
    /** Seconds after the signal during which the platform may open new connections to the router. */
    private static final double NEW_CONNECTIONS_SECONDS = 0.4;
    /** Longest time in seconds after which a busy client notices that its connection has ended. */
    private static final double MAX_END_DETECTION_SECONDS = 0.1;
    /** Seconds after the signal from which on idle clients send. */
    private static final double FIRST_SEND_SECONDS = 0.2;

    private static final int MIN_PIPELINED = 2;
    private static final int MAX_PIPELINED = 40;
    private static final int MAX_PIPELINE_PAUSE_MS = 50;
    private static final int MAX_READ_PAUSE_MS = 300;
    private static final int MIN_THINK_MS = 20;
    private static final int MAX_THINK_MS = 100;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Kinds of clients, by their behavior while their router shuts down. */
    enum Kind {
        /** Detects the first end of a connection, for the clients that wait for it. */
        OBSERVER,
        /** Is idle after an answer, and sends one request at a random time during the shutdown. */
        RESTING,
        /** As {@link #RESTING}, but sends within 0.1 s after the router has begun to end connections. */
        RESTING_TO_THE_END,
        /** Has sent only its start-up message, and sends one request during the shutdown. */
        STARTED,
        /** Has connected and sent nothing, and sends its start-up message and a request during the shutdown. */
        CONNECTED,
        /** Sends requests one after the other without pauses. */
        BUSY,
        /** Sends requests one after the other with pauses. */
        THINKING,
        /** Sends many requests in one write. */
        PIPELINING,
        /** Sends a statement in two parts with a pause between them. */
        HALTING,
        /** Reads its answers after a pause. */
        READING_LATE,
        /** Disconnects while its request is pending. */
        LEAVING,
        /** Connects after the signal. */
        NEWCOMER,
        /** Sends a write that must not be executed twice, which routers never abandon early. */
        WRITING
    }

    private final AttemptAudit attempts;
    private final String router;
    private final InetSocketAddress address;
    private final double timeoutSeconds;
    /** Seconds from the signal to the earliest SIGKILL. */
    private final double killSeconds;

    private final CountDownLatch signalled = new CountDownLatch(1);
    private final CountDownLatch firstConnectionEnd = new CountDownLatch(1);
    private volatile double signalledAt;
    private final List<Thread> threads = new ArrayList<>();
    private final List<RequestRecord> records = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    ShutdownClients(
            AttemptAudit attempts,
            String router,
            InetSocketAddress address,
            double timeoutSeconds,
            double killSeconds) {
        this.attempts = attempts;
        this.router = router;
        this.address = address;
        this.timeoutSeconds = timeoutSeconds;
        this.killSeconds = killSeconds;
    }

    /** Starts one observer, and that number of clients of each other kind. */
    void start(int clientsOfEachKind, Random random) {
        start(Kind.OBSERVER, new Random(random.nextLong()));
        for (int i = 0; i < clientsOfEachKind; i++) {
            for (Kind kind : Kind.values()) {
                if (kind != Kind.OBSERVER) {
                    start(kind, new Random(random.nextLong()));
                }
            }
        }
    }

    private void start(Kind kind, Random random) {
        var thread = new Thread(() -> run(kind, random), kind + " at " + router);
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    /** Records that SIGTERM has been sent to the router. */
    void onSignalled(double at) {
        signalledAt = at;
        signalled.countDown();
    }

    private void run(Kind kind, Random random) {
        try {
            if (kind == Kind.NEWCOMER) {
                awaitSignal(random.nextDouble() * NEW_CONNECTIONS_SECONDS);
            }
            double sendAfter = sendAfter(kind, random);
            if (kind == Kind.STARTED || kind == Kind.CONNECTED) {
                awaitSignal(Math.max(0, sendAfter - FIRST_REQUEST_LEAD_SECONDS));
            }
            try (var client = new RecordingClient(attempts, router, address, kind.toString(), timeoutSeconds)) {
                try {
                    run(kind, client, sendAfter, random);
                } finally {
                    addRecords(client.records());
                }
            }
        } catch (IOException e) {
            // The connection was refused or reset before a request was sent; a real client uses another router.
            if (signalled.getCount() > 0) {
                addFailure(kind + " at " + router + ": " + e);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double sendAfter(Kind kind, Random random) {
        return switch (kind) {
            case RESTING, STARTED, CONNECTED, HALTING, LEAVING, WRITING ->
                FIRST_SEND_SECONDS + random.nextDouble() * (killSeconds - FIRST_SEND_SECONDS);
            case RESTING_TO_THE_END -> random.nextDouble() * MAX_END_DETECTION_SECONDS;
            default -> 0;
        };
    }

    private void run(Kind kind, RecordingClient client, double sendAfter, Random random)
            throws IOException, InterruptedException {
        if (kind != Kind.CONNECTED && kind != Kind.NEWCOMER) {
            client.startUp();
        }
        switch (kind) {
            case OBSERVER -> {
                client.exchange();
                signalled.await();
                client.awaitEnd(killSeconds + MAX_END_DETECTION_SECONDS);
                firstConnectionEnd.countDown();
            }
            case RESTING -> {
                client.exchange();
                awaitSignal(sendAfter);
                client.exchange();
            }
            case RESTING_TO_THE_END -> {
                client.exchange();
                firstConnectionEnd.await();
                sleep(sendAfter);
                client.exchange();
            }
            case STARTED -> {
                awaitSignal(sendAfter);
                client.exchange();
            }
            case CONNECTED -> {
                awaitSignal(sendAfter);
                client.startUpAndExchange();
            }
            case NEWCOMER -> client.startUpAndExchange();
            case WRITING -> {
                client.exchange();
                awaitSignal(sendAfter);
                client.exchangeWrite();
            }
            case HALTING -> {
                client.exchange();
                awaitSignal(sendAfter);
                client.sendInTwoParts(random.nextDouble() * MAX_END_DETECTION_SECONDS);
                client.awaitAnswers();
            }
            case READING_LATE -> {
                do {
                    client.sendIgnoringFailure(1 + random.nextInt(MIN_PIPELINED));
                    Thread.sleep(random.nextInt(MAX_READ_PAUSE_MS));
                } while (client.awaitAnswers());
            }
            case LEAVING -> {
                client.exchange();
                awaitSignal(sendAfter);
                client.sendAndDisconnect();
            }
            case BUSY -> repeat(client, 1, 0, 1, random);
            case THINKING -> repeat(client, 1, MIN_THINK_MS, MAX_THINK_MS, random);
            case PIPELINING -> {
                int count = MIN_PIPELINED + random.nextInt(MAX_PIPELINED - MIN_PIPELINED + 1);
                repeat(client, count, 0, MAX_PIPELINE_PAUSE_MS, random);
            }
        }
    }

    private static void repeat(RecordingClient client, int requests, int minPauseMs, int maxPauseMs, Random random)
            throws InterruptedException {
        do {
            Thread.sleep(minPauseMs + random.nextInt(maxPauseMs - minPauseMs + 1));
            client.sendIgnoringFailure(requests);
        } while (client.awaitAnswers());
    }

    private void awaitSignal(double seconds) throws InterruptedException {
        signalled.await();
        sleep(signalledAt + seconds - HistoryRecorder.now());
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (seconds * NANOS_PER_SECOND));
    }

    private synchronized void addRecords(List<RequestRecord> some) {
        records.addAll(some);
    }

    private synchronized void addFailure(String text) {
        failures.add(text);
    }

    /** Waits until all clients have finished; returns false if some have not within that number of seconds. */
    boolean awaitFinished(double seconds) throws InterruptedException {
        double until = HistoryRecorder.now() + seconds;
        for (Thread thread : threads) {
            thread.join(Math.max(1, (long) ((until - HistoryRecorder.now()) * MILLIS_PER_SECOND)));
        }
        return threads.stream().noneMatch(Thread::isAlive);
    }

    synchronized List<RequestRecord> records() {
        return List.copyOf(records);
    }

    /** Descriptions of clients that failed to connect before the signal. */
    synchronized List<String> failures() {
        return List.copyOf(failures);
    }
}
