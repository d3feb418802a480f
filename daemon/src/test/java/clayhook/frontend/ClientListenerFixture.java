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
 * A client listener on loopback with its own event loop. The test acts as the router: it takes the requests from
 * queues, answers them and sets the clock.
 */
final class ClientListenerFixture implements ClientSession.RequestHandler, AutoCloseable {
    /** The number of descriptors that {@link DescriptorBudget} reserves for other purposes. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final long MEMORY_BYTES = 1 << 28;
    private static final int TIMEOUT_SECONDS = 20;
    private static final int LONG_VALUE_BYTES = 1000;

    final Transport transport = Transport.tcp();
    /** The sessions whose requests were received, in order; a session appears once per request. */
    final BlockingQueue<ClientSession> receivedRequests = new LinkedBlockingQueue<>();

    /** The sessions for whose current request a cancel request was received, in order. */
    final BlockingQueue<ClientSession> cancelRequests = new LinkedBlockingQueue<>();
    /** The sessions that ended before their request was answered, in order. */
    final BlockingQueue<ClientSession> goneSessions = new LinkedBlockingQueue<>();
    /** The clock time of the listener, in seconds. */
    volatile double now = 1000;

    private final EventCounters counters = new EventCounters();
    private ClientListener listener;

    /** Starts the listener with descriptors for a maximum number of clients. */
    void start(int maxClients) throws InterruptedException {
        start(maxClients, MEMORY_BYTES);
    }

    /** Starts the listener with a maximum number of clients and a number of bytes that the process may use. */
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
        goneSessions.add(session);
    }

    @Override
    public void onCancelRequest(ClientSession session) {
        cancelRequests.add(session);
    }

    /** A read request; the listener ignores its contents. */
    static ByteBuf request() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    /** A write request of more than 1 KiB, which is accepted only if memory is available for it. */
    static ByteBuf longRequest() {
        String value = "9f".repeat(LONG_VALUE_BYTES);
        String text = "INSERT INTO state (uid, val) VALUES ('k', '\\x" + value + "') RETURNING val"
                + " /* id=1,c=a,d=5000,k=7,cluster=1 */";
        return MessageEncoder.query(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A number of consecutive read requests. */
    static ByteBuf requests(int count) {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < count; i++) {
            all.writeBytes(request());
        }
        return all;
    }

    /** Connects a client, which sends nothing. */
    SocketClient connect() throws Exception {
        return new SocketClient(listener.address());
    }

    /** Connects a client, and answers its first request. */
    SocketClient connectWithFirstResponse() throws Exception {
        SocketClient client = connect().sendStartup(request());
        respondToNextRequest();
        assertEquals("ready", client.readResponse());
        assertEquals("40003", client.readResponse());
        return client;
    }

    /** Takes the oldest element of a queue; fails if none is added within the time limit. */
    static <T> T takeNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next);
        return next;
    }

    /** Answers the oldest request with SQLSTATE 40003, in doubt. */
    void respondToNextRequest() throws Exception {
        runOnLoop(takeNext(receivedRequests)::respondInDoubt);
    }

    /** Advances the clock of the listener. */
    synchronized void advanceClock(double seconds) {
        now += seconds;
    }

    void closeIdleSessionsAfter(double seconds) throws Exception {
        advanceClock(seconds);
        runOnLoop(() -> listener.closeIdleSessions(now));
    }

    /** The bytes that all sessions have received and not decoded. */
    int inputBytes() throws Exception {
        return callOnLoop(listener::undecodedBytes);
    }

    void awaitSessionCount(int count) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (sessionCount() != count && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertEquals(count, sessionCount());
    }

    int sessionCount() throws Exception {
        return callOnLoop(listener::sessionCount);
    }

    /** Asserts that all input that was read on connections that have ended was answered. */
    void assertAllReadInputAnswered() throws Exception {
        String summary = callOnLoop(counters::takeSummary);
        assertFalse(summary.contains("unanswered input"), summary);
    }

    <T> T callOnLoop(Callable<T> step) throws Exception {
        return transport.eventLoop().submit(step).get();
    }

    void runOnLoop(Runnable step) throws Exception {
        transport.eventLoop().submit(step).get();
    }

    /**
     * Runs a client step while the event loop is stalled, and then a router step on the event loop before it reads any
     * input.
     */
    void duringLoopStall(Callable<?> clientStep, Runnable routerStep) throws Exception {
        EventLoopStall.during(transport.eventLoop(), clientStep, routerStep);
    }

    @Override
    public void close() {
        transport.close();
    }
}
