package clayhook.clustertests;

import clayhook.protocol.MessageEncoder;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of a router that send hundreds of requests at once, the last one in part, and close the connection while most
 * are unanswered. Records the attempts that begin too long after that. Thread-safe.
 */
final class LeavingClients implements AutoCloseable {
    /** Seconds after the close of a client during which an attempt may still begin. */
    private static final double GRACE_SECONDS = 0.1;
    /** Seconds by which this machine may delay a node's read of an attempt. */
    private static final double MACHINE_SECONDS = 0.35;

    private static final int MIN_REQUESTS = 200;
    private static final int MAX_REQUESTS = 3000;
    private static final int MAX_STAY_MS = 60;
    private static final int MAX_PAUSE_MS = 200;
    private static final int READ_BUFFER_BYTES = 4096;
    private static final AtomicLong IDS = new AtomicLong();

    private final InetSocketAddress router;
    private final boolean readsAnswers;
    private final List<Thread> threads = new ArrayList<>();
    /** The number of the client's connection, by the id of each request. */
    private final Map<String, Integer> connections = new ConcurrentHashMap<>();
    /** The time at which the client closed each connection. */
    private final Map<Integer, Double> closedAt = new ConcurrentHashMap<>();

    private final AtomicInteger lastConnection = new AtomicInteger();
    private final AtomicInteger attempts = new AtomicInteger();
    private final List<String> lateAttempts = new ArrayList<>();
    private volatile boolean running = true;

    /**
     * Starts that number of clients, each of which connects again after it has left.
     *
     * @param readsAnswers whether the clients read answers until they leave; if not, their system resets the connection
     *     when they close it
     */
    LeavingClients(RouterFleet fleet, RouterProcess router, int clients, boolean readsAnswers, long seed) {
        this.router = router.address();
        this.readsAnswers = readsAnswers;
        fleet.addRequestListener(this::onAttempt);
        for (int i = 0; i < clients; i++) {
            var random = new Random(seed * 31 + i);
            var thread = new Thread(() -> run(random), "leaving client " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void run(Random random) {
        try {
            while (running) {
                sendAndLeave(random);
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAndLeave(Random random) throws InterruptedException {
        int connection = lastConnection.incrementAndGet();
        try (var socket = new Socket(router.getAddress(), router.getPort())) {
            ByteBuf all = requests(connection, MIN_REQUESTS + random.nextInt(MAX_REQUESTS - MIN_REQUESTS), random);
            all.readBytes(socket.getOutputStream(), all.readableBytes());
            stay(socket, random.nextInt(MAX_STAY_MS));
        } catch (IOException e) {
            // not accepted, or ended by the router
        }
        closedAt.put(connection, HistoryRecorder.now());
    }

    private ByteBuf requests(int connection, int count, Random random) {
        ByteBuf all = Unpooled.buffer().writeBytes(MessageEncoder.startupMessage("client", "core"));
        for (int i = 0; i < count; i++) {
            all.writeBytes(request(connection));
        }
        ByteBuf last = request(connection);
        return all.writeBytes(last, random.nextInt(last.readableBytes()));
    }

    private ByteBuf request(int connection) {
        String id = "leaving" + IDS.incrementAndGet();
        connections.put(id, connection);
        return StubClient.statement(false, id, "id=" + id + ",c=any,cluster=1,d=2000");
    }

    private void stay(Socket socket, int millis) throws IOException, InterruptedException {
        if (!readsAnswers) {
            Thread.sleep(millis);
            return;
        }
        var buffer = new byte[READ_BUFFER_BYTES];
        InputStream in = socket.getInputStream();
        long until = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < until && in.read(buffer) >= 0) {
            // reads until it leaves
        }
    }

    private void onAttempt(NodeRequest attempt) {
        Integer connection = connections.get(attempt.statement().requestId);
        if (connection == null) {
            return;
        }
        attempts.incrementAndGet();
        double late = attempt.at() - closedAt.getOrDefault(connection, attempt.at());
        if (late > GRACE_SECONDS + MACHINE_SECONDS) {
            synchronized (lateAttempts) {
                lateAttempts.add(String.format(
                        Locale.ROOT, "%s was sent %.2f s after its client left", attempt.statement().requestId, late));
            }
        }
    }

    /** The number of attempts for these clients so far. */
    int attempts() {
        return attempts.get();
    }

    /** Describes the attempts that began too long after their client had left. */
    List<String> lateAttempts() {
        synchronized (lateAttempts) {
            return List.copyOf(lateAttempts);
        }
    }

    /** Stops the clients. */
    @Override
    public void close() {
        running = false;
        ClientFlood.join(threads);
    }
}
