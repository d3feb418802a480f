package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.EndpointListDelivery;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.protocol.KeyValueStatement;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a router that starts with an old list where changes of the list are pushed, and discovery answers late. */
class PushedEndpointListTest {
    private static final int TIMEOUT_SECONDS = 20;

    private static final double DRAIN_GRACE_SECONDS = 0.5;
    private static final String UNCHANGED = "{\"rev\":2,\"all\":false,\"targets\":[]}";

    private final Transport transport = Transport.tcp();
    private final Transport routerTransport = Transport.tcp();
    private final LinkedBlockingQueue<KeyValueStatement> received = new LinkedBlockingQueue<>();
    /** The answer to the first poll; it is sent only by the test. */
    private final CompletableFuture<Predicate<String>> firstPoll = new CompletableFuture<>();
    /** Whether the service answers polls that do not wait, except the first one. */
    private volatile boolean answersChecks;

    private Server server;
    private StubClient client;

    private void start(boolean healthChecksAllowed) throws InterruptedException {
        // A node that answers no health checks, so that only the list can show that it accepts requests.
        var node = new StubNode(transport, transport.ephemeralAddress(0), StubNode.UNRESPONSIVE, statement -> {
            received.add(statement);
            return StubResponse.answer("done");
        });
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(0), this::onPoll);
        var any = new RequestClass(
                "any",
                Idempotency.IDEMPOTENT,
                ConsistencyLevel.EVENTUAL,
                50,
                60,
                1,
                0,
                DeduplicationScope.REPLICA_SET,
                60,
                0);
        var settings = new RoutingSettings(
                1,
                "a",
                List.of(any),
                true,
                true,
                false,
                true,
                healthChecksAllowed,
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
        String known = "{\"rev\":2,\"all\":true,\"targets\":[{\"uid\":\"n\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"boot_ms\":0}]}";
        server = new Server(
                routerTransport,
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 24,
                        1024,
                        EndpointList.parse(known),
                        settings,
                        2,
                        new EndpointListDelivery(true, DRAIN_GRACE_SECONDS)));
        client = new StubClient(transport, server.address());
    }

    private void onPoll(String call, Predicate<String> answer) {
        if (!firstPoll.complete(answer) && answersChecks && call.contains("wait_ms=0 ")) {
            assertTrue(answer.test(UNCHANGED));
        }
    }

    @AfterEach
    void close() {
        server.close();
        transport.close();
    }

    /**
     * Guards against requests at a node that began to drain while the router was down: no request is sent by the list
     * that the router had, before discovery has confirmed it, and none is lost for the wait. Where the node could
     * confirm itself, an answer that comes late is no confirmation, but that to the next check is.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void listWithWhichTheRouterStartsIsUsedOnceDiscoveryHasConfirmedIt(boolean healthChecksAllowed) throws Exception {
        start(healthChecksAllowed);
        client.send(StubClient.startupAndFirst(StubClient.statement(false, "id=1,c=any,d=60000,cluster=1")));
        assertEquals("ready", client.nextAnswer());
        assertNull(received.poll(1, TimeUnit.SECONDS));
        answersChecks = true;
        assertTrue(firstPoll.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).test(UNCHANGED));
        assertEquals("done", client.nextAnswer());
    }
}
