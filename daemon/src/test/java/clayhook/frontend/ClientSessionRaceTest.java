package clayhook.frontend;

import static clayhook.frontend.ClientListenerFixture.request;
import static clayhook.frontend.ClientListenerFixture.requests;
import static clayhook.frontend.ClientListenerFixture.takeNext;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests races between actions of a client and concurrent actions of the router on its session. */
class ClientSessionRaceTest {
    /** More than the operating system buffers for a connection. */
    private static final int LONG_RESULT_BYTES = 16 << 20;

    private final ClientListenerFixture fixture = new ClientListenerFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    /** A response with one row of a given length in bytes. */
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

    private void drain() {
        fixture.listener().drain();
    }

    private void closeIdleSessions() {
        fixture.listener().closeIdleSessions(fixture.now);
    }

    // ---- disconnects ----

    @ParameterizedTest
    @CsvSource({
        "1, 0, false",
        "5, 0, false",
        "5, 40, false",
        "40, 0, false",
        "300, 0, false",
        "4000, 0, false",
        "4000, 40, true",
        "5, 0, true",
        "40, 9, true",
        "40, 0, true"
    })
    void detectsCloseInEveryStateAndDropsPipelinedRequests(int requestCount, int partialBytes, boolean draining)
            throws Exception {
        fixture.start(9);
        SocketClient client =
                fixture.connect().sendStartup(requests(requestCount), request().slice(0, partialBytes));
        ClientSession session = takeNext(fixture.receivedRequests);
        assertEquals("ready", client.readResponse());
        if (draining) {
            fixture.runOnLoop(this::drain);
        }
        client.socket.close();
        assertEquals(session, takeNext(fixture.goneSessions));
        fixture.awaitSessionCount(0);
        fixture.runOnLoop(session::respondInDoubt);
        assertEquals(0, fixture.receivedRequests.size());
    }

    @Test
    void treatsHalfCloseAsClose() throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connect().sendStartup(requests(40));
        ClientSession session = takeNext(fixture.receivedRequests);
        client.socket.shutdownOutput();
        assertEquals(session, takeNext(fixture.goneSessions));
        assertEquals(0, fixture.receivedRequests.size());
    }

    /** Guards against requests that are sent for a client that closed while its connection was not read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void stopsReadingClientThatKeepsSendingAndDetectsItsClose(boolean hasUnreadResponse) throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connect().sendStartup(requests(40));
        ClientSession session = takeNext(fixture.receivedRequests);
        if (!hasUnreadResponse) {
            assertEquals("ready", client.readResponse());
        }
        var sentRequests = new AtomicInteger();
        var writing = new Thread(() -> {
            try {
                while (true) {
                    client.send(requests(100));
                    sentRequests.addAndGet(100);
                }
            } catch (IOException e) {
                // the test has closed the socket
            }
        });
        writing.start();
        for (int before = -1; before != sentRequests.get(); Thread.sleep(500)) {
            before = sentRequests.get();
        }
        assertTrue(sentRequests.get() > 0);
        int keptBytes = fixture.inputBytes();
        assertTrue(keptBytes > 0 && keptBytes <= InputBudget.MAX_BYTES, keptBytes + " bytes");
        client.socket.close();
        writing.join();
        Thread.sleep(100); // no attempt may begin later than that after a client has gone
        fixture.runOnLoop(session::respondInDoubt);
        fixture.awaitSessionCount(0);
        assertEquals(session, takeNext(fixture.goneSessions));
        assertEquals(0, fixture.receivedRequests.size());
    }

    // ---- closing ----

    @ParameterizedTest
    @ValueSource(strings = {"drain", "idle", "malformed", "flooding", "terminate", "evict"})
    void deliversUnreadResponseBeforeAnyKindOfClose(String cause) throws Exception {
        fixture.start(1);
        ByteBuf inputAfterRequest =
                switch (cause) {
                    case "malformed" ->
                        Unpooled.buffer().writeByte('j').writeInt(4).writeZero(100_000);
                    case "flooding" -> requests(1060);
                    case "terminate" -> Unpooled.buffer().writeByte('X').writeInt(4);
                    default -> Unpooled.EMPTY_BUFFER;
                };
        SocketClient client = fixture.connect().sendStartup(request(), inputAfterRequest);
        ClientSession session = takeNext(fixture.receivedRequests);
        fixture.runOnLoop(() -> session.respondWithResult(resultRow(LONG_RESULT_BYTES)));
        if (cause.equals("drain")) {
            fixture.runOnLoop(this::drain);
        } else if (cause.equals("idle")) {
            fixture.runOnLoop(this::closeIdleSessions);
        } else if (cause.equals("evict")) {
            assertEquals("53300 closed", fixture.connect().sendStartup().readResponse());
        }
        Thread.sleep(300); // longer than a close that does not wait until the responses are read
        fixture.advanceClock(0.5);
        assertEquals("ready", client.readResponse());
        assertEquals("" + (LONG_RESULT_BYTES + 6), client.readResponse());
        if (cause.equals("idle")) {
            fixture.runOnLoop(this::closeIdleSessions);
        }
        switch (cause) {
            case "malformed" -> assertEquals("08P01 closed", client.readResponse());
            case "flooding" -> {
                for (int i = 0; i < 1060; i++) {
                    fixture.respondToNextRequest();
                    assertEquals("40003", client.readResponse());
                }
                fixture.runOnLoop(this::drain);
                fixture.advanceClock(0.5);
                assertEquals("57P03 closed", client.readResponse());
            }
            case "evict" -> {}
            case "terminate" -> assertEquals("closed", client.readResponse());
            default -> assertEquals("57P03 closed", client.readResponse());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"drain", "idle"})
    void answersRequestReceivedBeforeCloseAndRefusesLaterOnes(String cause) throws Exception {
        fixture.start(cause.equals("drain") ? 9 : 1);
        SocketClient client = fixture.connectWithFirstResponse();
        fixture.advanceClock(0.5);
        fixture.duringLoopStall(
                () -> client.send(request()), cause.equals("drain") ? this::drain : this::closeIdleSessions);
        fixture.respondToNextRequest();
        assertEquals("40003 closed", client.readResponse());
        client.send(requests(3));
        client.socket.close();
        fixture.awaitSessionCount(0);
        assertEquals(0, fixture.receivedRequests.size());
        assertEquals(0, fixture.goneSessions.size());
        fixture.assertAllReadInputAnswered();
    }

    /** A request that is sent while the router closes the connection is not read, and its client gets an error. */
    @ParameterizedTest
    @ValueSource(strings = {"drain", "idle", "evict", "no request"})
    void refusesRequestSentWhileConnectionCloses(String cause) throws Exception {
        fixture.start(1);
        boolean sendsNoFirstRequest = cause.equals("no request");
        SocketClient client =
                sendsNoFirstRequest ? fixture.connect().sendStartup() : fixture.connectWithFirstResponse();
        if (sendsNoFirstRequest) {
            assertEquals("ready", client.readResponse());
        }
        fixture.advanceClock(0.5);
        switch (cause) {
            case "drain" -> fixture.runOnLoop(this::drain);
            case "idle" -> fixture.closeIdleSessionsAfter(0.1);
            case "evict" -> fixture.connect().sendStartup();
            default -> fixture.closeIdleSessionsAfter(2.5);
        }
        Thread.sleep(100); // the router has closed the connection, and the client has not detected it
        try {
            client.send(request());
        } catch (IOException e) {
            // connection reset; the response can still be read
        }
        String expectedCode = sendsNoFirstRequest ? "57P05" : "57P03";
        assertTrue(client.readResponse().startsWith(expectedCode));
        assertEquals(0, fixture.receivedRequests.size());
        fixture.assertAllReadInputAnswered();
    }

    @Test
    void answersClientAcceptedFromBacklogWhileDraining() throws Exception {
        fixture.start(9);
        var late = new SocketClient[1];
        fixture.duringLoopStall(() -> late[0] = fixture.connect().sendStartup(request()), this::drain);
        fixture.respondToNextRequest();
        assertEquals("ready", late[0].readResponse());
        assertEquals("40003", late[0].readResponse());
        fixture.advanceClock(0.5);
        assertEquals("57P03 closed", late[0].readResponse());
    }

    /** A client could mistake an unsolicited error immediately after a response for a second response. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void keepsDrainingSessionOpenUntilLastResponseIsRead(int laterRequests) throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connectWithFirstResponse();
        fixture.runOnLoop(this::drain);
        Thread.sleep(100); // all input received so far is read
        if (laterRequests == 0) {
            client.socket.setSoTimeout(400);
            assertTrue(client.readResponse().contains("SocketTimeoutException"));
            fixture.advanceClock(0.5);
        }
        client.send(requests(laterRequests));
        for (int i = 1; i < laterRequests; i++) {
            assertEquals("57P03", client.readResponse());
        }
        client.socket.setSoTimeout(20_000);
        assertEquals("57P03 closed", client.readResponse());
        assertEquals(0, fixture.receivedRequests.size());
        fixture.assertAllReadInputAnswered();
    }

    /**
     * The delay after a response also applies to responses that the router generates itself. Without it, the router
     * shut down immediately after the error of an invalid statement, and a client that had sent one request received
     * two errors, the second 0 ms after the first.
     */
    @ParameterizedTest
    @ValueSource(strings = {"empty query", "invalid statement", "extended query", "function call"})
    void keepsDrainingSessionOpenUntilResponseToNonRequestIsRead(String kind) throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connectWithFirstResponse();
        fixture.advanceClock(0.5);
        client.send(
                switch (kind) {
                    case "empty query" -> MessageEncoder.query(new byte[0]);
                    case "invalid statement" -> MessageEncoder.query(new byte[] {'x'});
                    case "extended query" ->
                        Unpooled.buffer()
                                .writeByte('P')
                                .writeInt(4)
                                .writeByte('S')
                                .writeInt(4);
                    default -> Unpooled.buffer().writeByte('F').writeInt(4);
                });
        assertNotEquals("", client.readResponse());
        fixture.runOnLoop(this::drain);
        client.socket.setSoTimeout(400);
        assertTrue(client.readResponse().contains("SocketTimeoutException"));
        fixture.advanceClock(0.5);
        client.socket.setSoTimeout(20_000);
        assertEquals("57P03 closed", client.readResponse());
    }

    @Test
    void closesDrainingSessionOfClientThatKeepsSending() throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connectWithFirstResponse();
        fixture.duringLoopStall(() -> client.send(request()), this::drain);
        ClientSession session = takeNext(fixture.receivedRequests);
        fixture.duringLoopStall(() -> client.send(request()), () -> session.respondWithResult(resultRow(1)));
        assertEquals("\0", client.readResponse());
        assertEquals("57P03 closed", client.readResponse());
        client.socket.close();
        fixture.awaitSessionCount(0);
        assertEquals(0, fixture.receivedRequests.size());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotTimeOutClientBecauseOfRouterStall(boolean partialRequest) throws Exception {
        fixture.start(9);
        SocketClient client = partialRequest
                ? fixture.connectWithFirstResponse()
                : fixture.connect().sendStartup();
        if (partialRequest) {
            client.send(MessageEncoder.query(new byte[0]), request().slice(0, 30));
        }
        assertEquals("ready", client.readResponse());
        fixture.advanceClock(0.1);
        ByteBuf rest = partialRequest ? request().skipBytes(30) : request();
        fixture.duringLoopStall(() -> client.send(rest), () -> {
            fixture.advanceClock(5);
            closeIdleSessions();
        });
        fixture.respondToNextRequest();
        assertEquals("40003", client.readResponse());
    }

    @Test
    void doesNotEvictClientWithPartialRequest() throws Exception {
        fixture.start(1);
        SocketClient client = fixture.connectWithFirstResponse();
        client.send(MessageEncoder.query(new byte[0]), request().slice(0, 30));
        assertEquals("ready", client.readResponse());
        assertEquals("53300 closed", fixture.connect().sendStartup(request()).readResponse());
        client.send(request().skipBytes(30));
        fixture.respondToNextRequest();
        assertEquals("40003", client.readResponse());
    }

    @Test
    void deliversRejectionToClientThatSentRequestAtOnce() throws Exception {
        fixture.start(1);
        fixture.connect().sendStartup(request());
        takeNext(fixture.receivedRequests);
        var rejected = new SocketClient[1];
        fixture.duringLoopStall(() -> rejected[0] = fixture.connect().sendStartup(requests(9)), () -> {});
        assertEquals("53300 closed", rejected[0].readResponse());
        rejected[0].send(requests(9)).send(requests(9));
        rejected[0].socket.close();
    }

    @Test
    @Tag("known-red")
    void refusesUnreadRequestOfEvictedClient() throws Exception {
        fixture.start(1);
        SocketClient client = fixture.connectWithFirstResponse();
        fixture.advanceClock(0.5);
        var other = new SocketClient[1];
        fixture.duringLoopStall(
                () -> {
                    other[0] = fixture.connect().sendStartup(request());
                    return client.send(request());
                },
                () -> {});
        assertTrue(client.readResponse().startsWith("57P03"));
        fixture.respondToNextRequest();
        assertEquals("ready", other[0].readResponse());
        assertEquals("40003", other[0].readResponse());
        assertEquals(0, fixture.receivedRequests.size());
        fixture.assertAllReadInputAnswered();
    }

    // ---- cancelling ----

    private void sendCancelRequest(long key) throws Exception {
        SocketClient client = fixture.connect().send(SocketClient.cancelRequest(key));
        assertEquals("closed", client.readResponse());
        client.socket.close();
    }

    @Test
    void cancelsOnlyTheRequestOfTheSessionWithThatKey() throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connect().sendStartup(request());
        ClientSession session = takeNext(fixture.receivedRequests);
        assertEquals("ready", client.readResponse());
        SocketClient other = fixture.connect().sendStartup(request());
        ClientSession second = takeNext(fixture.receivedRequests);
        assertEquals("ready", other.readResponse());
        assertNotEquals(client.cancelKey, other.cancelKey);
        assertNotEquals(client.cancelKey >>> 32, other.cancelKey >>> 32);
        assertNotEquals((int) client.cancelKey, (int) other.cancelKey);
        for (long wrong :
                new long[] {0, client.cancelKey + 1, client.cancelKey & 0xffffffffL, client.cancelKey & ~0xffffffffL}) {
            sendCancelRequest(wrong);
        }
        assertNull(fixture.cancelRequests.poll());
        sendCancelRequest(other.cancelKey);
        assertEquals(second, takeNext(fixture.cancelRequests));
        fixture.runOnLoop(() -> second.respondCancelled(true));
        assertEquals("57014", other.readResponse());
        sendCancelRequest(client.cancelKey);
        assertEquals(session, takeNext(fixture.cancelRequests));
        client.socket.close();
        other.socket.close();
        fixture.awaitSessionCount(0);
        assertEquals(0, fixture.callOnLoop(fixture.listener()::cancelKeyCount));
    }

    @Test
    void ignoresCancelOfIdleSession() throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connectWithFirstResponse();
        sendCancelRequest(client.cancelKey);
        assertNull(fixture.cancelRequests.poll());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateCancelDoesNotCancelNextRequest(boolean pipelined) throws Exception {
        fixture.start(9);
        SocketClient client = fixture.connect().sendStartup(requests(pipelined ? 2 : 1));
        ClientSession session = takeNext(fixture.receivedRequests);
        assertEquals("ready", client.readResponse());
        SocketClient cancelling = fixture.connect();
        fixture.awaitSessionCount(2);
        fixture.advanceClock(0.001);
        fixture.runOnLoop(session::respondInDoubt);
        assertEquals("40003", client.readResponse());
        if (!pipelined) {
            client.send(request());
        }
        takeNext(fixture.receivedRequests);
        assertEquals(
                "closed",
                cancelling.send(SocketClient.cancelRequest(client.cancelKey)).readResponse());
        assertNull(fixture.cancelRequests.poll());
    }
}
