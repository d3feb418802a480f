package clayhook.clustertests;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A session of one client, which may roam: one request at a time, at any router. For one thread. */
public final class LoadClient {
    private static final AtomicLong IDS = new AtomicLong();
    /** The codes of answers that say that a request never ran. */
    private static final List<String> REFUSALS = List.of("53300", "57P03");

    private static final String CLOSED = "closed";
    /** Between two attempts of a client whose router does not answer. */
    private static final long AGAIN_MS = 20;

    private final Transport transport;
    private final HistoryRecorder history;
    /** Connections that stand, by router. */
    private final Map<RouterProcess, StubClient> connections = new HashMap<>();

    private final boolean carries;
    private final String name;
    private double wroteAt;
    /** The id of the request that was answered last, or null. */
    private String last;

    /** {@code carries}: its reads tell when it last wrote. */
    LoadClient(Transport transport, HistoryRecorder history, boolean carries) {
        this.transport = transport;
        this.history = history;
        this.carries = carries;
        name = "s" + IDS.incrementAndGet();
    }

    /** How a request ended. */
    public enum Answer {
        SERVED,
        REJECTED,
        FAILED,
        NONE
    }

    /** Sends a request and leaves after so many seconds, unless it is answered before. */
    Answer askAndLeave(RouterProcess router, RequestClass group, double patienceSeconds) throws InterruptedException {
        return ask(router, group, "c" + IDS.incrementAndGet(), patienceSeconds);
    }

    /** Sends a request and waits for the answer. */
    public Answer ask(RouterProcess router, RequestClass group) throws InterruptedException {
        return ask(router, group, "c" + IDS.incrementAndGet());
    }

    /** The same with the id of an earlier request, which for one with a key names the same write. */
    public Answer ask(RouterProcess router, RequestClass group, String id) throws InterruptedException {
        return ask(router, group, id, Double.POSITIVE_INFINITY);
    }

    private Answer ask(RouterProcess router, RequestClass group, String id, double patienceSeconds)
            throws InterruptedException {
        boolean writes = group.consistency() == ConsistencyLevel.WRITE;
        boolean own = group.consistency() == ConsistencyLevel.SESSION && wroteAt > 0;
        double waitSeconds = group.clientTimeoutSeconds() + HistoryRecorder.MACHINE_SECONDS;
        history.sent(id, group, own ? wroteAt : 0, router.name(), waitSeconds);
        ByteBuf statement = StubClient.statement(
                writes,
                name,
                "id=" + id + ",c=" + group.name() + ",cluster=1,d="
                        + Math.round(group.clientTimeoutSeconds() * 1000)
                        + (group.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? ",k=" + id : "")
                        + (own && carries ? ",after=" + (long) Math.ceil(wroteAt * 1000) : ""));
        String response = responseTo(router, statement, Math.min(waitSeconds, patienceSeconds));
        if (response == null && patienceSeconds < waitSeconds) {
            disconnect(router);
            history.left(id);
            return Answer.NONE;
        }
        boolean value = response != null && response.indexOf('.') > 0;
        if (response == null
                || response.equals(StubClient.NO_CONNECTION)
                || response.equals(CLOSED)
                || (value && response.endsWith(CLOSED))) {
            history.unanswered(id, response);
            disconnect(router);
            Thread.sleep(AGAIN_MS);
            return Answer.NONE;
        }
        last = id;
        boolean refused = isRefusal(response);
        history.answered(id, refused, value);
        if (response.endsWith(CLOSED)) {
            disconnect(router);
        }
        wroteAt = value && writes ? Math.max(wroteAt, Double.parseDouble(response)) : wroteAt;
        return value ? Answer.SERVED : refused ? Answer.REJECTED : Answer.FAILED;
    }

    private static boolean isRefusal(String response) {
        return REFUSALS.stream().anyMatch(response::startsWith);
    }

    /** What comes back, or null; a connection that ended while it was idle is opened anew. */
    private String responseTo(RouterProcess router, ByteBuf statement, double waitSeconds) throws InterruptedException {
        StubClient open = connections.get(router);
        String unsolicited = open == null ? CLOSED : open.nextAnswer(0);
        if (unsolicited == null) {
            open.send(statement);
            return open.nextAnswer(waitSeconds);
        } else if (!unsolicited.endsWith(CLOSED)) {
            history.answered(last, false, false); // a second answer, which the history counts as a violation
        }
        disconnect(router);
        var connection = new StubClient(transport, router.address());
        connections.put(router, connection);
        connection.send(StubClient.startupAndFirst(statement));
        String greeting = connection.nextAnswer(waitSeconds);
        if (CLOSED.equals(greeting)) {
            return StubClient.NO_CONNECTION; // never accepted: the listener closed over its backlog
        }
        return "ready".equals(greeting) ? connection.nextAnswer(waitSeconds) : greeting;
    }

    private void disconnect(RouterProcess router) {
        StubClient client = connections.remove(router);
        if (client != null) {
            client.close();
        }
    }

    /** Ends its connections. */
    void close() {
        connections.values().forEach(StubClient::close);
        connections.clear();
    }

    /** Whether a router is ready for requests; sends none. */
    static boolean greeted(Transport transport, InetSocketAddress router, double seconds) throws InterruptedException {
        var client = new StubClient(transport, router);
        client.send(MessageEncoder.startupMessage("client", "core"));
        String response = client.nextAnswer(seconds);
        client.close();
        return "ready".equals(response);
    }
}
