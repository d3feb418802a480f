package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.RequestClass;
import clayhook.RoutingSettings;
import clayhook.config.ConfigurationException;
import clayhook.config.RouterConfiguration;
import clayhook.json.Json;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * A fleet of router processes with one discovery service, one replica set and a low load at each router, for tests with
 * faults of discovery, of nodes and of the processes. The rules are checked by {@link HistoryRecorder},
 * {@link DrainAudit}, {@link SlowStartAudit} and {@link AttemptAudit}.
 */
public final class RouterFleet implements AutoCloseable {
    /** Router settings with times far longer than a busy machine needs; {@link DrainAudit} checks drains. */
    private static final String SETTINGS_JSON =
            """
            {"balancers": %1$d, "zone": "%2$s", "domain": {"read_level": ["any", "bounded", "write", "write"],
            "max_age": [0, 1e9, 0, 0], "when_behind": "off", "write_marks": "carried"}, "limits": {"most_tries": 3, "probing": %3$s},
            "rules": {"start_capacity": 0.2, "warm_after": 1e10, "overload_factor": 2, "overload_for": 1e9}, "grades": [
            {"name": "any", "effect": "idempotent", "aim": %4$s, "hard_limit": %5$s},
            {"name": "bounded", "effect": "idempotent", "aim": %4$s, "hard_limit": %5$s},
            {"name": "write", "effect": "deduplicated", "group": "cell", "repeat_window": 2e10, "aim": %4$s, "hard_limit": %5$s},
            {"name": "charge", "effect": "at_most_once", "aim": %4$s, "hard_limit": %5$s}]}""";

    private static final List<String> ZONES = List.of("a", "b");
    /** Longer than the start of any process takes, even on a busy machine. */
    private static final double START_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Latency objective as a fraction of the client timeout. */
    private static final double LATENCY_OBJECTIVE_SHARE = 0.5;
    /** Longest pause of a client between two requests; each router gets a few dozen requests per second. */
    private static final int MAX_THINK_MS = 150;

    private static final int CLIENTS_PER_ROUTER = 2;
    /** Lower bound of a warm node's capacity in requests per second and router; the load is about three. */
    private static final double NODE_CAPACITY_PER_ROUTER = 4;
    /** On average one in this many requests is abandoned by its client. */
    private static final int REQUESTS_PER_DISCONNECT = 10;

    private static final double MAX_CLIENT_WAIT_SECONDS = 0.3;
    /** Seconds by which this machine may delay a node's read of a request while it runs all processes and nodes. */
    private static final double MACHINE_SECONDS = 0.35;
    /** Seconds for which draining nodes continue to execute requests. */
    private static final double DRAIN_LEAD_SECONDS = 2;

    private final Transport nodeTransport = Transport.tcp();
    private final Transport clientTransport = Transport.tcp();
    private final RoutingSettings settings;
    private final HistoryRecorder history;
    private final EndpointNotifications notifications = new EndpointNotifications();
    private final DrainAudit drains = new DrainAudit(notifications, MACHINE_SECONDS);
    private final SlowStartAudit slowStarts;
    private final TestReplicaSet replicaSet;
    private final QueueingDiscovery discovery;
    private final ProcessStalls stalls = new ProcessStalls();
    private final RouterProcesses processes = new RouterProcesses(clientTransport);
    private final List<Thread> clientThreads = new ArrayList<>();
    private final Map<LoadClient.Answer, Integer> answers = new EnumMap<>(LoadClient.Answer.class);
    private final FleetSpec spec;
    private final List<ShutdownScenario.Result> shutdowns = new ArrayList<>();
    private volatile boolean loadRunning = true;

    /** Starts the processes, named r0, r1 and so on; returns when all accept requests. */
    public RouterFleet(FleetSpec spec) throws IOException, InterruptedException {
        this.spec = spec;
        settings = parseSettings();
        history = new HistoryRecorder(settings);
        replicaSet = new TestReplicaSet(nodeTransport, spec.nodeCount(), ZONES, settings, history);
        if (spec.nodesBehindRelays()) {
            for (ClusterNode node : replicaSet.nodes()) {
                node.putBehindRelay();
            }
        }
        replicaSet.rejectWhileDraining(DRAIN_LEAD_SECONDS);
        slowStarts = new SlowStartAudit(notifications, settings, NODE_CAPACITY_PER_ROUTER * spec.routerCount());
        replicaSet.addRequestListener(drains::onRequest);
        replicaSet.addRequestListener(slowStarts::onRequest);
        replicaSet.addRequestListener(history.attempts()::onAttempt);
        List<String> names =
                IntStream.range(0, spec.routerCount()).mapToObj(i -> "r" + i).toList();
        discovery = new QueueingDiscovery(
                nodeTransport, replicaSet, notifications, this::onChange, names, spec.allCallsSeconds() / names.size());
        for (String name : names) {
            var router = new RouterProcess(name, SparePorts.next(), spec.program(), processes.folder(name));
            processes.add(router);
            configure(router, routers().indexOf(router));
        }
        start(routers());
    }

    private void onChange(TestReplicaSet changed) {
        drains.onListChange(changed);
        slowStarts.onListChange(changed);
    }

    private RoutingSettings parseSettings() {
        try {
            String file = "{\"name\": \"any\", \"listen\": \"any:1\", \"discovery\": \"any:1\", \"seed\": \"1\","
                    + " \"settings\": " + settingsJson(ZONES.get(0)) + "}";
            return RouterConfiguration.fromJson(Json.parse(file), Map.of()).settings();
        } catch (ConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    private String settingsJson(String zone) {
        double timeout = spec.clientTimeoutSeconds();
        return SETTINGS_JSON.formatted(
                spec.routerCount(),
                zone,
                spec.healthChecksAllowed(),
                (long) (timeout * LATENCY_OBJECTIVE_SHARE * NANOS_PER_SECOND),
                (long) (timeout * NANOS_PER_SECOND));
    }

    private static String quoted(InetSocketAddress address) {
        return '"' + address.getAddress().getHostAddress() + ':' + address.getPort() + '"';
    }

    private void configure(RouterProcess router, int number) throws IOException {
        router.configure(platformJson(router, number), "[nodes]\nuser = \"" + router.name() + "\"\n");
    }

    private String platformJson(RouterProcess router, int number) {
        return "{\"name\": \"" + router.name() + "\", \"listen\": " + quoted(router.address()) + ", \"discovery\": "
                + quoted(discovery.address(number)) + ", \"seed\": \"" + Long.toHexString(spec.seed() * 1000 + number)
                + "\", \"known\": " + replicaSet.endpointListJson() + ", \"settings\": "
                + settingsJson(ZONES.get(number % ZONES.size())) + ", \"limits\": {\"sockets\": "
                + spec.descriptors() + "}}";
    }

    // ---- components ----

    public List<RouterProcess> routers() {
        return processes.all();
    }

    public QueueingDiscovery discovery() {
        return discovery;
    }

    public List<ClusterNode> nodes() {
        return replicaSet.nodes();
    }

    /** Violations of the rules that {@link HistoryRecorder} checks, by rule; empty if there are none. */
    public Map<?, Integer> brokenRules() {
        return history.brokenRules();
    }

    public String firstViolation() {
        return history.firstViolation();
    }

    public DrainAudit drains() {
        return drains;
    }

    /** A summary of the run, to be reported with the verdict. */
    synchronized String summary() {
        int requests =
                shutdowns.stream().mapToInt(each -> each.records().size()).sum();
        return "answers " + answers + ", shutdowns " + shutdowns.size() + " with " + requests
                + " requests, slow start at most: " + slowStarts.largestWindow()
                + ", stalls of the test process " + stalls;
    }

    /** The audit of the requests that nodes in slow start get. */
    SlowStartAudit slowStarts() {
        return slowStarts;
    }

    /** Adds a listener of the requests that nodes read; it is called on the nodes' event loop. */
    void addRequestListener(Consumer<NodeRequest> listener) {
        replicaSet.addRequestListener(listener);
    }

    /** The audit of the attempts that routers send to nodes for their clients. */
    AttemptAudit attempts() {
        return history.attempts();
    }

    // ---- processes ----

    /** Starts processes with the configured endpoint list of their first start; returns when they accept requests. */
    public void start(Collection<RouterProcess> targets) throws IOException, InterruptedException {
        for (RouterProcess router : targets) {
            notifications.onStarted(router.name());
            router.start();
        }
        for (RouterProcess router : targets) {
            processes.awaitServing(router, START_SECONDS);
            history.onUp(router.name());
        }
    }

    /** Kills processes by SIGKILL; returns when they have ended. */
    public void kill(Collection<RouterProcess> targets) throws InterruptedException {
        targets.forEach(router -> history.onDown(router.name()));
        targets.forEach(RouterProcess::kill);
        for (RouterProcess router : targets) {
            router.awaitEnd();
        }
    }

    /** Records the result of a shutdown of some routers; its violations count for the whole run. */
    synchronized void onShutdown(ShutdownScenario.Result result) {
        shutdowns.add(result);
    }

    /** Results of all shutdowns so far. */
    synchronized List<ShutdownScenario.Result> shutdowns() {
        return List.copyOf(shutdowns);
    }

    /** The size and the settings of the fleet. */
    FleetSpec spec() {
        return spec;
    }

    /** Records that a router gets SIGTERM: it may refuse connections, but owes answers to requests that it admits. */
    void onShuttingDown(RouterProcess router) {
        history.onShuttingDown(router.name());
    }

    /** Records that a process has ended: the router owes no answers until its next start. */
    void onEnded(RouterProcess router) {
        history.onDown(router.name());
    }

    /**
     * Restarts processes and sends them SIGTERM that number of seconds after their start; returns when they have ended.
     */
    void terminateDuringStart(Collection<RouterProcess> targets, double afterSeconds)
            throws IOException, InterruptedException {
        kill(targets);
        for (RouterProcess router : targets) {
            notifications.onStarted(router.name());
            router.start();
        }
        Thread.sleep((long) (afterSeconds * MILLIS_PER_SECOND));
        RouterProcess.signalRunning(targets, "TERM");
        for (RouterProcess router : targets) {
            if (!router.awaitEnd()) {
                throw new IOException(
                        router.name() + " did not end after SIGTERM, sent " + afterSeconds + " s after its start");
            }
        }
    }

    /** Stalls a process for that number of seconds, by SIGSTOP and SIGCONT. */
    public void stall(RouterProcess router, double seconds) throws IOException, InterruptedException {
        router.signal("STOP");
        Thread.sleep((long) (seconds * MILLIS_PER_SECOND));
        router.signal("CONT");
    }

    /** Moves discovery to another address for one router and makes the router reload its files by SIGHUP. */
    public void moveDiscovery(RouterProcess router) throws IOException {
        int number = routers().indexOf(router);
        discovery.switchAddress(number);
        configure(router, number);
        notifications.onReload(router.name());
        router.signal("HUP");
    }

    // ---- nodes ----

    /** Makes another node the primary. */
    public void promote(ClusterNode node) {
        replicaSet.promote(node);
    }

    /** Sets the state of several nodes in one new version of the endpoint list. */
    public void setState(Collection<ClusterNode> targets, Endpoint.State state) {
        targets.forEach(node -> node.setStateWithoutPublishing(state));
        replicaSet.publishList();
    }

    // ---- load ----

    /** Starts the load clients of all routers; a client whose router is down retries. */
    public void startLoad() {
        for (int i = 0; i < CLIENTS_PER_ROUTER * spec.routerCount(); i++) {
            RouterProcess router = routers().get(i % spec.routerCount());
            var random = new Random(spec.seed() * 31 + i);
            var thread = new Thread(() -> sendRequests(router, random), "client " + i);
            thread.setDaemon(true);
            thread.start();
            clientThreads.add(thread);
        }
    }

    private void sendRequests(RouterProcess router, Random random) {
        var client = new LoadClient(clientTransport, history, true);
        List<RequestClass> classes = settings.requestClasses();
        try {
            while (loadRunning) {
                RequestClass requestClass = classes.get(random.nextInt(classes.size()));
                boolean disconnects = random.nextInt(REQUESTS_PER_DISCONNECT) == 0;
                countAnswer(
                        disconnects
                                ? client.exchangeOrDisconnect(
                                        router, requestClass, MAX_CLIENT_WAIT_SECONDS * random.nextDouble())
                                : client.exchange(router, requestClass));
                Thread.sleep(1 + random.nextInt(MAX_THINK_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            client.close();
        }
    }

    /**
     * Sends a request with a new client, which disconnects after that number of seconds; {@code number} selects the
     * request class.
     */
    void sendAndDisconnect(RouterProcess router, int number, double maxWaitSeconds) throws InterruptedException {
        var client = new LoadClient(clientTransport, history, true);
        List<RequestClass> classes = settings.requestClasses();
        client.exchangeOrDisconnect(router, classes.get(number % classes.size()), maxWaitSeconds);
        client.close();
    }

    private synchronized void countAnswer(LoadClient.Answer answer) {
        answers.merge(answer, 1, Integer::sum);
    }

    /** Number of requests of the load with that result so far. */
    public synchronized int answered(LoadClient.Answer answer) {
        return answers.getOrDefault(answer, 0);
    }

    /** Stops the load; returns when the last request has ended. */
    public void stopLoad() throws InterruptedException {
        loadRunning = false;
        for (Thread client : clientThreads) {
            client.join();
        }
        clientThreads.clear();
    }

    /** Waits until a condition holds; returns false if it does not hold within that number of seconds. */
    public boolean await(BooleanSupplier condition, double seconds) throws InterruptedException {
        return RouterProcesses.await(condition, seconds);
    }

    /** Log lines in which routers report violations that they detected, or errors of their own. */
    public List<String> reportedViolations() {
        return routers().stream()
                .flatMap(router -> reportedViolations(router.linesSince(0)).stream())
                .toList();
    }

    /** Excludes lines logged during warm-ups, whose nodes and requests are the router's own. */
    private static List<String> reportedViolations(List<String> lines) {
        var violations = new ArrayList<String>();
        boolean warmingUp = true;
        for (String line : lines) {
            warmingUp = line.equals(RouterProcess.START_LINE) || (warmingUp && !line.contains("serving as"));
            if (!warmingUp && reportsViolation(line)) {
                violations.add(line);
            }
        }
        return violations;
    }

    private static boolean reportsViolation(String line) {
        return line.contains("although") || line.contains("SEVERE") || line.contains(" ERROR ");
    }

    /** The last log lines of each router, for failure messages. */
    public String logs() {
        return processes.lastLogLines();
    }

    /** Writes the complete log of each router to a file in a folder. */
    void writeLogs(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (RouterProcess router : routers()) {
            Files.write(folder.resolve(router.name() + ".log"), router.linesSince(0));
        }
    }

    @Override
    public void close() throws IOException {
        loadRunning = false;
        stalls.close();
        try {
            processes.killAll();
            stopLoad();
            processes.awaitEnds();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        for (ClusterNode node : replicaSet.nodes()) {
            if (node.relay() != null) {
                node.relay().close();
            }
        }
        nodeTransport.close();
        clientTransport.close();
        processes.deleteFiles();
    }
}
