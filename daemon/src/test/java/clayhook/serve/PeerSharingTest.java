package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import io.netty.buffer.ByteBuf;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests with complete routers on loopback that share a change of the endpoint list that only one of them received. */
class PeerSharingTest {
    private static final int ROUTERS = 3;
    /**
     * The number of successive reads that must not reach a draining node; a router that has not received the drain
     * sends all reads to that node.
     */
    private static final int READS = 20;
    /** The time limit for a router to stop using the draining node; far longer than needed. */
    private static final double TIMEOUT_SECONDS = 20;

    private final Transport transport = Transport.tcp();
    private final List<Server> servers = new ArrayList<>();
    private final List<InetSocketAddress> peerAddresses = new ArrayList<>();
    /** The number of polls that could be answered with the drain; only the first one is, so that one router gets it. */
    private final AtomicInteger drainAnswers = new AtomicInteger();

    private StubDiscovery discovery;
    private String endpointListJson;

    @AfterEach
    void close() {
        servers.forEach(Server::close);
        transport.close();
    }

    private String entry(String role, String state, StubNode node) {
        return "{\"uid\":\"" + role + "\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"" + state + "\",\"role\":\""
                + role + "\",\"boot_ms\":0}";
    }

    private Server start(int number) throws Exception {
        var requestClass = new RequestClass(
                "any",
                Idempotency.IDEMPOTENT,
                ConsistencyLevel.EVENTUAL,
                20,
                60,
                1,
                0,
                DeduplicationScope.REPLICA_SET,
                60,
                0);
        var settings = new RoutingSettings(
                ROUTERS,
                "a",
                List.of(requestClass),
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
        var sharing = new SharingSettings(
                peerAddresses.get(number),
                null,
                null,
                peerAddresses,
                0.5,
                60,
                0.5,
                128 << 10,
                4 << 20,
                10,
                true,
                true,
                true,
                true,
                86_400,
                true);
        return new Server(
                Transport.tcp(),
                new RouterConfiguration(
                        "r" + number,
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        number + 1,
                        1 << 24,
                        1024,
                        EndpointList.parse(endpointListJson),
                        settings,
                        2),
                new OperatorConfiguration(null, "clayhook", "core", sharing));
    }

    @Test
    void drainReceivedByOneRouterStopsTrafficOfAllRoutersIncludingARestartedOne() throws Exception {
        var primary = new StubNode(
                transport, transport.ephemeralAddress(0), "primary", any -> StubNode.StubResponse.answer("primary"));
        var replica = new StubNode(
                transport, transport.ephemeralAddress(0), "replica", any -> StubNode.StubResponse.answer("replica"));
        endpointListJson = "{\"rev\":2,\"all\":true,\"targets\":[" + entry("primary", "up", primary) + ","
                + entry("replica", "up", replica) + "]}";
        String drain = "{\"rev\":3,\"all\":false,\"targets\":[" + entry("replica", "draining", replica) + "]}";
        discovery = new StubDiscovery(
                transport,
                transport.ephemeralAddress(0),
                call -> call.contains("after=2&") && drainAnswers.getAndIncrement() == 0 ? drain : null);
        for (int i = 0; i < ROUTERS; i++) {
            try (var free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                peerAddresses.add((InetSocketAddress) free.getLocalSocketAddress());
            }
        }
        for (int i = 0; i < ROUTERS; i++) {
            servers.add(start(i));
        }
        for (Server server : servers) {
            awaitReplicaUnused(server);
        }
        servers.get(0).close();
        servers.set(0, start(0));
        awaitReplicaUnused(servers.get(0));
    }

    private void awaitReplicaUnused(Server server) throws InterruptedException {
        var client = new StubClient(transport, server.address());
        client.send(StubClient.startupAndFirst(read()));
        client.nextAnswer();
        double until = System.nanoTime() / 1e9 + TIMEOUT_SECONDS;
        for (int row = 0; row < READS; row = client.nextAnswer().equals("primary") ? row + 1 : 0) {
            assertTrue(System.nanoTime() / 1e9 < until, "reads still reach the draining node");
            client.send(read());
        }
        client.close();
    }

    private static ByteBuf read() {
        return StubClient.statement(false, "id=1,c=any,d=30000,cluster=1");
    }
}
