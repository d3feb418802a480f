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
    /** Where sockets carry nothing, waiting for each answer took minutes before serving. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, true", "false, false"})
    void warmUpEndsInTimeAndReportsWhetherItsSocketsWork(boolean process, boolean carried) throws Exception {
        Transport transport = process ? Transport.inProcess() : Transport.unixSockets();
        Transport outside = carried ? transport : Transport.unixSockets();
        var any = new RequestClass(
                "any",
                RequestClass.Idempotency.IDEMPOTENT,
                RequestClass.ConsistencyLevel.EVENTUAL,
                1,
                2,
                1,
                0,
                null,
                0,
                0);
        var settings = new RoutingSettings(
                1, "a", List.of(any), true, true, true, true, true, true, true, true, 1, 3, 1, 0, 1, 0, 1, 15);
        double from = System.nanoTime() / 1e9;
        assertEquals(carried, WarmUp.run(settings, transport, outside, false));
        assertTrue(System.nanoTime() / 1e9 - from < 10, "it waited for answers that cannot come");
        if (!carried) {
            outside.close();
        }
    }

    /** Nothing is done on the loop from the start on, so that it never listens. */
    @Test
    void blockedEventLoopDoesNotDelayTheStart() throws Exception {
        Transport transport = Transport.inProcess();
        var hangs = new CountDownLatch(1);
        transport.eventLoop().execute(() -> {
            try {
                hangs.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        var rehearsal = CompletableFuture.supplyAsync(() -> run(transport));
        try {
            rehearsal.get(20, TimeUnit.SECONDS);
        } finally {
            hangs.countDown();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void warmUpIsSkippedWhenItsSocketsCannotBeCreated(boolean process) throws Exception {
        Transport transport = process ? Transport.inProcess() : Transport.unixSockets();
        transport.listen(transport.ephemeralAddress(5), () -> new ChannelHandler[0]);
        assertFalse(run(transport));
    }

    private static boolean run(Transport transport) {
        var any = new RequestClass(
                "any",
                RequestClass.Idempotency.IDEMPOTENT,
                RequestClass.ConsistencyLevel.EVENTUAL,
                1,
                2,
                1,
                0,
                null,
                0,
                0);
        try {
            return WarmUp.run(
                    new RoutingSettings(
                            1,
                            "a",
                            List.of(any),
                            true,
                            true,
                            true,
                            true,
                            true,
                            true,
                            true,
                            true,
                            1,
                            3,
                            1,
                            0,
                            1,
                            0,
                            1,
                            15),
                    transport,
                    true);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Else its sockets would count against the descriptors of the process that serves by then. */
    @Test
    void everySocketIsClosedAfterWarmUp() throws Exception {
        Transport transport = Transport.unixSockets();
        var any = new RequestClass(
                "any",
                RequestClass.Idempotency.IDEMPOTENT,
                RequestClass.ConsistencyLevel.EVENTUAL,
                1,
                2,
                1,
                0,
                null,
                0,
                0);
        WarmUp.run(
                new RoutingSettings(
                        1, "a", List.of(any), true, true, true, true, true, true, true, true, 1, 3, 1, 0, 1, 0, 1, 15),
                transport,
                true);
        assertTrue(transport.eventLoop().isTerminated());
    }

    /** An answer may come there before its request was told to be written; it is no answer to half a request. */
    @Test
    void everyAnswerCountsOverInProcessChannels() throws Exception {
        Transport transport = Transport.inProcess();
        var node = new StubNode(
                transport, transport.ephemeralAddress(1), "primary", any -> StubNode.StubResponse.answer("p"));
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(2), call -> null);
        var posts = new RequestClass(
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
        var settings = new RoutingSettings(
                1, "a", List.of(posts), true, true, true, true, true, true, true, true, 1, 3, 1, 0, 1, 0, 1, 15);
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
