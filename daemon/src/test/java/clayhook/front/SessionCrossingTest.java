package clayhook.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.rehearsal.StubClient;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
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
class SessionCrossingTest implements Session.Listener {
    /** More than the system holds for a connection. */
    private static final int LONG = 16 << 20;

    private static final int PATIENCE_S = 20;
    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<Session> taken = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Session> left = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Session> cancelled = new LinkedBlockingQueue<>();
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
    public void left(Session session) {
        left.add(session);
    }

    @Override
    public void cancelled(Session session) {
        cancelled.add(session);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private void start(int clients) throws InterruptedException {
        front = new Front(
                transport, transport.spare(0), new Descriptors(48 + 2 * clients), 1 << 28, null, () -> now, this);
    }

    private RawClient client() throws Exception {
        return new RawClient(front.address());
    }

    private static ByteBuf command() {
        return StubClient.statement(false, "id=1,c=a,d=5000,cluster=1");
    }

    private static ByteBuf commands(int many) {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < many; i++) {
            all.writeBytes(command());
        }
        return all;
    }

    /** An answer of one row of that length. */
    private static List<byte[]> row(int length) {
        byte[] row = new byte[length + 11];
        Unpooled.wrappedBuffer(row)
                .clear()
                .writeByte('D')
                .writeInt(length + 10)
                .writeShort(1)
                .writeInt(length);
        return List.of(row);
    }

    private static <T> T next(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(next);
        return next;
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return transport.loop().submit(step).get();
    }

    private Void run(Runnable step) throws Exception {
        return onLoop(() -> {
            step.run();
            return null;
        });
    }

    private void answer() throws Exception {
        run(next(taken)::failed);
    }

    private void await(int sessions) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (onLoop(front::size) != sessions && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(sessions, onLoop(front::size));
    }

    /** The router stands still while the client does something, and goes on with a step of its own. */
    private void crossing(Callable<?> client, Runnable router) throws Exception {
        var standing = new CountDownLatch(1);
        var done = new CountDownLatch(1);
        Future<?> step = transport.loop().submit(() -> {
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
    private RawClient usual() throws Exception {
        RawClient client = client().hello(command());
        answer();
        assertEquals("ready", client.next());
        assertEquals("40003", client.next());
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
    void aCloseIsSeenInEveryStateAndWhatWasAheadIsNotBegun(int commands, int part, boolean ending) throws Exception {
        start(9);
        RawClient client = client().hello(commands(commands), command().slice(0, part));
        Session session = next(taken);
        assertEquals("ready", client.next());
        if (ending) {
            run(front::end);
        }
        client.socket.close();
        assertEquals(session, next(left));
        await(0);
        run(session::failed);
        assertEquals(0, taken.size());
    }

    @Test
    void aClientThatEndsItsSendingHasGone() throws Exception {
        start(9);
        RawClient client = client().hello(commands(40));
        Session session = next(taken);
        client.socket.shutdownOutput();
        assertEquals(session, next(left));
        assertEquals(0, taken.size());
    }

    @Test
    void aClientThatFloodsWithoutEndIsClosed() throws Exception {
        start(9);
        RawClient client = client().hello(commands(40));
        next(taken);
        var writing = new Thread(() -> {
            try {
                while (true) {
                    client.send(commands(100));
                }
            } catch (Exception e) {
                // the router has closed
            }
        });
        writing.start();
        next(left);
        writing.join();
    }

    // ---- ends of connections ----

    @ParameterizedTest
    @ValueSource(strings = {"end", "let go", "malformed", "flooding", "terminate", "room"})
    void noEndTakesAnAnswerThatItsClientHasNotReadYet(String way) throws Exception {
        start(1);
        ByteBuf behind =
                switch (way) {
                    case "malformed" ->
                        Unpooled.buffer().writeByte('j').writeInt(4).writeZero(100_000);
                    case "flooding" -> commands(60);
                    case "terminate" -> Unpooled.buffer().writeByte('X').writeInt(4);
                    default -> Unpooled.EMPTY_BUFFER;
                };
        RawClient client = client().hello(command(), behind);
        Session session = next(taken);
        run(() -> session.answered(row(LONG)));
        if (way.equals("end")) {
            run(front::end);
        } else if (way.equals("let go")) {
            run(() -> front.sweep(now));
        } else if (way.equals("room")) {
            assertEquals("53300 closed", client().hello().next());
        }
        Thread.sleep(300); // longer than any close waited that did not wait for its answers
        assertEquals("ready", client.next());
        assertEquals("" + (LONG + 6), client.next());
        if (way.equals("let go")) {
            run(() -> front.sweep(now));
        }
        switch (way) {
            case "malformed" -> assertEquals("08P01 closed", client.next());
            case "flooding" -> {
                for (int i = 0; i < 32; i++) {
                    answer();
                    assertEquals("40003", client.next());
                }
                assertEquals("54000 closed", client.next());
            }
            case "room" -> {}
            default -> assertEquals("closed", client.next());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"end", "let go"})
    void aCommandThatCameBeforeTheEndIsAnsweredAndOneThatComesAfterIsNotTaken(String way) throws Exception {
        start(way.equals("end") ? 9 : 1);
        RawClient client = usual();
        crossing(() -> client.send(command()), way.equals("end") ? front::end : () -> front.sweep(now));
        answer();
        assertEquals("40003", client.next());
        assertEquals("closed", client.next());
        client.send(commands(3));
        client.socket.close();
        await(0);
        assertEquals(0, taken.size());
        assertEquals(0, left.size());
    }

    @Test
    void aClientThatAlwaysHasACommandOnItsWayKeepsNoSessionFromItsEnd() throws Exception {
        start(9);
        RawClient client = usual();
        crossing(() -> client.send(command()), front::end);
        Session session = next(taken);
        crossing(() -> client.send(command()), session::failed);
        assertEquals("40003", client.next());
        assertEquals("closed", client.next());
        client.socket.close();
        await(0);
        assertEquals(0, taken.size());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientIsNotTakenForSilentWhileTheRouterStoodStill(boolean half) throws Exception {
        start(9);
        RawClient client = half ? usual() : client().hello();
        if (half) {
            client.send(Encoder.query(new byte[0]), command().slice(0, 30));
        }
        assertEquals("ready", client.next());
        now += 0.1;
        ByteBuf rest = half ? command().skipBytes(30) : command();
        crossing(() -> client.send(rest), () -> {
            now += 5;
            front.sweep(now);
        });
        answer();
        assertEquals("40003", client.next());
    }

    @Test
    void aClientInTheMiddleOfACommandMakesNoRoom() throws Exception {
        start(1);
        RawClient client = usual();
        client.send(Encoder.query(new byte[0]), command().slice(0, 30));
        assertEquals("ready", client.next());
        assertEquals("53300 closed", client().hello(command()).next());
        client.send(command().skipBytes(30));
        answer();
        assertEquals("40003", client.next());
    }

    @Test
    void aClientThatIsTurnedAwayReadsWhyThoughItSentACommandAtOnce() throws Exception {
        start(1);
        client().hello(command());
        next(taken);
        var refused = new RawClient[1];
        crossing(() -> refused[0] = client().hello(commands(9)), () -> {});
        assertEquals("53300 closed", refused[0].next());
        refused[0].send(commands(9)).send(commands(9));
        refused[0].socket.close();
    }

    @Test
    void aClientThatMakesRoomIsNotReset() throws Exception {
        start(1);
        RawClient client = usual();
        var other = new RawClient[1];
        crossing(
                () -> {
                    other[0] = client().hello(command());
                    return client.send(command());
                },
                () -> {});
        String word = client.next();
        assertEquals("closed", word);
        answer();
        assertEquals("ready", other[0].next());
        assertEquals("40003", other[0].next());
        assertEquals(0, taken.size());
    }

    // ---- cancelling ----

    private void cancel(long key) throws Exception {
        RawClient client = client().send(RawClient.cancelRequest(key));
        assertEquals("closed", client.next());
        client.socket.close();
    }

    @Test
    void onlyTheKeyOfASessionCancelsWhatThatWaitsFor() throws Exception {
        start(9);
        RawClient client = client().hello(command());
        Session session = next(taken);
        assertEquals("ready", client.next());
        RawClient other = client().hello(command());
        Session second = next(taken);
        assertEquals("ready", other.next());
        assertNotEquals(client.key, other.key);
        assertNotEquals(client.key >>> 32, other.key >>> 32);
        assertNotEquals((int) client.key, (int) other.key);
        for (long wrong : new long[] {0, client.key + 1, client.key & 0xffffffffL, client.key & ~0xffffffffL}) {
            cancel(wrong);
        }
        assertNull(cancelled.poll());
        cancel(other.key);
        assertEquals(second, next(cancelled));
        run(() -> second.cancelled(true));
        assertEquals("57014", other.next());
        cancel(client.key);
        assertEquals(session, next(cancelled));
        client.socket.close();
        other.socket.close();
        await(0);
        assertEquals(0, onLoop(front::cancelKeys));
    }

    @Test
    void aSessionThatWaitsForNothingHasNothingToCancel() throws Exception {
        start(9);
        RawClient client = usual();
        cancel(client.key);
        assertNull(cancelled.poll());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCancelThatCrossesTheAnswerDoesNotHitTheNextCommand(boolean ahead) throws Exception {
        start(9);
        RawClient client = client().hello(commands(ahead ? 2 : 1));
        Session session = next(taken);
        assertEquals("ready", client.next());
        RawClient cancelling = client();
        await(2);
        now += 0.001;
        run(session::failed);
        assertEquals("40003", client.next());
        if (!ahead) {
            client.send(command());
        }
        next(taken);
        assertEquals(
                "closed", cancelling.send(RawClient.cancelRequest(client.key)).next());
        assertNull(cancelled.poll());
    }
}
