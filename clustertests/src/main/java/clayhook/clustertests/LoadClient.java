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

/** A session of a client that sends one request at a time, each to any router. Not thread-safe. */
public final class LoadClient {
    private static final AtomicLong IDS = new AtomicLong();
    /** SQLSTATE codes of answers to requests that were never executed. */
    private static final List<String> REFUSALS = List.of("53300", "57P03");

    private static final String CLOSED = "closed";
    /** Pause in milliseconds before the next request after a request without an answer. */
    private static final long AGAIN_MS = 20;

    private final Transport transport;
    private final HistoryRecorder history;
    /** Open connections, by router. */
    private final Map<RouterProcess, StubClient> connections = new HashMap<>();

    private final boolean carries;
    private final String name;
    private double wroteAt;
    /** Id of the request that was answered last, or null. */
    private String last;

    /** {@code carries}: whether reads at the session's consistency level carry its last-write position. */
    LoadClient(Transport transport, HistoryRecorder history, boolean carries) {
        this.transport = transport;
        this.history = history;
        this.carries = carries;
        name = "s" + IDS.incrementAndGet();
    }

    /** Result of a request for the client. */
    public enum Answer {
        SERVED,
        REJECTED,
        FAILED,
        NONE
    }

    /** Sends a request, and disconnects if it is not answered within that number of seconds. */
    Answer askAndLeave(RouterProcess router, RequestClass group, double patienceSeconds) throws InterruptedException {
        return ask(router, group, "c" + IDS.incrementAndGet(), patienceSeconds);
    }

    /** Sends a request and waits for the answer. */
    public Answer ask(RouterProcess router, RequestClass group) throws InterruptedException {
        return ask(router, group, "c" + IDS.incrementAndGet());
    }

    /**
     * Sends a request under the id of an earlier one and waits for the answer. For a request class with idempotency
     * keys, the id is the key and identifies the same write.
     */
    public Answer ask(RouterProcess router, RequestClass group, String id) throws InterruptedException {
        return ask(router, group, id, Double.POSITIVE_INFINITY);
    }

    private Answer ask(RouterProcess router, RequestClass group, String id, double patienceSeconds)
            throws InterruptedException {
        boolean writes = group.consistency() == ConsistencyLevel.WRITE;
        boolean own = group.consistency() == ConsistencyLevel.SESSION && wroteAt > 0;
        double waitSeconds = group.clientTimeoutSeconds() + HistoryRecorder.MACHINE_SECONDS;
        history.onSent(id, group, own ? wroteAt : 0, router.name(), waitSeconds);
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
            history.onDisconnected(id);
            return Answer.NONE;
        }
        boolean value = response != null && response.indexOf('.') > 0;
        if (response == null
                || response.equals(StubClient.NO_CONNECTION)
                || response.equals(CLOSED)
                || (value && response.endsWith(CLOSED))) {
            history.onUnanswered(id, response);
            disconnect(router);
            Thread.sleep(AGAIN_MS);
            return Answer.NONE;
        }
        last = id;
        boolean refused = isRefusal(response);
        history.onAnswered(id, refused, value);
        if (response.endsWith(CLOSED)) {
            disconnect(router);
        }
        wroteAt = value && writes ? Math.max(wroteAt, Double.parseDouble(response)) : wroteAt;
        return value ? Answer.SERVED : refused ? Answer.REJECTED : Answer.FAILED;
    }

    private static boolean isRefusal(String response) {
        return REFUSALS.stream().anyMatch(response::startsWith);
    }

    /** Returns the response, or null if none arrives in time; reconnects if the connection ended while it was idle. */
    private String responseTo(RouterProcess router, ByteBuf statement, double waitSeconds) throws InterruptedException {
        StubClient open = connections.get(router);
        String unsolicited = open == null ? CLOSED : open.nextAnswer(0);
        if (unsolicited == null) {
            open.send(statement);
            return open.nextAnswer(waitSeconds);
        } else if (!unsolicited.endsWith(CLOSED)) {
            history.onAnswered(last, false, false); // a second answer to one request, which is a violation
        }
        disconnect(router);
        var connection = new StubClient(transport, router.address());
        connections.put(router, connection);
        connection.send(StubClient.startupAndFirst(statement));
        String greeting = connection.nextAnswer(waitSeconds);
        if (CLOSED.equals(greeting)) {
            return StubClient
                    .NO_CONNECTION; // never accepted: the listener was closed with this connection in its backlog
        }
        return "ready".equals(greeting) ? connection.nextAnswer(waitSeconds) : greeting;
    }

    private void disconnect(RouterProcess router) {
        StubClient client = connections.remove(router);
        if (client != null) {
            client.close();
        }
    }

    /** Closes all connections. */
    void close() {
        connections.values().forEach(StubClient::close);
        connections.clear();
    }

    /** Returns whether a router becomes ready for requests in time; sends a start-up message only. */
    static boolean greeted(Transport transport, InetSocketAddress router, double seconds) throws InterruptedException {
        var client = new StubClient(transport, router);
        client.send(MessageEncoder.startupMessage("client", "core"));
        String response = client.nextAnswer(seconds);
        client.close();
        return "ready".equals(response);
    }
}
