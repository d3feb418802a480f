package clayhook.sim;

import clayhook.Choice;
import clayhook.Choice.Verdict;
import clayhook.Command;
import clayhook.CommandGroup;
import clayhook.Decide;
import clayhook.Dispatch;
import clayhook.Listing;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.Role;
import clayhook.Settings;
import clayhook.config.LoadReport;
import clayhook.hand.Hand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One router: the ids of its commands and nodes, and the module that decides for them. */
final class SimulatedRouter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static final class SimulatedRequest extends Command {
        private final String id;
        private final long deadlineNanos;

        private SimulatedRequest(
                String id, CommandGroup group, int shard, String session, double wroteAt, long now, long notAfter) {
            super(group, shard, session, wroteAt, toSeconds(now), toSeconds(notAfter));
            this.id = id;
            this.deadlineNanos = notAfter;
        }
    }

    private final long originNanos;
    private final Settings settings;
    private final Map<String, CommandGroup> requestClasses = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    /** Each leaves with its final answer and the last outcome of its dispatches. */
    private final Map<String, SimulatedRequest> requests = new HashMap<>();

    private final Decide policy;
    private final Hand inFlight;

    SimulatedRouter(InputLine line) throws SimulatorProtocolException {
        long seed = line.nextLong("seed");
        var configuration = new SimulatorSettings(line);
        originNanos = configuration.originNanos();
        settings = configuration.settings();
        for (CommandGroup group : settings.groups()) {
            requestClasses.put(group.name(), group);
        }
        policy = new Decide(settings, seed);
        inFlight = new Hand(policy, fault -> {
            throw fault;
        });
    }

    void onArrival(InputLine line, long now) throws SimulatorProtocolException {
        String id = line.nextText("id");
        String service = line.nextText("service");
        CommandGroup group = requestClasses.get(service);
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
        inFlight.taken(command, toSeconds(now));
    }

    void onAttemptFinished(InputLine line, long now) throws SimulatorProtocolException {
        SimulatedRequest command = requests.get(line.nextText("id"));
        int number = (int) line.nextLong("send_no");
        line.nextText("node");
        Outcome outcome = parseOutcome(line);
        double took = (double) line.nextLong("time_taken") / NANOS_PER_SECOND;
        boolean terminal = line.nextLong("terminal", 0) != 0;
        Reply reply = parseResult(line, outcome, took, line.nextLong("stand", 0));
        if (command == null || number < 0 || number >= command.dispatches.size()) {
            throw line.error("answers a dispatch that was never sent");
        }
        Dispatch dispatch = command.dispatches.get(number);
        if (dispatch.outcome != null) {
            throw line.error("answers a dispatch a second time");
        }
        inFlight.ended(dispatch, reply, terminal, toSeconds(now));
    }

    void onHealthCheck(InputLine line, long now) throws SimulatorProtocolException {
        Node node = nodes.get(line.nextText("node"));
        double took = (double) line.nextLong("time_taken") / NANOS_PER_SECOND;
        Reply reply = parseResult(line, parseOutcome(line), took, 0);
        if (node == null) {
            throw line.error("tells of a node that no list named");
        }
        policy.probed(node, reply, toSeconds(now));
    }

    void onDiscovery(InputLine line, int scope, List<SimulatedEndpoint> rows, long now) {
        if (scope == 3) {
            policy.listFailed(toSeconds(now));
            return;
        }
        var listings = new ArrayList<Listing>();
        for (SimulatedEndpoint row : rows) {
            Node node = nodes.computeIfAbsent(row.nodeId(), id -> new Node(id, row.zone(), row.replicaSetId()));
            double since = row.startedAtNanos() > 0 ? toSeconds(row.startedAtNanos()) : 0;
            listings.add(new Listing(node, row.state(), row.primary(), since));
        }
        policy.listed(listings, scope != 0, toSeconds(now));
    }

    void onClientGone(String id) {
        SimulatedRequest command = requests.get(id);
        if (command != null) {
            inFlight.left(command);
            removeIfSettled(command);
        }
    }

    /** Carries out what was decided in this batch; sets the next timer. */
    void tick(long now, StringBuilder out) {
        Hand.Turn turn = inFlight.settle(toSeconds(now));
        for (Hand.Order order : turn.orders()) {
            writeDecision((SimulatedRequest) order.command(), order.choice(), out);
        }
        for (Node node : turn.pause().probes()) {
            out.append("TOUCH ").append(node.id()).append('\n');
        }
        if (turn.pause().watchList()) {
            out.append("KEEP_INFORMED 1\n");
        }
        if (turn.wake() > 0) {
            out.append("SCHEDULE wake ")
                    .append(Math.max(1, Math.round(turn.wake() * NANOS_PER_SECOND)))
                    .append('\n');
        }
    }

    private void writeDecision(SimulatedRequest command, Choice choice, StringBuilder out) {
        for (Dispatch dispatch : choice.recall()) {
            int number = command.dispatches.indexOf(dispatch);
            out.append("RECALL ").append(command.id).append(' ').append(number).append('\n');
        }
        if (choice.verdict() == Verdict.SEND) {
            long limit = Math.min(command.deadlineNanos, Math.round(choice.dispatch().limit * NANOS_PER_SECOND));
            out.append("CALL_OUT ")
                    .append(command.id)
                    .append(' ')
                    .append(limit)
                    .append(' ')
                    .append(choice.dispatch().node.id())
                    .append('\n');
        } else if (choice.verdict() == Verdict.THROTTLE) {
            out.append("REJECT ")
                    .append(command.id)
                    .append(' ')
                    .append(settings.adviceHeeded() ? Math.round(choice.advice() * NANOS_PER_SECOND) : 0)
                    .append('\n');
        } else if (choice.verdict() == Verdict.FAIL) {
            out.append("REPORT_FAILURE ").append(command.id).append('\n');
        }
        removeIfSettled(command);
    }

    private void removeIfSettled(SimulatedRequest command) {
        if (command.finished()) {
            requests.remove(command.id);
        }
    }

    private Outcome parseOutcome(InputLine line) throws SimulatorProtocolException {
        int verdict = (int) line.nextLong("verdict");
        return switch (verdict) {
            case 100 -> Outcome.ANSWERED;
            case 101 -> Outcome.TURNED_AWAY;
            case 301 -> Outcome.ERROR;
            case 302 -> Outcome.FULL;
            case 303 -> Outcome.TIMED_OUT;
            case 304 -> Outcome.CONNECT_FAILED;
            case 305 -> Outcome.RESET;
            case 306 -> Outcome.CANCELLED;
            case 307 -> Outcome.NOT_SENT;
            default -> throw line.error("has an unknown verdict " + verdict);
        };
    }

    private Reply parseResult(InputLine line, Outcome outcome, double took, long stand) throws SimulatorProtocolException {
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
            return new Reply(outcome, took, role, position, report.role(), report.position(), report.load());
        } catch (IllegalArgumentException e) {
            throw line.error(e.getMessage());
        }
    }

    private static double toSeconds(long nanos) {
        return (double) nanos / NANOS_PER_SECOND;
    }
}
