package clayhook.frontend;

import static clayhook.frontend.ClientListenerFixture.longRequest;
import static clayhook.frontend.ClientListenerFixture.request;
import static clayhook.frontend.ClientListenerFixture.requests;
import static clayhook.frontend.ClientListenerFixture.takeNext;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.protocol.MessageEncoder;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits on clients: time, pipelined messages, memory and descriptors. */
class ClientListenerTest {
    /** More clients than any of these tests connects. */
    private static final int MANY_CLIENTS = 488;
    /** Bytes of the process; long statements may occupy an eighth, and each of their bytes counts as four. */
    private static final long MEMORY_FOR_ONE_LONG_REQUEST = 100_000;

    private final ClientListenerFixture fixture = new ClientListenerFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    private StubClient client(ByteBuf first) throws InterruptedException {
        var client = new StubClient(fixture.transport, fixture.listener().address());
        client.send(first);
        return client;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 20, 60})
    void closesClientThatNeverSendsCompleteRequest(int bytes) throws Exception {
        fixture.start(MANY_CLIENTS);
        var silent = client(StubClient.startupAndFirst(request()).slice(0, bytes));
        fixture.awaitSessionCount(1);
        fixture.closeIdleSessionsAfter(1);
        assertEquals(1, fixture.sessionCount());
        fixture.closeIdleSessionsAfter(1.5);
        String answer = silent.nextAnswer();
        assertEquals("57P05 closed", answer.equals("ready") ? silent.nextAnswer() : answer);
    }

    @ParameterizedTest
    @CsvSource({"false, 60, 1", "true, 2.5, 0"})
    void closesClientIdleWithinRequestButNotBetweenRequests(boolean withinRequest, double idleSeconds, int remaining)
            throws Exception {
        fixture.start(MANY_CLIENTS);
        var client = client(StubClient.startupAndFirst(request()));
        fixture.respondToNextRequest();
        assertEquals("ready", client.nextAnswer());
        assertEquals("40003", client.nextAnswer());
        if (withinRequest) {
            client.send(Unpooled.wrappedBuffer(
                    MessageEncoder.query(new byte[0]), request().slice(0, 9)));
            assertEquals("ready", client.nextAnswer());
        }
        fixture.closeIdleSessionsAfter(0);
        fixture.closeIdleSessionsAfter(idleSeconds);
        fixture.awaitSessionCount(remaining);
    }

    /** Guards against sound clients that are disconnected as they send more ahead than the router reads ahead. */
    @ParameterizedTest
    @ValueSource(ints = {1301, 4000})
    void answersAllRequestsOfClientThatPipelinesMany(int requestCount) throws Exception {
        fixture.start(MANY_CLIENTS);
        var client = client(StubClient.startupAndFirst(requests(requestCount)));
        assertEquals("ready", client.nextAnswer());
        for (int i = 0; i < requestCount; i++) {
            assertTrue(fixture.inputBytes() <= InputBudget.MAX_BYTES);
            fixture.respondToNextRequest();
            assertEquals("40003", client.nextAnswer());
        }
        client.send(request());
        fixture.respondToNextRequest();
        assertEquals("40003", client.nextAnswer());
        fixture.assertAllReadInputAnswered();
    }

    /**
     * Guards against the loss of pipelined requests while other clients hold the memory. The rejection of the first
     * request closed the connection, so that the second response was {@code 53300 closed}, and the requests after the
     * rejected one were read but not answered.
     */
    @Test
    @Timeout(60)
    void answersRequestsAfterOneRejectedForLackOfMemory() throws Exception {
        fixture.start(MANY_CLIENTS, MEMORY_FOR_ONE_LONG_REQUEST);
        var first = client(StubClient.startupAndFirst(longRequest()));
        assertEquals("ready", first.nextAnswer());
        ClientSession memoryHolder = takeNext(fixture.receivedRequests);
        var second = client(StubClient.startupAndFirst(Unpooled.wrappedBuffer(longRequest(), request())));
        assertEquals("ready", second.nextAnswer());
        assertEquals("53300", second.nextAnswer());
        fixture.respondToNextRequest();
        assertEquals("40003", second.nextAnswer());
        fixture.runOnLoop(memoryHolder::respondInDoubt);
        assertEquals("40003", first.nextAnswer());
        second.send(longRequest());
        fixture.respondToNextRequest();
        assertEquals("40003", second.nextAnswer());
        fixture.assertAllReadInputAnswered();
    }

    /** Guards against requests received in part that fill the memory, which is reserved until they are answered. */
    @Test
    @Timeout(60)
    void partOfALongRequestKeepsItsMemoryUntilItIsAnswered() throws Exception {
        fixture.start(MANY_CLIENTS, MEMORY_FOR_ONE_LONG_REQUEST);
        ByteBuf rest = longRequest();
        var slow = client(StubClient.startupAndFirst(rest.readRetainedSlice(rest.readableBytes() / 2)));
        assertEquals("ready", slow.nextAnswer());
        var other = client(StubClient.startupAndFirst(longRequest()));
        assertEquals("ready", other.nextAnswer());
        assertEquals("53300", other.nextAnswer());
        slow.send(rest);
        fixture.respondToNextRequest();
        assertEquals("40003", slow.nextAnswer());
        other.send(longRequest());
        fixture.respondToNextRequest();
        assertEquals("40003", other.nextAnswer());
    }

    /** Guards against requests that are refused because answered ones of the same client still hold memory. */
    @Test
    @Timeout(60)
    void answeredRequestReleasesItsMemoryForTheNextOneOfItsClient() throws Exception {
        fixture.start(MANY_CLIENTS, MEMORY_FOR_ONE_LONG_REQUEST);
        ByteBuf second = longRequest();
        var client = client(StubClient.startupAndFirst(
                Unpooled.wrappedBuffer(longRequest(), second.readRetainedSlice(second.readableBytes() / 2))));
        assertEquals("ready", client.nextAnswer());
        for (int i = 0; i < 4; i++) {
            ByteBuf next = longRequest();
            fixture.respondToNextRequest();
            assertEquals("40003", client.nextAnswer());
            client.send(Unpooled.wrappedBuffer(second, next.readRetainedSlice(next.readableBytes() / 2)));
            second = next;
        }
        takeNext(fixture.receivedRequests);
        var other = client(StubClient.startupAndFirst(longRequest()));
        assertEquals("ready", other.nextAnswer());
        assertEquals("53300", other.nextAnswer());
    }

    /** A session must not count as idle while the rest of a rejected statement is in transit. */
    @Test
    @Timeout(60)
    void drainingSessionAnswersPartiallyReceivedStatementRejectedForLackOfMemory() throws Exception {
        fixture.start(MANY_CLIENTS, MEMORY_FOR_ONE_LONG_REQUEST);
        var first = client(StubClient.startupAndFirst(longRequest()));
        assertEquals("ready", first.nextAnswer());
        takeNext(fixture.receivedRequests);
        ByteBuf rest = longRequest();
        var second = client(StubClient.startupAndFirst(rest.readRetainedSlice(rest.readableBytes() / 2)));
        assertEquals("ready", second.nextAnswer());
        fixture.runOnLoop(() -> fixture.listener().drain());
        second.send(rest);
        assertEquals("53300", second.nextAnswer());
        fixture.assertAllReadInputAnswered();
    }

    @Test
    void evictsClientsWithoutRequestBeforeActiveOnes() throws Exception {
        fixture.start(2);
        var active = client(StubClient.startupAndFirst(request()));
        fixture.respondToNextRequest();
        assertEquals("40003", List.of(active.nextAnswer(), active.nextAnswer()).get(1));
        for (int i = 0; i < 5; i++) {
            fixture.advanceClock(0.1);
            assertEquals(
                    "ready",
                    client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        }
        active.send(request());
        fixture.respondToNextRequest();
        assertEquals("40003", active.nextAnswer());
    }

    @Test
    void evictsIdleClientForNewOne() throws Exception {
        fixture.start(2);
        var idle = client(StubClient.startupAndFirst(request()));
        fixture.respondToNextRequest();
        assertEquals("40003", List.of(idle.nextAnswer(), idle.nextAnswer()).get(1));
        fixture.advanceClock(3);
        var fresh = client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER));
        assertEquals("ready", fresh.nextAnswer());
        assertEquals(
                "ready",
                client(StubClient.startupAndFirst(Unpooled.EMPTY_BUFFER)).nextAnswer());
        assertEquals("57P03 closed", idle.nextAnswer());
        fresh.send(request());
        fixture.respondToNextRequest();
        assertEquals("40003", fresh.nextAnswer());
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "3, 1", "5, 2"})
    void closesIdleClientsAboveIdleLimit(int maxClients, int remaining) throws Exception {
        fixture.start(maxClients);
        for (int i = 0; i < 2; i++) {
            var idle = client(StubClient.startupAndFirst(request()));
            fixture.respondToNextRequest();
            assertEquals("40003", List.of(idle.nextAnswer(), idle.nextAnswer()).get(1));
        }
        fixture.closeIdleSessionsAfter(0.5);
        fixture.awaitSessionCount(remaining);
    }

    @Test
    void rejectsClientWhenNoSessionCanBeEvicted() throws Exception {
        fixture.start(1);
        client(StubClient.startupAndFirst(request()));
        takeNext(fixture.receivedRequests);
        assertTrue(client(StubClient.startupAndFirst(request())).nextAnswer().endsWith("closed"));
    }
}
