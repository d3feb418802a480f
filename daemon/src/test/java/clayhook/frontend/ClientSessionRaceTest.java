package clayhook.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import clayhook.metrics.EventCounters;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Where what a client does crosses what the router does with its session. */
class ClientSessionRaceTest implements ClientSession.RequestHandler {
    /** More than the system holds for a connection. */
    private static final int LONG_RESULT_BYTES = 16 << 20;

    private static final int TIMEOUT_SECONDS = 20;
    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<ClientSession> receivedRequests = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<ClientSession> goneClients = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<ClientSession> cancelRequests = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private ClientListener listener;

    @Override
    public void onSqlStatement(ClientSession session, byte[] text) {
        throw new IllegalStateException("only the two forms are taken");
    }

    @Override
    public void onKeyValueStatement(ClientSession session, KeyValueStatement statement) {
        receivedRequests.add(session);
    }

    @Override
    public void onClientGone(ClientSession session) {
        goneClients.add(session);
    }

    @Override
    public void onCancelRequest(ClientSession session) {
        cancelRequests.add(session);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private void start(int clients) throws InterruptedException {
        listener = new ClientListener(
                transport,
                transport.ephemeralAddress(0),
                new DescriptorBudget(48 + 2 * clients),
                1 << 28,
                null,
                () -> now,
                this,
                new EventCounters());
    }

    private SocketClient client() throws Exception {
        return new SocketClient(listener.address());
    }

    private static ByteBuf request() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    private static ByteBuf requests(int many) {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < many; i++) {
            all.writeBytes(request());
        }
        return all;
    }

    /** An answer of one row of that length. */
    private static List<byte[]> resultRow(int length) {
        byte[] row = new byte[length + 11];
        Unpooled.wrappedBuffer(row)
                .clear()
                .writeByte('D')
                .writeInt(length + 10)
                .writeShort(1)
                .writeInt(length);
        return List.of(row);
    }

    private static <T> T take(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next);
        return next;
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return transport.eventLoop().submit(step).get();
    }

    private Void runOnLoop(Runnable step) throws Exception {
        return onLoop(() -> {
            step.run();
            return null;
        });
    }

    private void respondToNextRequest() throws Exception {
        runOnLoop(take(receivedRequests)::respondInDoubt);
    }

    private void awaitSessionCount(int sessions) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (onLoop(listener::sessionCount) != sessions && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(sessions, onLoop(listener::sessionCount));
    }

    /** The router stands still while the client does something, and goes on with a step of its own. */
    private void duringLoopStall(Callable<?> client, Runnable router) throws Exception {
        var standing = new CountDownLatch(1);
        var done = new CountDownLatch(1);
        Future<?> step = transport.eventLoop().submit(() -> {
            standing.countDown();
            done.await();
            router.run();
            return null;
        });
        standing.await();
        try {
            client.call();
        } finally {
            done.countDown();
        }
        step.get();
    }

    /** A client that has had its first answer. */
    private SocketClient clientWithFirstResponse() throws Exception {
        SocketClient client = client().sendStartup(request());
        respondToNextRequest();
        assertEquals("ready", client.readResponse());
        assertEquals("40003", client.readResponse());
        return client;
    }

    // ---- clients that go ----

    @ParameterizedTest
    @CsvSource({
        "1, 0, false",
        "5, 0, false",
        "5, 40, false",
        "40, 0, false",
        "300, 0, false",
        "5, 0, true",
        "40, 9, true",
        "40, 0, true"
    })
    void detectsCloseInEveryStateAndDropsPipelinedRequests(int commands, int part, boolean ending) throws Exception {
        start(9);
        SocketClient client = client().sendStartup(requests(commands), request().slice(0, part));
        ClientSession session = take(receivedRequests);
        assertEquals("ready", client.readResponse());
        if (ending) {
            runOnLoop(listener::drain);
        }
        client.socket.close();
        assertEquals(session, take(goneClients));
        awaitSessionCount(0);
        runOnLoop(session::respondInDoubt);
        assertEquals(0, receivedRequests.size());
    }

    @Test
    void treatsHalfCloseAsClose() throws Exception {
        start(9);
        SocketClient client = client().sendStartup(requests(40));
        ClientSession session = take(receivedRequests);
        client.socket.shutdownOutput();
        assertEquals(session, take(goneClients));
        assertEquals(0, receivedRequests.size());
    }

    @Test
    void closesClientThatFloodsWithoutEnd() throws Exception {
        start(9);
        SocketClient client = client().sendStartup(requests(40));
        take(receivedRequests);
        var writing = new Thread(() -> {
            try {
                while (true) {
                    client.send(requests(100));
                }
            } catch (Exception e) {
                // the router has closed
            }
        });
        writing.start();
        take(goneClients);
        writing.join();
    }

    // ---- ends of connections ----

    @ParameterizedTest
    @ValueSource(strings = {"end", "let go", "malformed", "flooding", "terminate", "room"})
    void deliversUnreadResponseBeforeAnyKindOfClose(String way) throws Exception {
        start(1);
        ByteBuf behind =
                switch (way) {
                    case "malformed" ->
                        Unpooled.buffer().writeByte('j').writeInt(4).writeZero(100_000);
                    case "flooding" -> requests(60);
                    case "terminate" -> Unpooled.buffer().writeByte('X').writeInt(4);
                    default -> Unpooled.EMPTY_BUFFER;
                };
        SocketClient client = client().sendStartup(request(), behind);
        ClientSession session = take(receivedRequests);
        runOnLoop(() -> session.respondWithResult(resultRow(LONG_RESULT_BYTES)));
        if (way.equals("end")) {
            runOnLoop(listener::drain);
        } else if (way.equals("let go")) {
            runOnLoop(() -> listener.closeIdleSessions(now));
        } else if (way.equals("room")) {
            assertEquals("53300 closed", client().sendStartup().readResponse());
        }
        Thread.sleep(300); // longer than any close waited that did not wait for its answers
        assertEquals("ready", client.readResponse());
        assertEquals("" + (LONG_RESULT_BYTES + 6), client.readResponse());
        if (way.equals("let go")) {
            runOnLoop(() -> listener.closeIdleSessions(now));
        }
        switch (way) {
            case "malformed" -> assertEquals("08P01 closed", client.readResponse());
            case "flooding" -> {
                for (int i = 0; i < 32; i++) {
                    respondToNextRequest();
                    assertEquals("40003", client.readResponse());
                }
                assertEquals("54000 closed", client.readResponse());
            }
            case "room" -> {}
            default -> assertEquals("closed", client.readResponse());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"end", "let go"})
    void answersRequestReceivedBeforeCloseAndDropsLaterOnes(String way) throws Exception {
        start(way.equals("end") ? 9 : 1);
        SocketClient client = clientWithFirstResponse();
        duringLoopStall(
                () -> client.send(request()),
                way.equals("end") ? listener::drain : () -> listener.closeIdleSessions(now));
        respondToNextRequest();
        assertEquals("40003", client.readResponse());
        assertEquals("closed", client.readResponse());
        client.send(requests(3));
        client.socket.close();
        awaitSessionCount(0);
        assertEquals(0, receivedRequests.size());
        assertEquals(0, goneClients.size());
    }

    @Test
    void closesDrainingSessionOfClientThatKeepsSending() throws Exception {
        start(9);
        SocketClient client = clientWithFirstResponse();
        duringLoopStall(() -> client.send(request()), listener::drain);
        ClientSession session = take(receivedRequests);
        duringLoopStall(() -> client.send(request()), session::respondInDoubt);
        assertEquals("40003", client.readResponse());
        assertEquals("closed", client.readResponse());
        client.socket.close();
        awaitSessionCount(0);
        assertEquals(0, receivedRequests.size());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotTimeOutClientForStallOfTheRouter(boolean half) throws Exception {
        start(9);
        SocketClient client = half ? clientWithFirstResponse() : client().sendStartup();
        if (half) {
            client.send(MessageEncoder.query(new byte[0]), request().slice(0, 30));
        }
        assertEquals("ready", client.readResponse());
        now += 0.1;
        ByteBuf rest = half ? request().skipBytes(30) : request();
        duringLoopStall(() -> client.send(rest), () -> {
            now += 5;
            listener.closeIdleSessions(now);
        });
        respondToNextRequest();
        assertEquals("40003", client.readResponse());
    }

    @Test
    void doesNotEvictClientWithPartialRequest() throws Exception {
        start(1);
        SocketClient client = clientWithFirstResponse();
        client.send(MessageEncoder.query(new byte[0]), request().slice(0, 30));
        assertEquals("ready", client.readResponse());
        assertEquals("53300 closed", client().sendStartup(request()).readResponse());
        client.send(request().skipBytes(30));
        respondToNextRequest();
        assertEquals("40003", client.readResponse());
    }

    @Test
    void deliversRejectionToClientThatSentRequestAtOnce() throws Exception {
        start(1);
        client().sendStartup(request());
        take(receivedRequests);
        var refused = new SocketClient[1];
        duringLoopStall(() -> refused[0] = client().sendStartup(requests(9)), () -> {});
        assertEquals("53300 closed", refused[0].readResponse());
        refused[0].send(requests(9)).send(requests(9));
        refused[0].socket.close();
    }

    @Test
    void closesEvictedClientWithoutReset() throws Exception {
        start(1);
        SocketClient client = clientWithFirstResponse();
        var other = new SocketClient[1];
        duringLoopStall(
                () -> {
                    other[0] = client().sendStartup(request());
                    return client.send(request());
                },
                () -> {});
        String word = client.readResponse();
        assertEquals("closed", word);
        respondToNextRequest();
        assertEquals("ready", other[0].readResponse());
        assertEquals("40003", other[0].readResponse());
        assertEquals(0, receivedRequests.size());
    }

    // ---- cancelling ----

    private void sendCancelRequest(long key) throws Exception {
        SocketClient client = client().send(SocketClient.cancelRequest(key));
        assertEquals("closed", client.readResponse());
        client.socket.close();
    }

    @Test
    void cancelsOnlyTheRequestOfTheSessionWithThatKey() throws Exception {
        start(9);
        SocketClient client = client().sendStartup(request());
        ClientSession session = take(receivedRequests);
        assertEquals("ready", client.readResponse());
        SocketClient other = client().sendStartup(request());
        ClientSession second = take(receivedRequests);
        assertEquals("ready", other.readResponse());
        assertNotEquals(client.cancelKey, other.cancelKey);
        assertNotEquals(client.cancelKey >>> 32, other.cancelKey >>> 32);
        assertNotEquals((int) client.cancelKey, (int) other.cancelKey);
        for (long wrong :
                new long[] {0, client.cancelKey + 1, client.cancelKey & 0xffffffffL, client.cancelKey & ~0xffffffffL}) {
            sendCancelRequest(wrong);
        }
        assertNull(cancelRequests.poll());
        sendCancelRequest(other.cancelKey);
        assertEquals(second, take(cancelRequests));
        runOnLoop(() -> second.respondCancelled(true));
        assertEquals("57014", other.readResponse());
        sendCancelRequest(client.cancelKey);
        assertEquals(session, take(cancelRequests));
        client.socket.close();
        other.socket.close();
        awaitSessionCount(0);
        assertEquals(0, onLoop(listener::cancelKeyCount));
    }

    @Test
    void ignoresCancelOfIdleSession() throws Exception {
        start(9);
        SocketClient client = clientWithFirstResponse();
        sendCancelRequest(client.cancelKey);
        assertNull(cancelRequests.poll());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateCancelDoesNotHitNextRequest(boolean ahead) throws Exception {
        start(9);
        SocketClient client = client().sendStartup(requests(ahead ? 2 : 1));
        ClientSession session = take(receivedRequests);
        assertEquals("ready", client.readResponse());
        SocketClient cancelling = client();
        awaitSessionCount(2);
        now += 0.001;
        runOnLoop(session::respondInDoubt);
        assertEquals("40003", client.readResponse());
        if (!ahead) {
            client.send(request());
        }
        take(receivedRequests);
        assertEquals(
                "closed",
                cancelling.send(SocketClient.cancelRequest(client.cancelKey)).readResponse());
        assertNull(cancelRequests.poll());
    }
}
