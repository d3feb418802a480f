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
 * Runs the whole router against stubs within the process before it serves: the first request of a cold process takes
 * tens of milliseconds, many times that on a shared core, and clients would wait for it.
 *
 * <p>Runs on a thread of its own, which the caller waits for; the router and its stubs run on the event loop of a
 * transport that is closed at the end.
 */
public final class WarmUp {
    /** Clients at once. */
    private static final int CONCURRENT_CLIENTS = 6;

    /** After so many of each client the runtime has compiled what is used most. */
    private static final int REQUESTS_PER_CLIENT = 80;

    /** Requests that a client sends before another takes its place, so that opening and closing is warmed up too. */
    private static final int REQUESTS_PER_CONNECTION = 2;

    /** Until all that is used is compiled, on half a core. */
    private static final double MAX_SECONDS = 3;

    /** A router that restarts is waited for, and its clients come back one by one. */
    private static final double MAX_RESTART_SECONDS = 1.4;

    /** The run ends by itself as soon as its time is over; one that takes so much longer hangs. */
    private static final double GRACE_SECONDS = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final long MEMORY_BYTES = 1 << 24;
    private static final int MAX_DESCRIPTORS = 1000;
    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** The version of the list that the stub discovery serves. */
    private static final int LIST_VERSION = 2;

    private final RoutingSettings settings;
    /** Carries the router, its nodes and its discovery. */
    private final Transport transport;
    /** Carries the clients. */
    private final Transport clientTransport;
    /** When to end, in seconds of the system's monotonic clock. */
    private final double deadline;

    private final List<StubClient> clients = new ArrayList<>();

    private WarmUp(RoutingSettings settings, Transport transport, Transport clientTransport, double deadline) {
        this.settings = settings;
        this.transport = transport;
        this.clientTransport = clientTransport;
        this.deadline = deadline;
    }

    /**
     * Warms the process up, and closes the transport.
     *
     * @param restart whether the router has served before, so that less time is taken
     * @return false where the transport carries nothing, so that nothing was warmed up
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
            // An event loop that hangs must not keep the process from serving.
            Log.warn("warm-up", "the warm-up timed out");
            return true;
        } catch (ExecutionException e) {
            // The warm-up may fail in ways in which serving does not: the start goes on without it.
            Log.warn("warm-up", "no warm-up: " + e.getCause());
            return false;
        } finally {
            transport.close();
            // The sockets count against the descriptors of the process, which serving needs.
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
        boolean carried = sendRequests(server.address());
        server.close();
        return carried || isOver();
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

    /** Sends rounds of one request a client; false once an answer failed to come. */
    private boolean sendRequests(InetSocketAddress router) throws InterruptedException {
        boolean carried = true;
        for (int i = 0; carried && i < REQUESTS_PER_CLIENT && !isOver(); i++) {
            boolean opens = i % REQUESTS_PER_CONNECTION == 0;
            for (int j = 0; j < CONCURRENT_CLIENTS; j++) {
                sendRequest(j, opens, router);
            }
            carried = receiveAnswers(opens);
            if (i % REQUESTS_PER_CONNECTION == REQUESTS_PER_CONNECTION - 1) {
                clients.forEach(StubClient::close);
                clients.clear();
            }
        }
        return carried;
    }

    private void sendRequest(int number, boolean opens, InetSocketAddress router) {
        List<RequestClass> requestClasses = settings.requestClasses();
        RequestClass requestClass = requestClasses.get(number % requestClasses.size());
        ByteBuf statement = StubClient.statement(
                requestClass.consistency() == ConsistencyLevel.WRITE,
                "id=" + number + ",c=" + requestClass.name() + ",d=400,k=2,cluster=1");
        if (opens) {
            clients.add(new StubClient(clientTransport, router));
            clients.get(number).send(StubClient.startupAndFirst(statement));
        } else {
            clients.get(number).send(statement);
        }
    }

    /**
     * Waits for an answer to each client, and for the end of its startup where it has just connected. Stops at the
     * first that does not come, since the platform may have sockets that carry nothing.
     */
    private boolean receiveAnswers(boolean opened) throws InterruptedException {
        for (StubClient client : clients) {
            if ((opened && !receivedAnswer(client)) || !receivedAnswer(client)) {
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

    /** A replica's answers, with an error of each kind and a lost connection among them. */
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
