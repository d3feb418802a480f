package clayhook.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.Role;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.fleet.state.StateSettings;
import clayhook.sharing.PeerSharing;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GossipTransportTest {
    /** The longest wait for a condition in seconds; far longer than any condition takes. */
    private static final double WAIT_LIMIT = 20;
    /** Seconds; shorter than the default, since the routers of a test start with little state. */
    private static final double BOOTSTRAP_TIMEOUT = 0.5;

    private static final InetSocketAddress DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final AttemptResult ANSWER =
            new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.PRIMARY, 1e9, Role.UNKNOWN, 0, 3);
    private final List<PeerSharing> openTransports = new ArrayList<>();
    private final Map<String, PeerObservation> observations = new ConcurrentHashMap<>();
    private final Map<String, EndpointList.DiscoveredEndpoint> endpoints = new ConcurrentHashMap<>();

    @AfterEach
    void close() {
        openTransports.forEach(PeerSharing::close);
    }

    private static double now() {
        return System.currentTimeMillis() / 1000.0;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (double until = now() + WAIT_LIMIT; !condition.getAsBoolean(); Thread.sleep(5)) {
            assertTrue(now() < until, () -> "condition not met within " + WAIT_LIMIT + " s");
        }
    }

    private static SharingSettings settings(int port, List<InetSocketAddress> seeds) {
        return new SharingSettings(
                at(port), null, null, seeds, 0.5, 60, 0.5, 128 << 10, 4 << 20, 10, true, true, true, true, 86_400,
                true);
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private GossipTransport start(String name, int port, int... seeds) throws IOException {
        var settings = new RoutingSettings(
                2, "a", List.of(), true, true, false, false, true, true, true, true, 1, 3, 0.2, 10, 3, 3, 1, 15);
        StateSettings defaults = StateSettings.DEFAULT;
        var transport = GossipTransport.open(
                settings(
                        port,
                        Arrays.stream(seeds).mapToObj(GossipTransportTest::at).toList()),
                new RouterConfiguration(
                        name, at(0), DISCOVERY, 1, 1 << 24, 100, new EndpointList(0, true, List.of()), settings, 1),
                new StateSettings(
                        defaults.broadcastInterval(),
                        defaults.fanout(),
                        defaults.maxMessagesPerRound(),
                        defaults.broadcastBytesPerSecond(),
                        defaults.deltaLifetime(),
                        defaults.maxPendingDeltas(),
                        defaults.antiEntropyInterval(),
                        defaults.antiEntropyBytesPerSecond(),
                        defaults.retryTimeout(),
                        defaults.peerTimeout(),
                        defaults.maxOutstandingRequests(),
                        defaults.catchUpBytesPerSecond(),
                        defaults.maxPushBytes(),
                        defaults.versionGossipInterval(),
                        defaults.maxClockSkew(),
                        defaults.digestExclusionMargin(),
                        BOOTSTRAP_TIMEOUT,
                        defaults.stallThreshold(),
                        defaults.maxSweptEntries()));
        openTransports.add(transport);
        assertEquals(999.5, transport.requiredPosition("s", 1000), "a request may arrive before attach");
        transport.attach(Runnable::run, DISCOVERY, new PeerSharing.PeerListener() {
            @Override
            public void onPeerUpdate(Map<String, PeerObservation> nodes) {
                nodes.forEach((node, observation) -> observations.put(name + " " + node, observation));
            }

            @Override
            public void onPeerUpdate(Collection<EndpointList> changes) {
                changes.forEach(
                        change -> change.endpoints().forEach(entry -> endpoints.put(name + " " + entry.id(), entry)));
            }
        });
        assertTrue(
                transport.requiredPosition("s", now()) > now() - 1,
                "without state a read must cover every write that may have happened");
        transport.start();
        return transport;
    }

    private static EndpointList endpointList() {
        return EndpointList.parse(
                "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"n\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\","
                        + "\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}");
    }

    private static void assertSessionWriteReaches(GossipTransport sender, GossipTransport receiver)
            throws InterruptedException {
        double position = now() - 10;
        sender.recordSessionWrite("s", 1, position);
        await(() -> receiver.requiredPosition("s", now()) == position);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void sharesEventsWithAllRoutersAndWithARestartedOne(int routers) throws Exception {
        GossipTransport first = start("r0", 0);
        int seed = first.address().port();
        var others = new ArrayList<GossipTransport>();
        for (int i = 1; i < routers; i++) {
            others.add(start("r" + i, 0, seed));
        }
        first.recordEndpointList(DISCOVERY, endpointList());
        double position = now() - 10;
        first.recordSessionWrite("s", 1, position);
        for (int i = 1; i < routers; i++) {
            GossipTransport other = others.get(i - 1);
            String node = "r" + i + " n";
            await(() -> other.requiredPosition("s", now()) == position
                    && other.requiredPosition("t", now()) < position
                    && endpoints.containsKey(node));
            other.recordEndpointList(DISCOVERY, endpointList());
            await(() -> {
                first.recordObservation(new Node("n", "a", 1), ANSWER, now());
                return observations.containsKey(node);
            });
            assertEquals(
                    List.of(1e9, 3.0),
                    List.of(
                            observations.get(node).appliedPosition(),
                            observations.get(node).load()));
        }
        // One router is closed without announcing it, and restarts at once at the same address without state.
        others.get(0).close();
        GossipTransport restarted = start("r1", others.get(0).address().port(), seed);
        await(() -> restarted.requiredPosition("s", now()) == position);
        others.get(0).leave();
        restarted.leave();
    }

    @Test
    void ignoresRandomDatagrams() throws Exception {
        GossipTransport first = start("r0", 0);
        var random = new Random(1);
        try (var socket = new DatagramSocket()) {
            for (int i = 0; i < 2000; i++) {
                var bytes = new byte[random.nextInt(4000)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(
                        bytes, bytes.length, at(first.address().port())));
            }
        }
        GossipTransport second = start("r1", 0, first.address().port());
        assertSessionWriteReaches(first, second);
    }

    @Test
    void contactsSeedAddedByReload() throws Exception {
        GossipTransport first = start("r0", 0);
        GossipTransport second = start("r1", 0);
        second.reload(settings(0, List.of(at(first.address().port()))));
        assertSessionWriteReaches(first, second);
    }

    @Test
    void reportsAddressThatIsInUse() throws Exception {
        int port = start("r0", 0).address().port();
        IOException thrown = assertThrows(IOException.class, () -> start("r1", port));
        assertTrue(thrown.getMessage().contains("sharing.listen: 127.0.0.1:" + port), thrown::getMessage);
    }

    @Test
    void fullEventQueueDropsAndCountsEventsAndWakesConsumerOnce() {
        var wakeUps = new AtomicInteger();
        var queue = new EventQueue(wakeUps::incrementAndGet);
        assertTrue(queue.beginWait());
        for (int i = 0; i < EventQueue.REPLACEABLE_CAPACITY + 10; i++) {
            queue.add(new LocalEvent.AttemptFinished(new Node("n", "a", 1), ANSWER, 0));
        }
        for (int i = 0; i < EventQueue.ESSENTIAL_CAPACITY + 10; i++) {
            queue.add(new LocalEvent.SessionWriteCommitted("s", 1, i));
        }
        assertEquals(
                List.of(10L, 10L, 1), List.of(queue.droppedReplaceable(), queue.droppedEssential(), wakeUps.get()));
        int drained = 0;
        for (int batch = 1; batch > 0; drained += batch) {
            batch = queue.drain(event -> {});
        }
        assertEquals(EventQueue.REPLACEABLE_CAPACITY + EventQueue.ESSENTIAL_CAPACITY, drained);
    }

    @Test
    void conflatingQueueDeliversLatestValuePerKeyInOneTask() {
        var tasks = new ArrayDeque<Runnable>();
        var delivered = new HashMap<Integer, Integer>();
        var queue = new ConflatingQueue<Integer, Integer>(tasks::add, delivered::putAll);
        for (int i = 0; i < 3 * ConflatingQueue.MAX_BATCH; i++) {
            queue.put(i / 2, i);
            assertEquals(1, tasks.size());
        }
        tasks.poll().run();
        assertEquals(List.of(ConflatingQueue.MAX_BATCH, 1), List.of(delivered.size(), tasks.size()));
        tasks.poll().run();
        assertEquals(0, tasks.size());
        delivered.forEach((key, value) -> assertEquals(2 * key + 1, value));
    }
}
