package clayhook.serve;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.protocol.KeyValueStatement;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the steps of a graceful shutdown, each of which the test itself triggers. */
class ShutdownTest {
    private final Transport transport = Transport.tcp();
    private final Transport routerTransport = Transport.tcp();
    private final LinkedBlockingQueue<KeyValueStatement> sent = new LinkedBlockingQueue<>();
    private Router router;

    private void start(Function<KeyValueStatement, StubNode.StubResponse> behaviour) throws InterruptedException {
        var node = new StubNode(transport, transport.ephemeralAddress(0), "primary", statement -> {
            sent.add(statement);
            return behaviour.apply(statement);
        });
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(0), call -> null);
        var settings = new RoutingSettings(
                1,
                "a",
                List.of(
                        new RequestClass(
                                "any",
                                Idempotency.IDEMPOTENT,
                                ConsistencyLevel.EVENTUAL,
                                20,
                                60,
                                1,
                                0,
                                DeduplicationScope.REPLICA_SET,
                                60,
                                0),
                        new RequestClass(
                                "mutating",
                                Idempotency.NON_IDEMPOTENT,
                                ConsistencyLevel.WRITE,
                                20,
                                60,
                                1,
                                0,
                                DeduplicationScope.REPLICA_SET,
                                60,
                                0)),
                true,
                true,
                false,
                true,
                true,
                true,
                true,
                true,
                1,
                3,
                0.2,
                10,
                3,
                3,
                1,
                15);
        String list = "{\"rev\":2,\"all\":true,\"targets\":[{\"uid\":\"p\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort()
                + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}";
        router = new Router(
                routerTransport,
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 24,
                        1024,
                        EndpointList.parse(list),
                        settings,
                        2),
                OperatorConfiguration.DEFAULTS,
                null);
    }

    private static ByteBuf statement(int id, String requestClass) {
        return StubClient.statement(
                !requestClass.equals("any"), "id=" + id + ",c=" + requestClass + ",d=30000,cluster=1");
    }

    private StubClient client(ByteBuf... statements) throws InterruptedException {
        var client = new StubClient(transport, router.address());
        client.send(StubClient.startupAndFirst(Unpooled.wrappedBuffer(statements)));
        return client;
    }

    @AfterEach
    void close() {
        routerTransport.close();
        transport.close();
    }

    @Test
    void pipelinedRequestsAreAnsweredWhenPendingOnesAreFailed() throws Exception {
        start(any -> StubNode.StubResponse.silence());
        StubClient client = client(statement(1, "mutating"), statement(2, "any"), statement(3, "mutating"));
        sent.take();
        routerTransport.eventLoop().submit(router::drain).get();
        routerTransport.eventLoop().submit(router::failPendingRequests).get();
        assertEquals(
                List.of("ready", "40003", "53300", "53300 closed"),
                List.of(client.nextAnswer(), client.nextAnswer(), client.nextAnswer(), client.nextAnswer()));

        assertEquals(0, sent.size(), "a failed request reached a node");
    }

    @Test
    void requestReceivedAfterPendingOnesWereFailedIsRejectedAndReachesNoNode() throws Exception {
        start(any -> StubNode.StubResponse.answer("served"));
        StubClient client = client(statement(1, "any"));
        assertEquals(List.of("ready", "served"), List.of(client.nextAnswer(), client.nextAnswer()));
        routerTransport.eventLoop().submit(router::failPendingRequests).get();
        client.send(statement(2, "any"));
        assertEquals("53300", client.nextAnswer());
        assertEquals(1, sent.size());
    }

    /** The event loop is blocked until the kernel has accepted all connections; its next step is the drain. */
    @Test
    void connectionsInTheAcceptBacklogAreServedBeforeTheListenerCloses() throws Exception {
        start(any -> StubNode.StubResponse.answer("served"));
        var blocked = new CountDownLatch(1);
        var mayContinue = new CountDownLatch(1);
        routerTransport.eventLoop().execute(() -> {
            blocked.countDown();
            await(mayContinue);
        });
        blocked.await();
        routerTransport.eventLoop().execute(router::drain);
        var sockets = new ArrayList<Socket>();
        for (int i = 0; i < 40; i++) {
            var socket =
                    new Socket(router.address().getAddress(), router.address().getPort());
            socket.setSoTimeout(20_000);
            ByteBuf hello = StubClient.startupAndFirst(statement(i, "any"));
            hello.readBytes(socket.getOutputStream(), hello.readableBytes());
            sockets.add(socket);
        }
        mayContinue.countDown();
        for (Socket socket : sockets) {
            String all = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertTrue(all.contains("served"), "closed without an answer");
            socket.close();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
