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
final class Instance {
    private static final long NANOS = 1_000_000_000L;

    private static final class Identified extends Command {
        private final String id;
        private final long notAfter;

        private Identified(
                String id, CommandGroup group, int shard, String session, double wroteAt, long now, long notAfter) {
            super(group, shard, session, wroteAt, seconds(now), seconds(notAfter));
            this.id = id;
            this.notAfter = notAfter;
        }
    }

    private final long origin;
    private final Settings settings;
    private final Map<String, CommandGroup> groups = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    /** Each leaves with its final answer and the last outcome of its dispatches. */
    private final Map<String, Identified> commands = new HashMap<>();

    private final Decide decide;
    private final Hand hand;

    Instance(Line line) throws BadInput {
        long seed = line.whole("seed");
        var configuration = new Configuration(line);
        origin = configuration.origin();
        settings = configuration.settings();
        for (CommandGroup group : settings.groups()) {
            groups.put(group.name(), group);
        }
        decide = new Decide(settings, seed);
        hand = new Hand(decide, fault -> {
            throw fault;
        });
    }

    void arrival(Line line, long now) throws BadInput {
        String id = line.text("id");
        String service = line.text("service");
        CommandGroup group = groups.get(service);
        if (group == null) {
            throw line.bad("names a service '" + service + "' that the settings lack");
        }
        line.maybe("team");
        String session = line.maybe("session");
        long notAfter = line.whole("not_after");
        line.maybe("size_hint");
        int shard = (int) line.whole("shard");
        double wroteAgo = line.number("wrote_ms_ago", 0);
        double wroteAt = wroteAgo > 0 ? seconds(now) - wroteAgo / 1000 : 0;
        var command = new Identified(id, group, shard, session, wroteAt, now, notAfter);
        commands.put(id, command);
        hand.taken(command, seconds(now));
    }

    void response(Line line, long now) throws BadInput {
        Identified command = commands.get(line.text("id"));
        int number = (int) line.whole("send_no");
        line.text("node");
        Outcome outcome = outcome(line);
        double took = (double) line.whole("time_taken") / NANOS;
        boolean terminal = line.whole("terminal", 0) != 0;
        Reply reply = reply(line, outcome, took, line.whole("stand", 0));
        if (command == null || number < 0 || number >= command.dispatches.size()) {
            throw line.bad("answers a dispatch that was never sent");
        }
        Dispatch dispatch = command.dispatches.get(number);
        if (dispatch.outcome != null) {
            throw line.bad("answers a dispatch a second time");
        }
        hand.ended(dispatch, reply, terminal, seconds(now));
    }

    void health(Line line, long now) throws BadInput {
        Node node = nodes.get(line.text("node"));
        double took = (double) line.whole("time_taken") / NANOS;
        Reply reply = reply(line, outcome(line), took, 0);
        if (node == null) {
            throw line.bad("tells of a node that no list named");
        }
        decide.probed(node, reply, seconds(now));
    }

    void discovery(Line line, int scope, List<Row> rows, long now) {
        if (scope == 3) {
            decide.listFailed(seconds(now));
            return;
        }
        var listings = new ArrayList<Listing>();
        for (Row row : rows) {
            Node node = nodes.computeIfAbsent(row.node(), id -> new Node(id, row.zone(), row.group()));
            double since = row.since() > 0 ? seconds(row.since()) : 0;
            listings.add(new Listing(node, row.state(), row.primary(), since));
        }
        decide.listed(listings, scope != 0, seconds(now));
    }

    void gone(String id) {
        Identified command = commands.get(id);
        if (command != null) {
            hand.left(command);
            release(command);
        }
    }

    /** Carries out what was decided in this batch; sets the next timer. */
    void settle(long now, StringBuilder out) {
        Hand.Turn turn = hand.settle(seconds(now));
        for (Hand.Order order : turn.orders()) {
            carryOut((Identified) order.command(), order.choice(), out);
        }
        for (Node node : turn.pause().probes()) {
            out.append("TOUCH ").append(node.id()).append('\n');
        }
        if (turn.pause().watchList()) {
            out.append("KEEP_INFORMED 1\n");
        }
        if (turn.wake() > 0) {
            out.append("SCHEDULE wake ")
                    .append(Math.max(1, Math.round(turn.wake() * NANOS)))
                    .append('\n');
        }
    }

    private void carryOut(Identified command, Choice choice, StringBuilder out) {
        for (Dispatch dispatch : choice.recall()) {
            int number = command.dispatches.indexOf(dispatch);
            out.append("RECALL ").append(command.id).append(' ').append(number).append('\n');
        }
        if (choice.verdict() == Verdict.SEND) {
            long limit = Math.min(command.notAfter, Math.round(choice.dispatch().limit * NANOS));
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
                    .append(settings.adviceHeeded() ? Math.round(choice.advice() * NANOS) : 0)
                    .append('\n');
        } else if (choice.verdict() == Verdict.FAIL) {
            out.append("REPORT_FAILURE ").append(command.id).append('\n');
        }
        release(command);
    }

    private void release(Identified command) {
        if (command.finished()) {
            commands.remove(command.id);
        }
    }

    private Outcome outcome(Line line) throws BadInput {
        int verdict = (int) line.whole("verdict");
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
            default -> throw line.bad("has an unknown verdict " + verdict);
        };
    }

    private Reply reply(Line line, Outcome outcome, double took, long stand) throws BadInput {
        Role role =
                switch ((int) (stand % 4)) {
                    case 1 -> Role.PRIMARY;
                    case 2 -> Role.REPLICA;
                    default -> Role.UNKNOWN;
                };
        long told = stand / 4;
        double position = told > 0 ? seconds(origin + told * 1_000_000) : 0;
        String metrics = line.maybe("metrics");
        try {
            LoadReport report = LoadReport.parse(metrics, ':', seconds(origin));
            return new Reply(outcome, took, role, position, report.role(), report.position(), report.load());
        } catch (IllegalArgumentException e) {
            throw line.bad(e.getMessage());
        }
    }

    private static double seconds(long nanos) {
        return (double) nanos / NANOS;
    }
}
