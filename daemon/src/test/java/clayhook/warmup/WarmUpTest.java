package clayhook.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.serve.Server;
import clayhook.transport.Transport;
import io.netty.channel.ChannelHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WarmUpTest {
    /** The upper bound of a warm-up's duration, far longer than its time limit. */
    private static final double TIMEOUT_SECONDS = 10;

    private static final RoutingSettings SETTINGS = settings(new RequestClass(
            "any",
            RequestClass.Idempotency.IDEMPOTENT,
            RequestClass.ConsistencyLevel.EVENTUAL,
            1,
            2,
            1,
            0,
            null,
            0,
            0));

    private static RoutingSettings settings(RequestClass requestClass) {
        return new RoutingSettings(
                1, "a", List.of(requestClass), true, true, true, true, true, true, true, true, 1, 3, 1, 0, 1, 0, 1, 15);
    }

    /** If sockets deliver no data, waiting for each answer would delay the start of serving by minutes. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, true", "false, false"})
    void warmUpEndsInTimeAndReportsWhetherItsSocketsWork(boolean inProcess, boolean connected) throws Exception {
        Transport transport = inProcess ? Transport.inProcess() : Transport.unixSockets();
        Transport clientTransport = connected ? transport : Transport.unixSockets();
        long startedAt = System.nanoTime();
        assertEquals(connected, WarmUp.run(SETTINGS, transport, clientTransport, false));
        assertTrue(
                (System.nanoTime() - startedAt) / 1e9 < TIMEOUT_SECONDS,
                "the warm-up waited for answers that cannot arrive");
        if (!connected) {
            clientTransport.close();
        }
    }

    /** A task blocks the event loop before the warm-up starts, so that the router of the warm-up never listens. */
    @Test
    void warmUpEndsInTimeWhenItsEventLoopIsBlocked() throws Exception {
        Transport transport = Transport.inProcess();
        var release = new CountDownLatch(1);
        transport.eventLoop().execute(() -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        var warmUp = CompletableFuture.supplyAsync(() -> run(transport));
        try {
            warmUp.get(20, TimeUnit.SECONDS);
        } finally {
            release.countDown();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void warmUpFailsWhenItsAddressIsInUse(boolean inProcess) throws Exception {
        Transport transport = inProcess ? Transport.inProcess() : Transport.unixSockets();
        transport.listen(transport.ephemeralAddress(5), () -> new ChannelHandler[0]);
        assertFalse(run(transport));
    }

    private static boolean run(Transport transport) {
        try {
            return WarmUp.run(SETTINGS, transport, true);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Open sockets of the warm-up would use up file descriptors that the router needs to serve clients. */
    @Test
    void transportIsClosedAfterWarmUp() throws Exception {
        Transport transport = Transport.unixSockets();
        WarmUp.run(SETTINGS, transport, true);
        assertTrue(transport.eventLoop().isTerminated());
    }

    /**
     * Over in-process channels an answer may arrive before the completion of its request's write is reported. Such a
     * request must count as fully written, so that its answer is accepted.
     */
    @Test
    void answersBeforeWriteCompletionAreAcceptedOverInProcessChannels() throws Exception {
        Transport transport = Transport.inProcess();
        var node = new StubNode(
                transport, transport.ephemeralAddress(1), "primary", any -> StubNode.StubResponse.answer("p"));
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(2), call -> null);
        var requestClass = new RequestClass(
                "posts",
                RequestClass.Idempotency.NON_IDEMPOTENT,
                RequestClass.ConsistencyLevel.WRITE,
                20,
                60,
                1,
                0,
                null,
                0,
                0);
        var settings = settings(requestClass);
        String list = "{\"rev\":2,\"all\":true,\"targets\":[{\"uid\":\"p\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort()
                + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}";
        var server = new Server(
                transport,
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(3),
                        discovery.address(),
                        1,
                        1 << 24,
                        1000,
                        EndpointList.parse(list),
                        settings,
                        1));
        for (int i = 0; i < 20; i++) {
            var client = new StubClient(transport, server.address());
            client.send(
                    StubClient.startupAndFirst(StubClient.statement(true, "id=" + i + ",c=posts,d=30000,cluster=1")));
            assertEquals("ready", client.nextAnswer());
            assertEquals("p", client.nextAnswer());
            client.close();
        }
        server.close();
    }
}
