package clayhook.clustertests;

import clayhook.RequestClass;
import clayhook.RoutingSettings;
import clayhook.config.ConfigurationException;
import clayhook.config.RouterConfiguration;
import clayhook.json.Json;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet of router processes with nodes, discovery, clients and a relay between routers, on which tests inject faults
 * and check the recorded history.
 */
public final class TestCluster implements AutoCloseable {
    /**
     * Router settings in the platform's format, with times far longer than a busy machine needs, so that no result
     * depends on the speed of the machine.
     */
    private static final String SETTINGS_JSON =
            """
            {"balancers": 5, "zone": "%s", "domain": {"read_level": ["any", "bounded", "session", "write", "write"],
            "max_age": [0, 1e9, 0, 0, 0], "when_behind": "off", "write_marks": "%s"}, "limits": {"most_tries": 3},
            "rules": {"start_capacity": 0.2, "warm_after": 2e9, "overload_factor": 3, "overload_for": 1e9}, "grades": [
            {"name": "any", "effect": "idempotent", "aim": 1e9, "hard_limit": 2e9},
            {"name": "bounded", "effect": "idempotent", "aim": 1e9, "hard_limit": 2e9},
            {"name": "session", "effect": "idempotent", "aim": 1e9, "hard_limit": 2e9},
            {"name": "write", "effect": "deduplicated", "group": "cell", "repeat_window": 2e10, "aim": 1e9, "hard_limit": 2e9},
            {"name": "charge", "effect": "at_most_once", "aim": 1e9, "hard_limit": 2e9}]}""";

    private static final RoutingSettings SETTINGS = settings();
    public static final RequestClass BOUNDED = SETTINGS.requestClasses().get(1);
    public static final RequestClass SESSION = SETTINGS.requestClasses().get(2);
    public static final RequestClass WRITE = SETTINGS.requestClasses().get(3);
    public static final RequestClass CHARGE = SETTINGS.requestClasses().get(4);
    private static final List<String> ZONES = List.of("a", "b");
    /** Longer than any start or answer takes in seconds, even if several such tests share a machine. */
    public static final double MAX_WAIT_SECONDS = 60;

    /**
     * Shortest time in milliseconds after a write until a session uses another router; a little longer than routers
     * assume.
     */
    public static final long ROAM_MS = 600;
    /** Number of datagrams after which a link fault counts as effective. */
    private static final int MIN_AFFECTED_DATAGRAMS = 300;
    /** Log line of a router with the number of its members, and the digest and size of each replicated type. */
    private static final Pattern SHARING_REPORT = Pattern.compile("members \\d+ alive \\d+, digests( \\S+=\\w+/\\d+)+");

    private final Transport nodeTransport = Transport.tcp();
    private final Transport clientTransport = Transport.tcp();
    private final HistoryRecorder history = new HistoryRecorder(SETTINGS);
    private final TestReplicaSet replicaSet;
    private final RouterProcesses processes = new RouterProcesses(clientTransport);
    private final List<RouterProcess> routers = processes.all();
    private final DiscoveryServer discovery;
    private final DatagramRelay relay;
    private final long seed;
    private final boolean carriesLastWritePosition;
    private final List<Thread> clientThreads = new ArrayList<>();
    private volatile boolean loadRunning;

    static RoutingSettings settings() {
        try {
            return RouterConfiguration.fromJson(
                            Json.parse(
                                    "{\"name\": \"any\", \"listen\": \"any:1\", \"discovery\": \"any:1\", \"seed\": \"1\","
                                            + " \"settings\": " + SETTINGS_JSON + "}"),
                            Map.of())
                    .settings();
        } catch (ConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Starts the processes, named r0, r1 and so on; returns when all accept requests.
     *
     * @param jar jar of the program
     * @param count number of routers
     * @param sharing additional keys of the table {@code sharing} in the operator's file; null disables sharing
     * @param carriesLastWritePosition whether sessions carry their last-write position; otherwise routers store it
     * @param seed random seed of the relay, the load and the routers
     */
    public TestCluster(Path jar, int count, String sharing, boolean carriesLastWritePosition, long seed)
            throws IOException, InterruptedException {
        this.seed = seed;
        this.carriesLastWritePosition = carriesLastWritePosition;
        replicaSet = new TestReplicaSet(nodeTransport, 3, ZONES, SETTINGS, history);
        replicaSet.recordSlowStartWork();
        List<InetSocketAddress> addresses =
                IntStream.range(0, count).mapToObj(i -> SparePorts.next()).toList();
        relay = new DatagramRelay(clientTransport, addresses, seed);
        discovery = new DiscoveryServer(
                nodeTransport, replicaSet, () -> runningRouters().size());
        for (int i = 0; i < count; i++) {
            var router = new RouterProcess("r" + i, addresses.get(i), RouterProgram.of(jar), processes.folder("r" + i));
            router.configure(platformJson(router, i), operatorToml(i, count, sharing));
            processes.add(router);
            router.start();
        }
        for (RouterProcess router : routers) {
            processes.awaitServing(router, MAX_WAIT_SECONDS);
        }
    }

    private static String quoted(InetSocketAddress address) {
        return '"' + address.getAddress().getHostAddress() + ':' + address.getPort() + '"';
    }

    private String platformJson(RouterProcess router, int number) {
        return "{\"name\": \"" + router.name() + "\", \"listen\": " + quoted(router.address()) + ", \"discovery\": "
                + quoted(discovery.address()) + ", \"seed\": \"" + Long.toHexString(seed + number) + "\", \"known\": "
                + replicaSet.endpointListJson()
                + ", \"settings\": "
                + SETTINGS_JSON.formatted(
                        ZONES.get(number % ZONES.size()), carriesLastWritePosition ? "carried" : "remembered")
                + "}";
    }

    private String operatorToml(int router, int count, String sharing) {
        String nodes = "[nodes]\nuser = \"r" + router + "\"\n";
        String seeds = IntStream.of(router + 1, router + 2)
                .mapToObj(i -> quoted(relay.address(i % count)))
                .collect(Collectors.joining(", "));
        return sharing == null
                ? nodes
                : nodes + "[sharing]\nenabled = true\nlisten = " + quoted(relay.routerAddress(router))
                        + "\nadvertise = " + quoted(relay.address(router)) + "\nseeds = [" + seeds + "]\n" + sharing;
    }

    // ---- components ----

    public List<RouterProcess> routers() {
        return routers;
    }

    public DatagramRelay relay() {
        return relay;
    }

    public TestReplicaSet replicaSet() {
        return replicaSet;
    }

    public DiscoveryServer discovery() {
        return discovery;
    }

    public HistoryRecorder history() {
        return history;
    }

    /** Creates a client with a new session. */
    public LoadClient newClient() {
        return new LoadClient(clientTransport, history, carriesLastWritePosition);
    }

    // ---- faults ----

    /** Begins a fault; returns when processes that it kills have ended. */
    public void begin(ClusterFault fault) throws IOException, InterruptedException {
        if (fault instanceof ClusterFault.Stopped stopped) {
            history.onDown(routers.get(stopped.router()).name());
            routers.get(stopped.router()).signal("STOP");
        } else if (fault instanceof ClusterFault.Killed killed) {
            killed.routers().forEach(i -> history.onDown(routers.get(i).name()));
            killed.routers().forEach(i -> routers.get(i).kill());
            for (int router : killed.routers()) {
                routers.get(router).awaitEnd();
            }
        } else {
            setLinkFaults(fault, true);
        }
    }

    /** Ends a fault; returns when processes that it killed accept requests again. */
    public void end(ClusterFault fault) throws IOException, InterruptedException {
        if (fault instanceof ClusterFault.Stopped stopped) {
            routers.get(stopped.router()).signal("CONT");
            history.onUp(routers.get(stopped.router()).name());
        } else if (fault instanceof ClusterFault.Killed killed) {
            for (int router : killed.routers()) {
                routers.get(router).start();
            }
            for (int router : killed.routers()) {
                processes.awaitServing(routers.get(router), MAX_WAIT_SECONDS);
                history.onUp(routers.get(router).name());
            }
        } else {
            setLinkFaults(fault, false);
        }
    }

    private void setLinkFaults(ClusterFault fault, boolean begins) {
        for (int from = 0; from < routers.size(); from++) {
            for (int to = 0; to < routers.size(); to++) {
                LinkFault linkFault = linkFault(fault, from, to);
                if (linkFault != null) {
                    relay.link(from, to).setFault(begins ? linkFault : LinkFault.NONE);
                }
            }
        }
    }

    /** Returns the effect of a fault on a link; null if the link is not affected. */
    private static LinkFault linkFault(ClusterFault fault, int from, int to) {
        if (fault instanceof ClusterFault.Everywhere everywhere) {
            return everywhere.fault();
        } else if (fault instanceof ClusterFault.Split split) {
            return split.side().contains(from) != split.side().contains(to) ? LinkFault.CUT : null;
        } else if (fault instanceof ClusterFault.OneWay way) {
            return way.from() == from && way.to() == to ? LinkFault.CUT : null;
        }
        return null;
    }

    // ---- load ----

    /** Starts clients that send requests of all classes continuously: two at each router, and two that roam. */
    public void startLoad() {
        loadRunning = true;
        for (int i = 0; i < 2 * routers.size() + 2; i++) {
            int homeRouter = i / 2;
            var random = new Random(seed * 31 + i);
            var thread = new Thread(() -> sendRequests(newClient(), homeRouter, random), "client " + i);
            thread.setDaemon(true);
            thread.start();
            clientThreads.add(thread);
        }
    }

    /**
     * Sends requests until the load ends.
     *
     * @param homeRouter number of the client's router; the client roams if it is the number of routers or higher
     */
    private void sendRequests(LoadClient client, int homeRouter, Random random) {
        try {
            RouterProcess router = routers.get(homeRouter % routers.size());
            while (loadRunning) {
                if (homeRouter >= routers.size() && (history.isDown(router.name()) || random.nextInt(50) == 0)) {
                    Thread.sleep(ROAM_MS);
                    router = routers.get(random.nextInt(routers.size()));
                } else {
                    client.exchange(
                            router,
                            SETTINGS.requestClasses()
                                    .get(random.nextInt(
                                            SETTINGS.requestClasses().size())));
                    Thread.sleep(1 + random.nextInt(5)); // the client's own work between requests
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            client.close();
        }
    }

    /** Stops the load; returns when the last request has ended. */
    public void stopLoad() throws InterruptedException {
        loadRunning = false;
        for (Thread client : clientThreads) {
            client.join();
        }
        clientThreads.clear();
    }

    // ---- conditions ----

    /** Waits until a condition holds; returns false if it does not hold within {@link #MAX_WAIT_SECONDS}. */
    public boolean await(BooleanSupplier condition) throws InterruptedException {
        return RouterProcesses.await(condition, MAX_WAIT_SECONDS);
    }

    /** Waits until each of the routers has answered that many more requests of the load with a value. */
    public boolean awaitServed(List<RouterProcess> targets, int requests) throws InterruptedException {
        List<Integer> before =
                targets.stream().map(router -> history.served(router.name())).toList();
        return await(() -> IntStream.range(0, targets.size())
                .allMatch(i -> history.served(targets.get(i).name()) >= before.get(i) + requests));
    }

    /** The routers that are neither stopped nor killed. */
    public List<RouterProcess> runningRouters() {
        return routers.stream().filter(router -> !history.isDown(router.name())).toList();
    }

    /**
     * The last log line of a router on its members and replicated types, after the first {@code mark} lines; empty if
     * there is none.
     */
    private static String lastSharingReport(RouterProcess router, int mark) {
        String report = router.lastMatch(mark, SHARING_REPORT);
        return report == null ? "" : report;
    }

    /** Waits until a fault has an effect on routers or datagrams; for tests with sharing. */
    public boolean awaitEffect(ClusterFault fault) throws InterruptedException {
        boolean affectsMembers = !(fault instanceof ClusterFault.Everywhere || fault instanceof ClusterFault.OneWay);
        long minReceived = relay.count(NetworkLink.Delivery.RECEIVED) + MIN_AFFECTED_DATAGRAMS;
        String allAlive = "alive " + routers.size() + ",";
        return await(() -> affectsMembers
                ? runningRouters().isEmpty()
                        || runningRouters().stream().anyMatch(router -> !lastSharingReport(router, 0)
                                .contains(allAlive))
                : relay.count(NetworkLink.Delivery.RECEIVED) > minReceived);
    }

    /** Waits until all routers are alive for each other and have equal copies of all replicated types. */
    public boolean awaitConvergence() throws InterruptedException {
        int[] marks = routers.stream().mapToInt(RouterProcess::logMark).toArray();
        String allAlive = "members " + marks.length + " alive " + marks.length + ",";
        return await(() -> {
            List<String> all = IntStream.range(0, marks.length)
                    .mapToObj(i -> lastSharingReport(routers.get(i), marks[i]))
                    .toList();
            return all.get(0).startsWith(allAlive) && all.stream().distinct().count() == 1;
        });
    }

    /** The last log lines of each router, for failure messages. */
    public String logs() {
        return processes.lastLogLines();
    }

    @Override
    public void close() throws IOException {
        try {
            processes.killAll();
            stopLoad();
            processes.awaitEnds();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        nodeTransport.close();
        clientTransport.close();
        processes.deleteFiles();
    }
}
