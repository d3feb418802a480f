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
 * Records the requests of a run as its clients and nodes see them, and checks them against the rules. Times are seconds
 * since 1970 on the clock of this process. Requests are retained for the whole run. Thread-safe.
 */
public final class HistoryRecorder {
    /** Seconds for which a machine shared with other work may stall a process; added to the bounds of all rules. */
    static final double MACHINE_SECONDS = 1;
    /** Seconds after its notification during which a router may still send to a draining node. */
    private static final double DRAIN_GRACE_SECONDS = 0.25;
    /** Largest difference in seconds between this process's clock and those of routers, which slew to the machine's. */
    private static final double CLOCK_DIFFERENCE_SECONDS = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Status of a router: a request may go unanswered if its router was down or stalled while the answer was due. */
    private static final class RouterStatus {
        /** Number of times that the router went down or came up. */
        int changes;

        boolean shuttingDown;
        boolean down;
        double upSince;
    }

    /** A request of a client; {@code routerChanges} is the {@link RouterStatus#changes} of its router at that time. */
    private record SentRequest(
            RequestClass requestClass, double at, double lastWritePosition, String router, int routerChanges) {}

    /** Offset in seconds from the monotonic clock to the time since 1970. */
    private static final double WALL_CLOCK_OFFSET =
            System.currentTimeMillis() / MILLIS_PER_SECOND - System.nanoTime() / NANOS_PER_SECOND;

    private final RuleAudit audit;
    private final AttemptAudit attempts = new AttemptAudit();
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<String, RouterStatus> routers = new HashMap<>();
    /** Time at which routers were notified that a node drains; a router that was down then counts from its start. */
    private final Map<Node, Double> drainNotifiedAt = new HashMap<>();

    private final Map<Node, Integer> executions = new HashMap<>();
    private final Map<String, Integer> servedByRouter = new HashMap<>();
    private String firstUnansweredRequest;

    HistoryRecorder(RoutingSettings settings) {
        audit = new RuleAudit(
                DRAIN_GRACE_SECONDS + MACHINE_SECONDS, settings.overloadFactor(), settings.overloadWindowSeconds());
    }

    /** Seconds since 1970; never decreases. */
    static double now() {
        return WALL_CLOCK_OFFSET + System.nanoTime() / NANOS_PER_SECOND;
    }

    // ---- routers ----

    /** Records that a router is down. Until {@link #onUp} it owes no answers, including those to its open requests. */
    synchronized void onDown(String router) {
        RouterStatus status = status(router);
        status.changes++;
        status.down = true;
    }

    /**
     * Records that a router is shutting down: it may refuse connections, but owes answers to requests that it admits.
     */
    synchronized void onShuttingDown(String router) {
        status(router).shuttingDown = true;
    }

    /** Records that a router is up. */
    synchronized void onUp(String router) {
        RouterStatus status = status(router);
        status.changes++;
        status.shuttingDown = false;
        status.down = false;
        status.upSince = now();
    }

    private RouterStatus status(String router) {
        return routers.computeIfAbsent(router, any -> new RouterStatus());
    }

    synchronized boolean isDown(String router) {
        return status(router).down;
    }

    /** Records that all routers that are up were notified whether a node drains. */
    synchronized void onNotified(Node node, boolean drains) {
        if (drains) {
            drainNotifiedAt.putIfAbsent(node, now());
        } else {
            drainNotifiedAt.remove(node);
        }
    }

    // ---- clients ----

    /**
     * Records that a client sends a request.
     *
     * @param lastWritePosition last-write position of its session; 0 if the request class does not require it
     * @param waitSeconds time that the client waits for the answer
     */
    synchronized void onSent(
            String id, RequestClass requestClass, double lastWritePosition, String router, double waitSeconds) {
        double now = now();
        requests.put(id, new SentRequest(requestClass, now, lastWritePosition, router, status(router).changes));
        audit.sent(id, requestClass, now + waitSeconds);
        boolean hasKey = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        attempts.onSent(id, requestClass.clientTimeoutSeconds(), hasKey ? id : null);
    }

    /** Records that the client of a request has closed its connection; it is owed no answer any more. */
    synchronized void onDisconnected(String id) {
        audit.excuse(id);
        attempts.onDisconnected(id);
    }

    /** The audit of the attempts that routers send to nodes. */
    AttemptAudit attempts() {
        return attempts;
    }

    /**
     * Records the answer to a request.
     *
     * @param rejected whether the answer says that the request was never executed
     * @param served whether the answer has a value
     */
    synchronized void onAnswered(String id, boolean rejected, boolean served) {
        audit.answered(id, now());
        if (rejected) {
            audit.rejected(id, now());
        } else if (served) {
            servedByRouter.merge(requests.get(id).router(), 1, Integer::sum);
        }
    }

    /**
     * Records that a request got no answer. This is a violation unless its router was down or stalled meanwhile, or
     * refused the connection while it was shutting down.
     *
     * @param instead how the connection ended, or null if nothing was received
     */
    synchronized void onUnanswered(String id, String instead) {
        SentRequest request = requests.get(id);
        RouterStatus status = routers.get(request.router());
        boolean connectionRefused = status.shuttingDown && StubClient.NO_CONNECTION.equals(instead);
        if (connectionRefused || status.down || status.changes != request.routerChanges()) {
            audit.excuse(id);
        } else if (firstUnansweredRequest == null) {
            firstUnansweredRequest = id + " of " + request.requestClass().name() + " at " + request.router()
                    + ", sent at " + ProcessStalls.format(request.at()) + ", got after " + (now() - request.at())
                    + " s: " + instead;
        }
    }

    // ---- nodes ----

    /** Records that a node has read a statement of a router. */
    synchronized void onRequest(String router, Node node) {
        if (drainNotifiedAt.containsKey(node) && routers.containsKey(router)) {
            audit.sentToDraining(node, Math.max(drainNotifiedAt.get(node), routers.get(router).upSince), now());
        }
    }

    /** Records that a node executes a request at its applied position; requests that no client sent are ignored. */
    synchronized void onExecuted(String id, Node node, double position) {
        SentRequest request = requests.get(id);
        if (request != null) {
            audit.executed(id, node, position, requiredPosition(request), now());
            executions.merge(node, 1, Integer::sum);
        }
    }

    /** The applied position that the answer must include; 0 if any position is allowed. */
    private static double requiredPosition(SentRequest request) {
        return switch (request.requestClass().consistency()) {
            case BOUNDED_STALENESS ->
                request.at() - request.requestClass().maxStalenessSeconds() - CLOCK_DIFFERENCE_SECONDS;
            case SESSION -> request.lastWritePosition();
            default -> 0;
        };
    }

    /** Records work, in seconds, of a node in slow start that completes {@code capacity} seconds of work per second. */
    synchronized void onWork(Node node, double work, double capacity) {
        audit.workAtColdNode(node, work, capacity, now());
    }

    // ---- results ----

    /** Number of requests that a router answered with a value. */
    public synchronized int served(String router) {
        return servedByRouter.getOrDefault(router, 0);
    }

    /** Number of requests that a node executed. */
    public synchronized int executions(Node node) {
        return executions.getOrDefault(node, 0);
    }

    /**
     * Number of violations of each rule, without rules that were kept. Ends the run: open requests count as overdue.
     */
    public synchronized Map<RuleAudit.RuleKept, Integer> brokenRules() {
        audit.end(Double.POSITIVE_INFINITY);
        return audit.violations();
    }

    /** Description of the first violation and of the first unanswered request, each null if there is none. */
    public synchronized String firstViolation() {
        return audit.firstViolation() + ", " + firstUnansweredRequest;
    }
}
