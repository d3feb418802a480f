package clayhook.simulator;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.Role;
import clayhook.RoutingPolicy;
import clayhook.RoutingSettings;
import clayhook.config.LoadReport;
import clayhook.inflight.InFlightRequests;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A router in the simulator. It maps the ids of requests and nodes in the protocol to objects, passes events to its
 * routing policy and encodes the decisions of the policy. Times in the protocol are nanoseconds of the simulator's
 * clock; the policy uses seconds. Not thread-safe.
 */
final class SimulatedRouter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1000;

    /** The field {@code stand} of a response is four times the applied position in milliseconds, plus the role code. */
    private static final int ROLE_CODES = 4;

    private static final int PRIMARY_CODE = 1;
    private static final int REPLICA_CODE = 2;

    private static final class SimulatedRequest extends Request {
        private final String id;
        private final long deadlineNanos;

        private SimulatedRequest(
                String id,
                RequestClass requestClass,
                int replicaSetId,
                String sessionId,
                double lastWritePosition,
                long now,
                long deadlineNanos) {
            super(requestClass, replicaSetId, sessionId, lastWritePosition, toSeconds(now), toSeconds(deadlineNanos));
            this.id = id;
            this.deadlineNanos = deadlineNanos;
        }
    }

    private final long originNanos;
    private final RoutingSettings settings;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    /** Requests by id. A request is removed once it has its final answer and all its attempts have an outcome. */
    private final Map<String, SimulatedRequest> requests = new HashMap<>();

    private final RoutingPolicy policy;
    private final InFlightRequests inFlight;

    /** Creates a router from the remaining fields of a CONFIGURE line, a seed and settings. */
    SimulatedRouter(InputLine line) throws SimulatorProtocolException {
        long seed = line.nextLong("seed");
        var configured = new SimulatorSettings(line);
        originNanos = configured.originNanos();
        settings = configured.settings();
        for (RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.name(), requestClass);
        }
        policy = new RoutingPolicy(settings, seed);
        inFlight = new InFlightRequests(policy, fault -> {
            throw fault;
        });
    }

    // ---- events ----

    void onArrival(InputLine line, long now) throws SimulatorProtocolException {
        String id = line.nextText("id");
        String service = line.nextText("service");
        RequestClass requestClass = requestClasses.get(service);
        if (requestClass == null) {
            throw line.error("names a service '" + service + "' that the settings lack");
        }
        line.nextOrNull("team");
        String sessionId = line.nextOrNull("session");
        long deadlineNanos = line.nextLong("not_after");
        line.nextOrNull("size_hint");
        int replicaSetId = (int) line.nextLong("shard");
        double wroteMillisAgo = line.nextDouble("wrote_ms_ago", 0);
        double lastWritePosition = wroteMillisAgo > 0 ? toSeconds(now) - wroteMillisAgo / MILLIS_PER_SECOND : 0;
        var request =
                new SimulatedRequest(id, requestClass, replicaSetId, sessionId, lastWritePosition, now, deadlineNanos);
        requests.put(id, request);
        inFlight.admit(request, toSeconds(now));
    }

    void onAttemptFinished(InputLine line, long now) throws SimulatorProtocolException {
        SimulatedRequest request = requests.get(line.nextText("id"));
        int number = (int) line.nextLong("send_no");
        line.nextText("node");
        AttemptOutcome outcome = parseOutcome(line);
        double elapsedSeconds = toSeconds(line.nextLong("time_taken"));
        boolean terminal = line.nextLong("terminal", 0) != 0;
        AttemptResult result = parseResult(line, outcome, elapsedSeconds, line.nextLong("stand", 0));
        if (request == null || number < 0 || number >= request.attempts.size()) {
            throw line.error("answers a dispatch that was never sent");
        }
        Attempt attempt = request.attempts.get(number);
        if (attempt.outcome != null) {
            throw line.error("answers a dispatch a second time");
        }
        inFlight.onAttemptFinished(attempt, result, terminal, toSeconds(now));
    }

    void onHealthCheck(InputLine line, long now) throws SimulatorProtocolException {
        Node node = nodes.get(line.nextText("node"));
        double elapsedSeconds = toSeconds(line.nextLong("time_taken"));
        AttemptResult result = parseResult(line, parseOutcome(line), elapsedSeconds, 0);
        if (node == null) {
            throw line.error("names a node that no endpoint list contains");
        }
        policy.onHealthCheck(node, result, toSeconds(now));
    }

    void onEndpointListFailed(long now) {
        policy.onEndpointListFailed(toSeconds(now));
    }

    void onEndpointList(List<SimulatedEndpoint> received, boolean complete, long now) {
        var endpoints = new ArrayList<Endpoint>();
        for (SimulatedEndpoint endpoint : received) {
            Node node = nodes.computeIfAbsent(
                    endpoint.nodeId(), id -> new Node(id, endpoint.zone(), endpoint.replicaSetId()));
            double startedAt = endpoint.startedAtNanos() > 0 ? toSeconds(endpoint.startedAtNanos()) : 0;
            endpoints.add(new Endpoint(node, endpoint.state(), endpoint.primary(), startedAt));
        }
        policy.onEndpointList(endpoints, complete, toSeconds(now));
    }

    void onClientGone(String requestId) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            inFlight.onClientGone(request);
            removeIfSettled(request);
        }
    }

    // ---- decisions ----

    /** Appends the decisions, health checks and polls of this batch and the next timer to {@code out}. */
    void tick(long now, StringBuilder out) {
        InFlightRequests.DecisionBatch batch = inFlight.tick(toSeconds(now));
        for (InFlightRequests.RoutedRequest routed : batch.routedRequests()) {
            writeDecision((SimulatedRequest) routed.request(), routed.decision(), out);
        }
        for (Node node : batch.tickResult().healthChecks()) {
            out.append("TOUCH ").append(node.id()).append('\n');
        }
        if (batch.tickResult().pollEndpoints()) {
            out.append("KEEP_INFORMED 1\n");
        }
        if (batch.wakeAfterSeconds() > 0) {
            out.append("SCHEDULE wake ")
                    .append(Math.max(1, toNanos(batch.wakeAfterSeconds())))
                    .append('\n');
        }
    }

    private void writeDecision(SimulatedRequest request, Decision decision, StringBuilder out) {
        for (Attempt attempt : decision.attemptsToCancel()) {
            int number = request.attempts.indexOf(attempt);
            out.append("RECALL ").append(request.id).append(' ').append(number).append('\n');
        }
        switch (decision.action()) {
            case SEND -> writeSend(request, decision.attempt(), out);
            case REJECT ->
                out.append("REJECT ")
                        .append(request.id)
                        .append(' ')
                        .append(settings.clientsHonorRetryAfter() ? toNanos(decision.retryAfterSeconds()) : 0)
                        .append('\n');
            case FAIL -> out.append("REPORT_FAILURE ").append(request.id).append('\n');
            default -> {}
        }
        removeIfSettled(request);
    }

    private static void writeSend(SimulatedRequest request, Attempt attempt, StringBuilder out) {
        long timeoutAt = Math.min(request.deadlineNanos, toNanos(attempt.timeoutAt));
        out.append("CALL_OUT ")
                .append(request.id)
                .append(' ')
                .append(timeoutAt)
                .append(' ')
                .append(attempt.node.id())
                .append('\n');
    }

    private void removeIfSettled(SimulatedRequest request) {
        if (request.isRemovable()) {
            requests.remove(request.id);
        }
    }

    // ---- fields of the protocol ----

    private static AttemptOutcome parseOutcome(InputLine line) throws SimulatorProtocolException {
        int verdict = (int) line.nextLong("verdict");
        return switch (verdict) {
            case 100 -> AttemptOutcome.ANSWERED;
            case 101 -> AttemptOutcome.REJECTED;
            case 301 -> AttemptOutcome.ERROR;
            case 302 -> AttemptOutcome.OVERLOADED;
            case 303 -> AttemptOutcome.TIMED_OUT;
            case 304 -> AttemptOutcome.CONNECT_FAILED;
            case 305 -> AttemptOutcome.RESET;
            case 306 -> AttemptOutcome.CANCELLED;
            case 307 -> AttemptOutcome.NOT_SENT;
            default -> throw line.error("has an unknown verdict " + verdict);
        };
    }

    private AttemptResult parseResult(
            InputLine line, AttemptOutcome outcome, double elapsedSeconds, long roleAndPosition)
            throws SimulatorProtocolException {
        Role role =
                switch ((int) (roleAndPosition % ROLE_CODES)) {
                    case PRIMARY_CODE -> Role.PRIMARY;
                    case REPLICA_CODE -> Role.REPLICA;
                    default -> Role.UNKNOWN;
                };
        long positionMillis = roleAndPosition / ROLE_CODES;
        double position = positionMillis > 0 ? toSeconds(originNanos + positionMillis * NANOS_PER_MILLI) : 0;
        String metrics = line.nextOrNull("metrics");
        try {
            LoadReport report = LoadReport.parse(metrics, ':', toSeconds(originNanos));
            return new AttemptResult(
                    outcome, elapsedSeconds, role, position, report.role(), report.position(), report.load());
        } catch (IllegalArgumentException e) {
            throw line.error(e.getMessage());
        }
    }

    private static double toSeconds(long nanos) {
        return (double) nanos / NANOS_PER_SECOND;
    }

    private static long toNanos(double seconds) {
        return Math.round(seconds * NANOS_PER_SECOND);
    }
}
