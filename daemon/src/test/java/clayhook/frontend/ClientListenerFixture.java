package clayhook.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import clayhook.metrics.EventCounters;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.EventLoopStall;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A client listener on loopback with an event loop of its own. A test takes the place of the router: it reads the
 * requests from queues, answers them, and sets the clock.
 */
final class ClientListenerFixture implements ClientSession.RequestHandler, AutoCloseable {
    /** Descriptors that {@link DescriptorBudget} keeps for other purposes. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final long MEMORY_BYTES = 1 << 28;
    private static final int TIMEOUT_SECONDS = 20;
    private static final int LONG_VALUE_BYTES = 1000;

    final Transport transport = Transport.tcp();
    /** The sessions whose requests, cancel requests and disconnects came, in order. */
    final BlockingQueue<ClientSession> receivedRequests = new LinkedBlockingQueue<>();

    final BlockingQueue<ClientSession> cancelRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<ClientSession> goneClients = new LinkedBlockingQueue<>();
    /** Clock time in seconds. */
    volatile double now = 1000;

    private final EventCounters counters = new EventCounters();
    private ClientListener listener;

    /** Listens for at most so many clients at a time. */
    void start(int maxClients) throws InterruptedException {
        start(maxClients, MEMORY_BYTES);
    }

    /** The same with so much memory for the process. */
    void start(int maxClients, long memoryBytes) throws InterruptedException {
        var descriptors = new DescriptorBudget(RESERVED_DESCRIPTORS + 2 * maxClients);
        listener = new ClientListener(
                transport, transport.ephemeralAddress(0), descriptors, memoryBytes, null, () -> now, this, counters);
    }

    ClientListener listener() {
        return listener;
    }

    @Override
    public void onKeyValueStatement(ClientSession session, KeyValueStatement statement) {
        receivedRequests.add(session);
    }

    @Override
    public void onSqlStatement(ClientSession session, byte[] text) {
        throw new IllegalStateException("only the two fixed forms are accepted");
    }

    @Override
    public void onClientGone(ClientSession session) {
        goneClients.add(session);
    }

    @Override
    public void onCancelRequest(ClientSession session) {
        cancelRequests.add(session);
    }

    /** A read request; the listener does not look at what it is for. */
    static ByteBuf request() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    /** A write request of more than a KiB, for which memory has to be left. */
    static ByteBuf longRequest() {
        String value = "9f".repeat(LONG_VALUE_BYTES);
        String text = "INSERT INTO state (uid, val) VALUES ('k', '\\x" + value + "') RETURNING val"
                + " /* id=1,c=a,d=5000,k=7,cluster=1 */";
        return MessageEncoder.query(text.getBytes(StandardCharsets.UTF_8));
    }

    /** That many read requests, one after the other. */
    static ByteBuf requests(int count) {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < count; i++) {
            all.writeBytes(request());
        }
        return all;
    }

    /** A client that is connected and has sent nothing. */
    SocketClient connect() throws Exception {
        return new SocketClient(listener.address());
    }

    /** A client that has had its first request answered. */
    SocketClient connectWithFirstResponse() throws Exception {
        SocketClient client = connect().sendStartup(request());
        respondToNextRequest();
        assertEquals("ready", client.readResponse());
        assertEquals("40003", client.readResponse());
        return client;
    }

    /** The oldest of a queue; fails if none comes. */
    static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next);
        return next;
    }

    /** Answers the oldest request with 40003. */
    void respondToNextRequest() throws Exception {
        runOnLoop(take(receivedRequests)::respondInDoubt);
    }

    /** Moves the clock of the sessions on. */
    synchronized void advanceClock(double seconds) {
        now += seconds;
    }

    void closeIdleSessionsAfter(double seconds) throws Exception {
        advanceClock(seconds);
        runOnLoop(() -> listener.closeIdleSessions(now));
    }

    void awaitSessionCount(int count) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (sessionCount() != count && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertEquals(count, sessionCount());
    }

    int sessionCount() throws Exception {
        return onLoop(listener::sessionCount);
    }

    /** Everything that was read on connections that have ended was answered. */
    void assertNothingReadIsUnanswered() throws Exception {
        String summary = onLoop(counters::takeSummary);
        assertFalse(summary.contains("unanswered input"), summary);
    }

    <T> T onLoop(Callable<T> step) throws Exception {
        return transport.eventLoop().submit(step).get();
    }

    void runOnLoop(Runnable step) throws Exception {
        transport.eventLoop().submit(step).get();
    }

    /**
     * Runs a step of a client while the event loop stalls, and then one of the router before the loop reads anything.
     */
    void duringLoopStall(Callable<?> clientStep, Runnable routerStep) throws Exception {
        EventLoopStall.during(transport.eventLoop(), clientStep, routerStep);
    }

    @Override
    public void close() {
        transport.close();
    }
}
