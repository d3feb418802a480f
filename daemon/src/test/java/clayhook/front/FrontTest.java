package clayhook.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.rehearsal.StubClient;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FrontTest implements Session.Listener {
    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<Session> taken = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private Front front;

    @Override
    public void asked(Session session, byte[] text) {
        throw new IllegalStateException("only the two forms are taken");
    }

    @Override
    public void taken(Session session, Statement statement) {
        taken.add(session);
    }

    @Override
    public void left(Session session) {}

    @Override
    public void cancelled(Session session) {}

    @AfterEach
    void close() {
        transport.close();
    }

    private void start(int descriptors) throws InterruptedException {
        front = new Front(transport, transport.spare(0), new Descriptors(descriptors), 1 << 24, null, () -> now, this);
    }

    private StubClient client(ByteBuf first) throws InterruptedException {
        var client = new StubClient(transport, front.address());
        client.send(first);
        return client;
    }

    private static ByteBuf read() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    private void answer() throws Exception {
        Session session = taken.take();
        transport.loop().submit(session::failed).get();
    }

    private void await(int sessions) throws Exception {
        while (transport.loop().submit(front::size).get() != sessions) {
            Thread.onSpinWait();
        }
    }

    private void sweep(double later) throws Exception {
        now += later;
        transport.loop().submit(() -> front.sweep(now)).get();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 20, 60})
    void aClientThatNeverSendsAWholeCommandIsEnded(int bytes) throws Exception {
        start(1024);
        var silent = client(StubClient.startupAndFirst(read()).slice(0, bytes));
        await(1);
        sweep(1);
        assertEquals(1, transport.loop().submit(front::size).get());
        sweep(1.5);
        String word = silent.nextAnswer();
        assertEquals("57P05 closed", word.equals("ready") ? silent.nextAnswer() : word);
    }

    @ParameterizedTest
    @CsvSource({"false, 60, 1", "true, 2.5, 0"})
    void aClientMayBeQuietBetweenCommandsButNotWithinOne(boolean half, double later, int left) throws Exception {
        start(1024);
        var client = client(StubClient.startupAndFirst(read()));
        answer();
        assertEquals("ready", client.nextAnswer());
        assertEquals("40003", client.nextAnswer());
        if (half) {
            client.send(Unpooled.wrappedBuffer(Encoder.query(new byte[0]), read().slice(0, 9)));
            assertEquals("ready", client.nextAnswer());
        }
        sweep(0);
        sweep(later);
        await(left);
    }

    @Test
    void aClientThatSendsHundredsOfCommandsAtOnceIsEndedAfterTheFirst() throws Exception {
        start(1024);
        ByteBuf all = Unpooled.buffer().writeBytes(StubClient.startupAndFirst(read()));
        for (int i = 0; i < 300; i++) {
            all.writeBytes(read());
        }
        var client = client(all);
        assertEquals("ready", client.nextAnswer());
        for (int i = 0; i < 33; i++) {
            answer();
            assertEquals("40003", client.nextAnswer());
        }
        assertTrue(client.nextAnswer().endsWith("closed"));
        assertEquals(0, taken.size());
    }

    @Test
    void silentClientsMakeRoomBeforeThoseThatAsk() throws Exception {
        start(48 + 2 * 2);
        var usual = client(StubClient.startupAndFirst(read()));
        answer();
        assertEquals("40003", List.of(usual.nextAnswer(), usual.nextAnswer()).get(1));
        for (int i = 0; i < 5; i++) {
            now += 0.1;
            assertEquals(
                    "ready", client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        }
        usual.send(read());
        answer();
        assertEquals("40003", usual.nextAnswer());
    }

    @Test
    void clientsThatAskedOnceAndStayMakeRoomForThoseThatCome() throws Exception {
        start(48 + 2 * 2);
        var once = client(StubClient.startupAndFirst(read()));
        answer();
        assertEquals("40003", List.of(once.nextAnswer(), once.nextAnswer()).get(1));
        now += 3;
        var fresh = client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER));
        assertEquals("ready", fresh.nextAnswer());
        assertEquals("ready", client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        assertEquals("closed", once.nextAnswer());
        fresh.send(read());
        answer();
        assertEquals("40003", fresh.nextAnswer());
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "3, 1", "5, 2"})
    void whereClientsAreManyThoseThatAskedOnceAndStayAreLetGo(int room, int left) throws Exception {
        start(48 + 2 * room);
        for (int i = 0; i < 2; i++) {
            var once = client(StubClient.startupAndFirst(read()));
            answer();
            assertEquals("40003", List.of(once.nextAnswer(), once.nextAnswer()).get(1));
        }
        sweep(0.1);
        await(left);
    }

    @Test
    void aClientForWhomNoneCanMakeRoomIsTurnedAway() throws Exception {
        start(48 + 2);
        client(StubClient.startupAndFirst(read()));
        taken.take();
        assertTrue(client(StubClient.startupAndFirst(read())).nextAnswer().endsWith("closed"));
    }
}
