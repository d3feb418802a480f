package clayhook.clustertests;

import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.lab.model.RuleAudit;
import clayhook.warmup.StubClient;
import java.util.HashMap;
import java.util.Map;

/**
 * Records what clients and nodes of a run see, and judges it by the rules. Times are seconds since 1970 on one clock,
 * that of this process. Requests are kept for as long as the run. Thread-safe.
 */
public final class HistoryRecorder {
    /** For how long a machine that is shared with other work may stall a process; added to the bounds of all rules. */
    static final double MACHINE_SECONDS = 1;
    /** In which a router may still send to a draining node. */
    private static final double DRAIN_GRACE_SECONDS = 0.25;
    /** Between the clock of this process and those of routers, which are slewed to the machine's. */
    private static final double CLOCK_DIFFERENCE_SECONDS = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Whether a router owes answers: not where it was down or stalled at some time while one was due. */
    private static final class RouterStatus {
        /** How often it went down or came up. */
        int changes;

        boolean ending;
        boolean down;
        double upSince;
    }

    /** A request of a client; {@code routerChanges} is how often its router had gone down or come up by then. */
    private record SentRequest(
            RequestClass requestClass, double at, double lastWritePosition, String router, int routerChanges) {}

    /** What is added to the monotonic clock for seconds since 1970. */
    private static final double WALL_CLOCK_OFFSET =
            System.currentTimeMillis() / MILLIS_PER_SECOND - System.nanoTime() / NANOS_PER_SECOND;

    private final RuleAudit audit;
    private final AttemptAudit attempts = new AttemptAudit();
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<String, RouterStatus> routers = new HashMap<>();
    /** Since when routers know that a node drains; a router that was down then knows it from its start on. */
    private final Map<Node, Double> drainNotifiedAt = new HashMap<>();

    private final Map<Node, Integer> executions = new HashMap<>();
    private final Map<String, Integer> servedByRouter = new HashMap<>();
    private String firstUnanswered;

    HistoryRecorder(RoutingSettings settings) {
        audit = new RuleAudit(
                DRAIN_GRACE_SECONDS + MACHINE_SECONDS, settings.overloadFactor(), settings.overloadWindowSeconds());
    }

    /** Seconds since 1970; never goes back. */
    static double now() {
        return WALL_CLOCK_OFFSET + System.nanoTime() / NANOS_PER_SECOND;
    }

    // ---- routers ----

    /** From now on until {@link #up} no answer can be asked of that router, nor for what is open there. */
    synchronized void down(String router) {
        RouterStatus status = status(router);
        status.changes++;
        status.down = true;
    }

    /** A router has been told to end: it may refuse connections from now on, but owes an answer to what it takes. */
    synchronized void ending(String router) {
        status(router).ending = true;
    }

    synchronized void up(String router) {
        RouterStatus status = status(router);
        status.changes++;
        status.ending = false;
        status.down = false;
        status.upSince = now();
    }

    private RouterStatus status(String router) {
        return routers.computeIfAbsent(router, any -> new RouterStatus());
    }

    synchronized boolean isDown(String router) {
        return status(router).down;
    }

    /** All routers that are up were notified whether that node drains. */
    synchronized void notified(Node node, boolean drains) {
        if (drains) {
            drainNotifiedAt.putIfAbsent(node, now());
        } else {
            drainNotifiedAt.remove(node);
        }
    }

    // ---- clients ----

    /**
     * A client sends a request.
     *
     * @param lastWritePosition of its session; 0 where that does not count
     * @param waitSeconds how long it waits for the answer
     */
    synchronized void sent(
            String id, RequestClass requestClass, double lastWritePosition, String router, double waitSeconds) {
        double now = now();
        requests.put(id, new SentRequest(requestClass, now, lastWritePosition, router, status(router).changes));
        audit.sent(id, requestClass, now + waitSeconds);
        boolean hasKey = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        attempts.onSent(id, requestClass.clientTimeoutSeconds(), hasKey ? id : null);
    }

    /** The client of a request has closed its connection: no answer is owed any more. */
    synchronized void left(String id) {
        audit.excused(id);
        attempts.onLeft(id);
    }

    /** Judges what routers send to nodes for the clients. */
    AttemptAudit attempts() {
        return attempts;
    }

    /** The answer to a request came; {@code rejected} says that it never ran, {@code served} that it has a value. */
    synchronized void answered(String id, boolean rejected, boolean served) {
        audit.answered(id, now());
        if (rejected) {
            audit.throttled(id, now());
        } else if (served) {
            servedByRouter.merge(requests.get(id).router(), 1, Integer::sum);
        }
    }

    /**
     * No answer came, but the end of the connection, or null for nothing. Only where its router was down or stalled
     * meanwhile is that no fault.
     */
    synchronized void unanswered(String id, String instead) {
        SentRequest request = requests.get(id);
        RouterStatus status = routers.get(request.router());
        boolean notTaken = status.ending && StubClient.NO_CONNECTION.equals(instead);
        if (notTaken || status.down || status.changes != request.routerChanges()) {
            audit.excused(id);
        } else if (firstUnanswered == null) {
            firstUnanswered = id + " of " + request.requestClass().name() + " at " + request.router() + ", sent at "
                    + ProcessStalls.format(request.at()) + ", got after " + (now() - request.at()) + " s: " + instead;
        }
    }

    // ---- nodes ----

    /** A node has read a statement of a router. */
    synchronized void arrived(String router, Node node) {
        if (drainNotifiedAt.containsKey(node) && routers.containsKey(router)) {
            audit.sentToDraining(node, Math.max(drainNotifiedAt.get(node), routers.get(router).upSince), now());
        }
    }

    /** A node executes a request at its applied position. One that no client sent is of no interest. */
    synchronized void executed(String id, Node node, double position) {
        SentRequest request = requests.get(id);
        if (request != null) {
            audit.ran(id, node, position, requiredPosition(request), now());
            executions.merge(node, 1, Integer::sum);
        }
    }

    /** The position that an answer has to cover; 0 for any. */
    private static double requiredPosition(SentRequest request) {
        return switch (request.requestClass().consistency()) {
            case BOUNDED_STALENESS ->
                request.at() - request.requestClass().maxStalenessSeconds() - CLOCK_DIFFERENCE_SECONDS;
            case SESSION -> request.lastWritePosition();
            default -> 0;
        };
    }

    /** Work in seconds came to a node in slow start that does {@code capacity} a second. */
    synchronized void worked(Node node, double work, double capacity) {
        audit.worked(node, work, capacity, now());
    }

    // ---- the verdict ----

    /** Requests that a router's clients got an answer with a value to. */
    public synchronized int served(String router) {
        return servedByRouter.getOrDefault(router, 0);
    }

    /** Requests that a node executed. */
    public synchronized int executions(Node node) {
        return executions.getOrDefault(node, 0);
    }

    /** How often each rule was broken; empty where all are kept. For the end: all that was sent counts as over. */
    public synchronized Map<RuleAudit.RuleKept, Integer> broken() {
        audit.end(Double.POSITIVE_INFINITY);
        return audit.broken();
    }

    /** The first break, and the first request that nobody answered, or null. */
    public synchronized String firstBroken() {
        return audit.first() + ", " + firstUnanswered;
    }
}
