package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServerLifecycleTest {
    private final Transport transport = Transport.tcp();
    private final ServerLifecycle lifecycle = new ServerLifecycle();

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void noServerStartsAfterShutdownWasRequested() throws Exception {
        lifecycle.shutDown();
        assertNull(lifecycle.start(() -> {
            throw new IllegalStateException("a server started after shutdown was requested");
        }));
    }

    /** Shutdown is requested after the listener has accepted a client and before the start has returned. */
    @Test
    void shutdownDuringStartupWaitsForTheServerAndAnswersItsClients() throws Exception {
        var listening = new CompletableFuture<Server>();
        var mayReturn = new CountDownLatch(1);
        var starting = CompletableFuture.supplyAsync(() -> start(listening, mayReturn));
        var client = new StubClient(transport, listening.get().address());
        client.send(StubClient.startupAndFirst(StubClient.statement(false, "id=1,c=any,d=500,cluster=1")));
        assertEquals("ready", client.nextAnswer());
        var shutdown = new Thread(() -> {
            try {
                lifecycle.shutDown();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        shutdown.start();
        while (shutdown.getState() != Thread.State.BLOCKED && shutdown.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
        mayReturn.countDown();
        assertEquals("53300", client.nextAnswer());
        assertEquals("57P03 closed", client.nextAnswer());
        shutdown.join();
        starting.get();
    }

    private Server start(CompletableFuture<Server> listening, CountDownLatch mayReturn) {
        try {
            return lifecycle.start(() -> {
                Server server = server();
                listening.complete(server);
                mayReturn.await();
                return server;
            });
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a server without a reachable node. */
    private Server server() throws InterruptedException {
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(0), call -> null);
        var settings = new RoutingSettings(
                1,
                "a",
                List.of(new RequestClass(
                        "any",
                        Idempotency.IDEMPOTENT,
                        ConsistencyLevel.EVENTUAL,
                        0.5,
                        0.5,
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
        String list = "{\"rev\":2,\"all\":true,\"targets\":[{\"uid\":\"p\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\","
                + "\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}";
        return new Server(
                Transport.tcp(),
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 24,
                        1024,
                        EndpointList.parse(list),
                        settings,
                        2));
    }
}
