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
import clayhook.Pause;
import clayhook.Reply;
import clayhook.Role;
import clayhook.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One router: the commands it holds, by their ids, and the module that decides for them. */
final class Instance {
    private static final long NANOS = 1_000_000_000L;

    /** A command with its id; it stays until it has its final answer and every dispatch its outcome. */
    private static final class Held {
        private final String id;
        private final Command command;
        private final long expires;
        private boolean concluded;
        private int out;

        private Held(String id, Command command, long expires) {
            this.id = id;
            this.command = command;
            this.expires = expires;
        }
    }

    private final long origin;
    private final Settings settings;
    private final Map<String, CommandGroup> groups = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Decide decide;
    private long nextTimer = Long.MAX_VALUE;

    Instance(Line line) throws BadInput {
        long seed = line.whole("seed");
        var configuration = new Configuration(line);
        origin = configuration.origin();
        settings = configuration.settings();
        for (CommandGroup group : settings.groups()) {
            groups.put(group.name(), group);
        }
        decide = new Decide(settings, seed);
    }

    void arrival(Line line, long now, StringBuilder out) throws BadInput {
        String id = line.text("id");
        String service = line.text("service");
        CommandGroup group = groups.get(service);
        if (group == null) {
            throw line.bad("names a service '" + service + "' that the settings lack");
        }
        line.maybe("team");
        String session = line.maybe("session");
        long expires = line.whole("not_after");
        line.maybe("size_hint");
        int shard = (int) line.whole("shard");
        double wroteAgo = line.number("wrote_ms_ago", 0);
        double wroteAt = wroteAgo > 0 ? seconds(now) - wroteAgo / 1000 : 0;
        var command = new Command(group, shard, session, wroteAt, seconds(now), seconds(expires));
        var entry = new Held(id, command, expires);
        held.put(id, entry);
        carryOut(entry, decide.where(command, seconds(now)), out);
    }

    void response(Line line, long now, StringBuilder out) throws BadInput {
        Held entry = held.get(line.text("id"));
        int number = (int) line.whole("send_no");
        line.text("node");
        Outcome outcome = outcome(line);
        double took = (double) line.whole("time_taken") / NANOS;
        boolean terminal = line.whole("terminal", 0) != 0;
        Reply reply = reply(line, outcome, took, line.whole("stand", 0));
        if (entry == null || number < 0 || number >= entry.command.dispatches.size()) {
            throw line.bad("answers a dispatch that was never sent");
        }
        Dispatch dispatch = entry.command.dispatches.get(number);
        if (dispatch.outcome != null) {
            throw line.bad("answers a dispatch a second time");
        }
        entry.out--;
        boolean over = entry.concluded || terminal;
        Choice choice = decide.after(dispatch, reply, over, seconds(now));
        entry.concluded = over;
        carryOut(entry, choice, out);
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
        Held entry = held.get(id);
        if (entry != null && !entry.concluded) {
            entry.concluded = true;
            release(entry);
        }
    }

    /** Asks again about every command in hand once the module's pause is over; sets the next timer. */
    void settle(long now, StringBuilder out) {
        if (now >= nextTimer) {
            nextTimer = Long.MAX_VALUE;
            for (Held entry : new ArrayList<>(held.values())) {
                if (!entry.concluded) {
                    carryOut(entry, decide.where(entry.command, seconds(now)), out);
                }
            }
        }
        Pause pause = decide.pause(seconds(now));
        for (Node node : pause.probes()) {
            out.append("TOUCH ").append(node.id()).append('\n');
        }
        if (pause.watchList()) {
            out.append("KEEP_INFORMED 1\n");
        }
        long delay = Math.max(1, Math.round(pause.seconds() * NANOS));
        if (nextTimer == Long.MAX_VALUE || now + delay < nextTimer) {
            nextTimer = now + delay;
            out.append("SCHEDULE wake ").append(delay).append('\n');
        }
    }

    private void carryOut(Held entry, Choice first, StringBuilder out) {
        Choice choice = first;
        for (Dispatch dispatch : choice.recall()) {
            int number = entry.command.dispatches.indexOf(dispatch);
            out.append("RECALL ").append(entry.id).append(' ').append(number).append('\n');
        }
        if (choice.verdict() == Verdict.SEND) {
            entry.command.dispatches.add(choice.dispatch());
            entry.out++;
            long limit = Math.min(entry.expires, Math.round(choice.dispatch().limit * NANOS));
            out.append("CALL_OUT ").append(entry.id).append(' ').append(limit).append(' ')
                    .append(choice.dispatch().node.id()).append('\n');
        } else if (choice.verdict() == Verdict.THROTTLE) {
            entry.concluded = true;
            out.append("REJECT ").append(entry.id).append(' ')
                    .append(settings.adviceHeeded() ? Math.round(choice.advice() * NANOS) : 0).append('\n');
        } else if (choice.verdict() == Verdict.FAIL) {
            entry.concluded = true;
            out.append("REPORT_FAILURE ").append(entry.id).append('\n');
        }
        release(entry);
    }

    private void release(Held entry) {
        if (entry.concluded && entry.out == 0) {
            held.remove(entry.id);
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
        Role role = switch ((int) (stand % 4)) {
            case 1 -> Role.PRIMARY;
            case 2 -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
        long told = stand / 4;
        double position = told > 0 ? seconds(origin + told * 1_000_000) : 0;
        Role reportedRole = Role.UNKNOWN;
        double reportedPosition = 0;
        double load = -1;
        String metrics = line.maybe("metrics");
        if (metrics != null) {
            for (String pair : metrics.split(",")) {
                int sign = pair.indexOf(':');
                if (sign < 0) {
                    throw line.bad("has a report value '" + pair + "' without a name");
                }
                double value = decimal(line, pair.substring(sign + 1));
                switch (pair.substring(0, sign)) {
                    case "x0" -> reportedPosition = seconds(origin) + value;
                    case "x1" -> reportedRole = value > 0.5 ? Role.PRIMARY : Role.REPLICA;
                    case "rif", "q" -> load = Math.max(load, value);
                    default -> { }
                }
            }
        }
        return new Reply(outcome, took, role, position, reportedRole, reportedPosition, load);
    }

    private static double decimal(Line line, String text) throws BadInput {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw line.bad("has '" + text + "' in its report, not a number");
        }
    }

    private static double seconds(long nanos) {
        return (double) nanos / NANOS;
    }
}
