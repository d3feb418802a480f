package clayhook.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.metrics.EventCounters;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClientListenerTest implements ClientSession.RequestHandler {
    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<ClientSession> receivedRequests = new LinkedBlockingQueue<>();
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
    public void onClientGone(ClientSession session) {}

    @Override
    public void onCancelRequest(ClientSession session) {}

    @AfterEach
    void close() {
        transport.close();
    }

    private void start(int descriptors) throws InterruptedException {
        listener = new ClientListener(
                transport,
                transport.ephemeralAddress(0),
                new DescriptorBudget(descriptors),
                1 << 24,
                null,
                () -> now,
                this,
                new EventCounters());
    }

    private StubClient client(ByteBuf first) throws InterruptedException {
        var client = new StubClient(transport, listener.address());
        client.send(first);
        return client;
    }

    private static ByteBuf readRequest() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    private void respondToNextRequest() throws Exception {
        ClientSession session = receivedRequests.take();
        transport.eventLoop().submit(session::respondInDoubt).get();
    }

    private void awaitSessionCount(int sessions) throws Exception {
        while (transport.eventLoop().submit(listener::sessionCount).get() != sessions) {
            Thread.onSpinWait();
        }
    }

    private void closeIdleSessionsAfter(double later) throws Exception {
        now += later;
        transport.eventLoop().submit(() -> listener.closeIdleSessions(now)).get();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 20, 60})
    void closesClientThatNeverSendsCompleteRequest(int bytes) throws Exception {
        start(1024);
        var silent = client(StubClient.startupAndFirst(readRequest()).slice(0, bytes));
        awaitSessionCount(1);
        closeIdleSessionsAfter(1);
        assertEquals(1, transport.eventLoop().submit(listener::sessionCount).get());
        closeIdleSessionsAfter(1.5);
        String word = silent.nextAnswer();
        assertEquals("57P05 closed", word.equals("ready") ? silent.nextAnswer() : word);
    }

    @ParameterizedTest
    @CsvSource({"false, 60, 1", "true, 2.5, 0"})
    void closesClientIdleWithinRequestButNotBetweenRequests(boolean half, double later, int left) throws Exception {
        start(1024);
        var client = client(StubClient.startupAndFirst(readRequest()));
        respondToNextRequest();
        assertEquals("ready", client.nextAnswer());
        assertEquals("40003", client.nextAnswer());
        if (half) {
            client.send(Unpooled.wrappedBuffer(
                    MessageEncoder.query(new byte[0]), readRequest().slice(0, 9)));
            assertEquals("ready", client.nextAnswer());
        }
        closeIdleSessionsAfter(0);
        closeIdleSessionsAfter(later);
        awaitSessionCount(left);
    }

    @Test
    void closesClientThatPipelinesTooManyRequestsAfterAnsweringTheFirst() throws Exception {
        start(1024);
        ByteBuf all = Unpooled.buffer().writeBytes(StubClient.startupAndFirst(readRequest()));
        for (int i = 0; i < 300; i++) {
            all.writeBytes(readRequest());
        }
        var client = client(all);
        assertEquals("ready", client.nextAnswer());
        for (int i = 0; i < 33; i++) {
            respondToNextRequest();
            assertEquals("40003", client.nextAnswer());
        }
        assertTrue(client.nextAnswer().endsWith("closed"));
        assertEquals(0, receivedRequests.size());
    }

    @Test
    void evictsSilentClientsBeforeActiveOnes() throws Exception {
        start(48 + 2 * 2);
        var usual = client(StubClient.startupAndFirst(readRequest()));
        respondToNextRequest();
        assertEquals("40003", List.of(usual.nextAnswer(), usual.nextAnswer()).get(1));
        for (int i = 0; i < 5; i++) {
            now += 0.1;
            assertEquals(
                    "ready",
                    client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        }
        usual.send(readRequest());
        respondToNextRequest();
        assertEquals("40003", usual.nextAnswer());
    }

    @Test
    void evictsIdleClientForNewOne() throws Exception {
        start(48 + 2 * 2);
        var once = client(StubClient.startupAndFirst(readRequest()));
        respondToNextRequest();
        assertEquals("40003", List.of(once.nextAnswer(), once.nextAnswer()).get(1));
        now += 3;
        var fresh = client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER));
        assertEquals("ready", fresh.nextAnswer());
        assertEquals(
                "ready",
                client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        assertEquals("closed", once.nextAnswer());
        fresh.send(readRequest());
        respondToNextRequest();
        assertEquals("40003", fresh.nextAnswer());
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "3, 1", "5, 2"})
    void closesIdleClientsAboveCrowdedLimit(int room, int left) throws Exception {
        start(48 + 2 * room);
        for (int i = 0; i < 2; i++) {
            var once = client(StubClient.startupAndFirst(readRequest()));
            respondToNextRequest();
            assertEquals("40003", List.of(once.nextAnswer(), once.nextAnswer()).get(1));
        }
        closeIdleSessionsAfter(0.1);
        awaitSessionCount(left);
    }

    @Test
    void rejectsClientWhenNoSessionCanBeEvicted() throws Exception {
        start(48 + 2);
        client(StubClient.startupAndFirst(readRequest()));
        receivedRequests.take();
        assertTrue(
                client(StubClient.startupAndFirst(readRequest())).nextAnswer().endsWith("closed"));
    }
}
