package clayhook.simulator;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
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

/** One router: the ids of its commands and nodes, and the module that decides for them. */
final class SimulatedRouter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final class SimulatedRequest extends Request {
        private final String id;
        private final long deadlineNanos;

        private SimulatedRequest(
                String id, RequestClass group, int shard, String session, double wroteAt, long now, long notAfter) {
            super(group, shard, session, wroteAt, toSeconds(now), toSeconds(notAfter));
            this.id = id;
            this.deadlineNanos = notAfter;
        }
    }

    private final long originNanos;
    private final RoutingSettings settings;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    /** Each leaves with its final answer and the last outcome of its dispatches. */
    private final Map<String, SimulatedRequest> requests = new HashMap<>();

    private final RoutingPolicy policy;
    private final InFlightRequests inFlight;

    SimulatedRouter(InputLine line) throws SimulatorProtocolException {
        long seed = line.nextLong("seed");
        var configuration = new SimulatorSettings(line);
        originNanos = configuration.originNanos();
        settings = configuration.settings();
        for (RequestClass group : settings.requestClasses()) {
            requestClasses.put(group.name(), group);
        }
        policy = new RoutingPolicy(settings, seed);
        inFlight = new InFlightRequests(policy, fault -> {
            throw fault;
        });
    }

    void onArrival(InputLine line, long now) throws SimulatorProtocolException {
        String id = line.nextText("id");
        String service = line.nextText("service");
        RequestClass group = requestClasses.get(service);
        if (group == null) {
            throw line.error("names a service '" + service + "' that the settings lack");
        }
        line.nextOrNull("team");
        String session = line.nextOrNull("session");
        long notAfter = line.nextLong("not_after");
        line.nextOrNull("size_hint");
        int shard = (int) line.nextLong("shard");
        double wroteAgo = line.nextDouble("wrote_ms_ago", 0);
        double wroteAt = wroteAgo > 0 ? toSeconds(now) - wroteAgo / 1000 : 0;
        var command = new SimulatedRequest(id, group, shard, session, wroteAt, now, notAfter);
        requests.put(id, command);
        inFlight.admit(command, toSeconds(now));
    }

    void onAttemptFinished(InputLine line, long now) throws SimulatorProtocolException {
        SimulatedRequest command = requests.get(line.nextText("id"));
        int number = (int) line.nextLong("send_no");
        line.nextText("node");
        AttemptOutcome outcome = parseOutcome(line);
        double took = (double) line.nextLong("time_taken") / NANOS_PER_SECOND;
        boolean terminal = line.nextLong("terminal", 0) != 0;
        AttemptResult reply = parseResult(line, outcome, took, line.nextLong("stand", 0));
        if (command == null || number < 0 || number >= command.attempts.size()) {
            throw line.error("answers a dispatch that was never sent");
        }
        Attempt dispatch = command.attempts.get(number);
        if (dispatch.outcome != null) {
            throw line.error("answers a dispatch a second time");
        }
        inFlight.onAttemptFinished(dispatch, reply, terminal, toSeconds(now));
    }

    void onHealthCheck(InputLine line, long now) throws SimulatorProtocolException {
        Node node = nodes.get(line.nextText("node"));
        double took = (double) line.nextLong("time_taken") / NANOS_PER_SECOND;
        AttemptResult reply = parseResult(line, parseOutcome(line), took, 0);
        if (node == null) {
            throw line.error("tells of a node that no list named");
        }
        policy.onHealthCheck(node, reply, toSeconds(now));
    }

    void onDiscovery(InputLine line, int scope, List<SimulatedEndpoint> rows, long now) {
        if (scope == 3) {
            policy.onEndpointListFailed(toSeconds(now));
            return;
        }
        var listings = new ArrayList<Endpoint>();
        for (SimulatedEndpoint row : rows) {
            Node node = nodes.computeIfAbsent(row.nodeId(), id -> new Node(id, row.zone(), row.replicaSetId()));
            double since = row.startedAtNanos() > 0 ? toSeconds(row.startedAtNanos()) : 0;
            listings.add(new Endpoint(node, row.state(), row.primary(), since));
        }
        policy.onEndpointList(listings, scope != 0, toSeconds(now));
    }

    void onClientGone(String id) {
        SimulatedRequest command = requests.get(id);
        if (command != null) {
            inFlight.onClientGone(command);
            removeIfSettled(command);
        }
    }

    /** Carries out what was decided in this batch; sets the next timer. */
    void tick(long now, StringBuilder out) {
        InFlightRequests.DecisionBatch turn = inFlight.tick(toSeconds(now));
        for (InFlightRequests.RoutedRequest order : turn.routedRequests()) {
            writeDecision((SimulatedRequest) order.request(), order.decision(), out);
        }
        for (Node node : turn.tickResult().healthChecks()) {
            out.append("TOUCH ").append(node.id()).append('\n');
        }
        if (turn.tickResult().pollEndpoints()) {
            out.append("KEEP_INFORMED 1\n");
        }
        if (turn.wakeAfterSeconds() > 0) {
            out.append("SCHEDULE wake ")
                    .append(Math.max(1, Math.round(turn.wakeAfterSeconds() * NANOS_PER_SECOND)))
                    .append('\n');
        }
    }

    private void writeDecision(SimulatedRequest command, Decision choice, StringBuilder out) {
        for (Attempt dispatch : choice.attemptsToCancel()) {
            int number = command.attempts.indexOf(dispatch);
            out.append("RECALL ").append(command.id).append(' ').append(number).append('\n');
        }
        if (choice.action() == RoutingAction.SEND) {
            long limit = Math.min(command.deadlineNanos, Math.round(choice.attempt().timeoutAt * NANOS_PER_SECOND));
            out.append("CALL_OUT ")
                    .append(command.id)
                    .append(' ')
                    .append(limit)
                    .append(' ')
                    .append(choice.attempt().node.id())
                    .append('\n');
        } else if (choice.action() == RoutingAction.REJECT) {
            out.append("REJECT ")
                    .append(command.id)
                    .append(' ')
                    .append(
                            settings.clientsHonorRetryAfter()
                                    ? Math.round(choice.retryAfterSeconds() * NANOS_PER_SECOND)
                                    : 0)
                    .append('\n');
        } else if (choice.action() == RoutingAction.FAIL) {
            out.append("REPORT_FAILURE ").append(command.id).append('\n');
        }
        removeIfSettled(command);
    }

    private void removeIfSettled(SimulatedRequest command) {
        if (command.isRemovable()) {
            requests.remove(command.id);
        }
    }

    private AttemptOutcome parseOutcome(InputLine line) throws SimulatorProtocolException {
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

    private AttemptResult parseResult(InputLine line, AttemptOutcome outcome, double took, long stand)
            throws SimulatorProtocolException {
        Role role =
                switch ((int) (stand % 4)) {
                    case 1 -> Role.PRIMARY;
                    case 2 -> Role.REPLICA;
                    default -> Role.UNKNOWN;
                };
        long told = stand / 4;
        double position = told > 0 ? toSeconds(originNanos + told * 1_000_000) : 0;
        String metrics = line.nextOrNull("metrics");
        try {
            LoadReport report = LoadReport.parse(metrics, ':', toSeconds(originNanos));
            return new AttemptResult(outcome, took, role, position, report.role(), report.position(), report.load());
        } catch (IllegalArgumentException e) {
            throw line.error(e.getMessage());
        }
    }

    private static double toSeconds(long nanos) {
        return (double) nanos / NANOS_PER_SECOND;
    }
}
