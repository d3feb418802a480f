package clayhook.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.rehearsal.StandInClient;
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

    private StandInClient client(ByteBuf first) throws InterruptedException {
        var client = new StandInClient(transport, front.address());
        client.send(first);
        return client;
    }

    private static ByteBuf read() {
        return StandInClient.statement(false, "id=1,c=a,d=5000,cluster=1");
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
        var silent = client(StandInClient.hello(read()).slice(0, bytes));
        await(1);
        sweep(1);
        assertEquals(1, transport.loop().submit(front::size).get());
        sweep(1.5);
        String word = silent.next();
        assertEquals("57P05 closed", word.equals("ready") ? silent.next() : word);
    }

    @ParameterizedTest
    @CsvSource({"false, 60, 1", "true, 2.5, 0"})
    void aClientMayBeQuietBetweenCommandsButNotWithinOne(boolean half, double later, int left) throws Exception {
        start(1024);
        var client = client(StandInClient.hello(read()));
        answer();
        assertEquals("ready", client.next());
        assertEquals("40003", client.next());
        if (half) {
            client.send(Unpooled.wrappedBuffer(Encoder.query(new byte[0]), read().slice(0, 9)));
            assertEquals("ready", client.next());
        }
        sweep(0);
        sweep(later);
        await(left);
    }

    @Test
    void aClientThatSendsHundredsOfCommandsAtOnceIsEndedAfterTheFirst() throws Exception {
        start(1024);
        ByteBuf all = Unpooled.buffer().writeBytes(StandInClient.hello(read()));
        for (int i = 0; i < 300; i++) {
            all.writeBytes(read());
        }
        var client = client(all);
        assertEquals("ready", client.next());
        for (int i = 0; i < 33; i++) {
            answer();
            assertEquals("40003", client.next());
        }
        assertTrue(client.next().endsWith("closed"));
        assertEquals(0, taken.size());
    }

    @Test
    void silentClientsMakeRoomBeforeThoseThatAsk() throws Exception {
        start(48 + 2 * 2);
        var usual = client(StandInClient.hello(read()));
        answer();
        assertEquals("40003", List.of(usual.next(), usual.next()).get(1));
        for (int i = 0; i < 5; i++) {
            now += 0.1;
            assertEquals(
                    "ready", client(StandInClient.hello(Unpooled.EMPTY_BUFFER)).next());
        }
        usual.send(read());
        answer();
        assertEquals("40003", usual.next());
    }

    @Test
    void clientsThatAskedOnceAndStayMakeRoomForThoseThatCome() throws Exception {
        start(48 + 2 * 2);
        var once = client(StandInClient.hello(read()));
        answer();
        assertEquals("40003", List.of(once.next(), once.next()).get(1));
        now += 3;
        var fresh = client(StandInClient.hello(Unpooled.EMPTY_BUFFER));
        assertEquals("ready", fresh.next());
        assertEquals("ready", client(StandInClient.hello(Unpooled.EMPTY_BUFFER)).next());
        assertEquals("closed", once.next());
        fresh.send(read());
        answer();
        assertEquals("40003", fresh.next());
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "3, 1", "5, 2"})
    void whereClientsAreManyThoseThatAskedOnceAndStayAreLetGo(int room, int left) throws Exception {
        start(48 + 2 * room);
        for (int i = 0; i < 2; i++) {
            var once = client(StandInClient.hello(read()));
            answer();
            assertEquals("40003", List.of(once.next(), once.next()).get(1));
        }
        sweep(0.1);
        await(left);
    }

    @Test
    void aClientForWhomNoneCanMakeRoomIsTurnedAway() throws Exception {
        start(48 + 2);
        client(StandInClient.hello(read()));
        taken.take();
        assertTrue(client(StandInClient.hello(read())).next().endsWith("closed"));
    }
}
