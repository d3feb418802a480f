package clayhook.warmup;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.log.Log;
import clayhook.protocol.KeyValueStatement;
import clayhook.serve.Server;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Runs the whole router against stubs within the process before it serves clients. Without the warm-up the first
 * request of a process takes tens of milliseconds, or many times as long on a shared core, and its client would wait.
 *
 * <p>The warm-up runs on its own thread, for which the caller waits. The router and the stubs run on the event loop of
 * a transport that is closed at the end.
 */
public final class WarmUp {
    /** The number of clients that send requests at the same time. */
    private static final int CONCURRENT_CLIENTS = 6;

    /** The number of requests per client, after which the JVM has compiled the most used methods. */
    private static final int REQUESTS_PER_CLIENT = 80;

    /** The number of requests after which a client reconnects, so that opening and closing is warmed up too. */
    private static final int REQUESTS_PER_CONNECTION = 2;

    /** The time limit of a warm-up, enough to compile all methods in use on half a core. */
    private static final double MAX_SECONDS = 3;

    /**
     * The time limit of the warm-up of a restarted router. It is shorter because clients wait for the restart, and
     * their requests arrive gradually because they reconnect one by one.
     */
    private static final double MAX_RESTART_SECONDS = 1.4;

    /** A warm-up ends by itself at its time limit; if it exceeds the limit by this time, it is considered hung. */
    private static final double GRACE_SECONDS = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final long MEMORY_BYTES = 1 << 24;
    private static final int MAX_DESCRIPTORS = 1000;
    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** The version of the endpoint list that the stub of the discovery service sends. */
    private static final int LIST_VERSION = 2;

    private final RoutingSettings settings;
    /** The transport of the router, its nodes and its discovery service. */
    private final Transport transport;
    /** The transport of the clients. */
    private final Transport clientTransport;
    /** The time at which the warm-up ends, in seconds of the monotonic clock. */
    private final double deadline;

    private final List<StubClient> clients = new ArrayList<>();

    private WarmUp(RoutingSettings settings, Transport transport, Transport clientTransport, double deadline) {
        this.settings = settings;
        this.transport = transport;
        this.clientTransport = clientTransport;
        this.deadline = deadline;
    }

    /**
     * Warms up the process and closes the transport. Blocks until the warm-up has finished or timed out.
     *
     * @param restart whether the router has served before; a restart has a shorter time limit
     * @return false if the warm-up failed or the transport delivers no data
     */
    public static boolean run(RoutingSettings settings, Transport transport, boolean restart)
            throws InterruptedException {
        return run(settings, transport, transport, restart);
    }

    static boolean run(RoutingSettings settings, Transport transport, Transport clientTransport, boolean restart)
            throws InterruptedException {
        double seconds = restart ? MAX_RESTART_SECONDS : MAX_SECONDS;
        var warmUp = new WarmUp(settings, transport, clientTransport, monotonicSeconds() + seconds);
        var task = new FutureTask<>(warmUp::serveStubClients);
        var thread = new Thread(task, "warm-up");
        thread.setDaemon(true);
        thread.start();
        try {
            return task.get((long) ((seconds + GRACE_SECONDS) * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // A hung event loop of the warm-up must not prevent the process from serving clients.
            Log.warn("warm-up", "the warm-up timed out");
            return true;
        } catch (ExecutionException e) {
            // A failed warm-up does not imply that serving fails, so startup continues without it.
            Log.warn("warm-up", "no warm-up: " + e.getCause());
            return false;
        } finally {
            transport.close();
            // Open sockets of the warm-up would use up file descriptors that the router needs to serve clients.
            transport.awaitClosed(GRACE_SECONDS);
        }
    }

    private static double monotonicSeconds() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }

    private boolean serveStubClients() throws InterruptedException {
        var primary = new StubNode(
                transport, transport.ephemeralAddress(1), "primary", any -> StubNode.StubResponse.answer("p"));
        var replica = new StubNode(
                transport, transport.ephemeralAddress(2), "replica", any -> StubNode.StubResponse.answer("r"));
        var faulty = new StubNode(transport, transport.ephemeralAddress(3), "replica", occasionalFaults());
        String list = "{\"rev\":" + LIST_VERSION + ",\"all\":true,\"targets\":[" + endpointJson("p", primary) + ","
                + endpointJson("r", replica) + "," + endpointJson("o", faulty) + "]}";
        var discovery = new StubDiscovery(
                transport, transport.ephemeralAddress(4), call -> call.contains("after=" + LIST_VERSION) ? null : list);
        var server = new Server(transport, configuration(discovery.address()));
        boolean allAnswered = sendRequests(server.address());
        server.close();
        return allAnswered || isOver();
    }

    private RouterConfiguration configuration(InetSocketAddress discovery) {
        return new RouterConfiguration(
                "warm-up",
                transport.ephemeralAddress(5),
                discovery,
                1,
                MEMORY_BYTES,
                MAX_DESCRIPTORS,
                new EndpointList(0, true, List.of()),
                settings,
                CONNECT_TIMEOUT_SECONDS);
    }

    /** Sends one request per client in each round; returns false as soon as an answer is missing. */
    private boolean sendRequests(InetSocketAddress router) throws InterruptedException {
        boolean allAnswered = true;
        for (int i = 0; allAnswered && i < REQUESTS_PER_CLIENT && !isOver(); i++) {
            boolean connect = i % REQUESTS_PER_CONNECTION == 0;
            for (int j = 0; j < CONCURRENT_CLIENTS; j++) {
                sendRequest(j, connect, router);
            }
            allAnswered = receiveAnswers(connect);
            if (i % REQUESTS_PER_CONNECTION == REQUESTS_PER_CONNECTION - 1) {
                clients.forEach(StubClient::close);
                clients.clear();
            }
        }
        return allAnswered;
    }

    private void sendRequest(int clientIndex, boolean connect, InetSocketAddress router) {
        List<RequestClass> requestClasses = settings.requestClasses();
        RequestClass requestClass = requestClasses.get(clientIndex % requestClasses.size());
        ByteBuf statement = StubClient.statement(
                requestClass.consistency() == ConsistencyLevel.WRITE,
                "id=" + clientIndex + ",c=" + requestClass.name() + ",d=400,k=2,cluster=1");
        if (connect) {
            clients.add(new StubClient(clientTransport, router));
            clients.get(clientIndex).send(StubClient.startupAndFirst(statement));
        } else {
            clients.get(clientIndex).send(statement);
        }
    }

    /**
     * Waits for an answer to each client, and before it for the response to the startup message of a client that has
     * just connected. Returns false at the first missing answer, since on some platforms sockets deliver no data.
     */
    private boolean receiveAnswers(boolean connected) throws InterruptedException {
        for (StubClient client : clients) {
            if ((connected && !receivedAnswer(client)) || !receivedAnswer(client)) {
                return false;
            }
        }
        return true;
    }

    private boolean receivedAnswer(StubClient client) throws InterruptedException {
        String answer = client.nextAnswer(Math.max(0, deadline - monotonicSeconds()));
        return answer != null && !answer.equals(StubClient.NO_CONNECTION);
    }

    private boolean isOver() {
        return monotonicSeconds() >= deadline;
    }

    /** The responses of a replica: two errors of different kinds, one closed connection, otherwise rows. */
    private static Function<KeyValueStatement, StubNode.StubResponse> occasionalFaults() {
        var count = new AtomicInteger();
        return any -> switch (count.incrementAndGet()) {
            case 2 -> StubNode.StubResponse.error("53300");
            case 5 -> StubNode.StubResponse.error("72000");
            case 11 -> StubNode.StubResponse.closeConnection();
            default -> StubNode.StubResponse.answer("value");
        };
    }

    private static String endpointJson(String id, StubNode node) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,\"state\":\"up\","
                + "\"capacity_hint\":1.0,\"boot_ms\":0}";
    }
}
