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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Runs the whole router against stand-ins within the process before it serves: the first command of a cold process
 * takes tens of milliseconds, many times that on a shared core, and clients would wait for it.
 */
public final class WarmUp {
    /** Clients at once, and what each sends; by then the runtime has compiled what is used most. */
    private static final int CONCURRENT_CLIENTS = 6;

    private static final int REQUESTS_PER_CLIENT = 80;
    /** Commands that a client sends before another takes its place. */
    private static final int REQUESTS_PER_CONNECTION = 2;
    /** Until all that is used is compiled, on half a core. */
    private static final double MAX_SECONDS = 3;
    /** A router that comes back is awaited, and its clients come back one by one. */
    private static final double MAX_RESTART_SECONDS = 1.4;

    /** It ends by itself as soon as its time is over; what stands then does not go on. */
    private static final double GRACE_SECONDS = 0.5;

    private WarmUp() {}

    /** Closes the transport in the end; false where that carries nothing, so that nothing was rehearsed. */
    public static boolean run(RoutingSettings settings, Transport transport, boolean awaited)
            throws InterruptedException {
        return run(settings, transport, transport, awaited);
    }

    static boolean run(RoutingSettings settings, Transport transport, Transport outside, boolean awaited)
            throws InterruptedException {
        double longest = awaited ? MAX_RESTART_SECONDS : MAX_SECONDS;
        double until = System.nanoTime() / 1e9 + longest;
        var play = new FutureTask<>(() -> serveStubClients(settings, transport, outside, until));
        var thread = new Thread(play, "rehearsal");
        thread.setDaemon(true);
        thread.start();
        try {
            return play.get((long) ((longest + GRACE_SECONDS) * 1e9), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // Guards against a start that waits for a loop that hangs.
            Log.warn("rehearsal", "the rehearsal was broken off");
            return true;
        } catch (ExecutionException e) {
            // Guards against a start that fails, as the rehearsal may in ways in which serving does not.
            Log.warn("rehearsal", "no rehearsal: " + e.getCause());
            return false;
        } finally {
            transport.close();
            // Guards against serving while its sockets still count against the descriptors of the process.
            transport.awaitClosed(GRACE_SECONDS);
        }
    }

    private static boolean serveStubClients(
            RoutingSettings settings, Transport transport, Transport outside, double until)
            throws InterruptedException {
        var primary = new StubNode(
                transport, transport.ephemeralAddress(1), "primary", any -> StubNode.StubResponse.answer("p"));
        var replica = new StubNode(
                transport, transport.ephemeralAddress(2), "replica", any -> StubNode.StubResponse.answer("r"));
        var other = new StubNode(transport, transport.ephemeralAddress(3), "replica", varyingResponses());
        String list = "{\"rev\":2,\"all\":true,\"targets\":[" + endpointJson("p", primary) + ","
                + endpointJson("r", replica) + "," + endpointJson("o", other) + "]}";
        var discovery = new StubDiscovery(
                transport, transport.ephemeralAddress(4), call -> call.contains("after=2") ? null : list);
        var server = new Server(
                transport,
                new RouterConfiguration(
                        "rehearsal",
                        transport.ephemeralAddress(5),
                        discovery.address(),
                        1,
                        1 << 24,
                        1000,
                        new EndpointList(0, true, List.of()),
                        settings,
                        1));
        var clients = new ArrayList<StubClient>();
        boolean carried = true;
        for (int i = 0; carried && i < REQUESTS_PER_CLIENT && System.nanoTime() / 1e9 < until; i++) {
            for (int j = 0; j < CONCURRENT_CLIENTS; j++) {
                RequestClass group = settings.requestClasses()
                        .get(j % settings.requestClasses().size());
                ByteBuf statement = StubClient.statement(
                        group.consistency() == ConsistencyLevel.WRITE,
                        "id=" + j + ",c=" + group.name() + ",d=400,k=2,cluster=1");
                if (i % REQUESTS_PER_CONNECTION == 0) {
                    clients.add(new StubClient(outside, server.address()));
                    clients.get(j).send(StubClient.startupAndFirst(statement));
                } else {
                    clients.get(j).send(statement);
                }
            }
            for (StubClient client : clients) {
                // Guards against a start that waits for sockets which the platform has not got.
                carried = carried
                        && (i % REQUESTS_PER_CONNECTION != 0 || receivedAnswer(client, until))
                        && receivedAnswer(client, until);
            }
            if (i % REQUESTS_PER_CONNECTION == REQUESTS_PER_CONNECTION - 1) {
                clients.forEach(StubClient::close);
                clients.clear();
            }
        }
        server.close();
        return carried || System.nanoTime() / 1e9 >= until;
    }

    private static boolean receivedAnswer(StubClient client, double until) throws InterruptedException {
        String word = client.nextAnswer(Math.max(0, until - System.nanoTime() / 1e9));
        return word != null && !word.equals(StubClient.NO_CONNECTION);
    }

    private static Function<KeyValueStatement, StubNode.StubResponse> varyingResponses() {
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
                + node.address().getPort()
                + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,\"state\":\"up\",\"capacity_hint\":1.0,"
                + "\"boot_ms\":0}";
    }
}
