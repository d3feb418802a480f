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
    private static final List<String> REJECTION_CODES = List.of("53300", "57P03");

    private static final String CLOSED = "closed";
    /** Pause in milliseconds before the next request after a request without an answer. */
    private static final long RETRY_PAUSE_MS = 20;

    private final Transport transport;
    private final HistoryRecorder history;
    /** Open connections, by router. */
    private final Map<RouterProcess, StubClient> connections = new HashMap<>();

    private final boolean carriesLastWritePosition;
    private final String sessionName;
    private double lastWritePosition;
    /** Id of the request that was answered last, or null. */
    private String lastAnsweredId;

    /**
     * {@code carriesLastWritePosition}: whether reads at the session's consistency level carry its last-write position.
     */
    LoadClient(Transport transport, HistoryRecorder history, boolean carriesLastWritePosition) {
        this.transport = transport;
        this.history = history;
        this.carriesLastWritePosition = carriesLastWritePosition;
        sessionName = "s" + IDS.incrementAndGet();
    }

    /** Result of a request for the client. */
    public enum Answer {
        SERVED,
        REJECTED,
        FAILED,
        NONE
    }

    /** Sends a request, and disconnects if it is not answered within that number of seconds. */
    Answer exchangeOrDisconnect(RouterProcess router, RequestClass requestClass, double maxWaitSeconds)
            throws InterruptedException {
        return exchange(router, requestClass, "c" + IDS.incrementAndGet(), maxWaitSeconds);
    }

    /** Sends a request and waits for the answer. */
    public Answer exchange(RouterProcess router, RequestClass requestClass) throws InterruptedException {
        return exchange(router, requestClass, "c" + IDS.incrementAndGet());
    }

    /**
     * Sends a request under the id of an earlier one and waits for the answer. For a request class with idempotency
     * keys, the id is the key and identifies the same write.
     */
    public Answer exchange(RouterProcess router, RequestClass requestClass, String id) throws InterruptedException {
        return exchange(router, requestClass, id, Double.POSITIVE_INFINITY);
    }

    private Answer exchange(RouterProcess router, RequestClass requestClass, String id, double maxWaitSeconds)
            throws InterruptedException {
        boolean isWrite = requestClass.consistency() == ConsistencyLevel.WRITE;
        boolean readsOwnWrites = requestClass.consistency() == ConsistencyLevel.SESSION && lastWritePosition > 0;
        double waitSeconds = requestClass.clientTimeoutSeconds() + HistoryRecorder.MACHINE_SECONDS;
        history.onSent(id, requestClass, readsOwnWrites ? lastWritePosition : 0, router.name(), waitSeconds);
        ByteBuf statement = StubClient.statement(
                isWrite,
                sessionName,
                "id=" + id + ",c=" + requestClass.name() + ",cluster=1,d="
                        + Math.round(requestClass.clientTimeoutSeconds() * 1000)
                        + (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? ",k=" + id : "")
                        + (readsOwnWrites && carriesLastWritePosition
                                ? ",after=" + (long) Math.ceil(lastWritePosition * 1000)
                                : ""));
        String response = exchangeStatement(router, statement, Math.min(waitSeconds, maxWaitSeconds));
        if (response == null && maxWaitSeconds < waitSeconds) {
            disconnect(router);
            history.onDisconnected(id);
            return Answer.NONE;
        }
        boolean hasValue = response != null && response.indexOf('.') > 0;
        if (response == null
                || response.equals(StubClient.NO_CONNECTION)
                || response.equals(CLOSED)
                || (hasValue && response.endsWith(CLOSED))) {
            history.onUnanswered(id, response);
            disconnect(router);
            Thread.sleep(RETRY_PAUSE_MS);
            return Answer.NONE;
        }
        lastAnsweredId = id;
        boolean rejected = isRejection(response);
        history.onAnswered(id, rejected, hasValue);
        if (response.endsWith(CLOSED)) {
            disconnect(router);
        }
        lastWritePosition =
                hasValue && isWrite ? Math.max(lastWritePosition, Double.parseDouble(response)) : lastWritePosition;
        return hasValue ? Answer.SERVED : rejected ? Answer.REJECTED : Answer.FAILED;
    }

    private static boolean isRejection(String response) {
        return REJECTION_CODES.stream().anyMatch(response::startsWith);
    }

    /** Returns the response, or null if none arrives in time; reconnects if the connection ended while it was idle. */
    private String exchangeStatement(RouterProcess router, ByteBuf statement, double waitSeconds)
            throws InterruptedException {
        StubClient open = connections.get(router);
        String unsolicited = open == null ? CLOSED : open.nextAnswer(0);
        if (unsolicited == null) {
            open.send(statement);
            return open.nextAnswer(waitSeconds);
        } else if (!unsolicited.endsWith(CLOSED)) {
            history.onAnswered(lastAnsweredId, false, false); // a second answer to one request, which is a violation
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
    static boolean acceptsRequests(Transport transport, InetSocketAddress router, double seconds)
            throws InterruptedException {
        var client = new StubClient(transport, router);
        client.send(MessageEncoder.startupMessage("client", "core"));
        String response = client.nextAnswer(seconds);
        client.close();
        return "ready".equals(response);
    }
}
