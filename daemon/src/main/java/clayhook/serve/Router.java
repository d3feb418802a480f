package clayhook.serve;

import clayhook.Choice.Verdict;
import clayhook.Choice;
import clayhook.Command;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup;
import clayhook.Decide;
import clayhook.Dispatch;
import clayhook.Listing;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.Settings;
import clayhook.config.Configuration;
import clayhook.discovery.Discovery;
import clayhook.discovery.NodeList;
import clayhook.front.ClientCommand;
import clayhook.front.Front;
import clayhook.front.Session;
import clayhook.hand.Hand;
import clayhook.log.Log;
import clayhook.nodes.Nodes;
import clayhook.protocol.Statement;
import clayhook.transport.Clock;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/** The loop: gathers what is ready, hands it to the module in one go, carries out what came back. */
public final class Router implements Session.Listener, Nodes.Listener, Discovery.Listener {
    /** Time between summaries in the log. */
    private static final double SUMMARY = 10;
    /** Time between looks at connections that open or stand idle; short beside a connection's time limit. */
    private static final double SWEEP = 0.05;
    /** A turn this much later than it was asked for is logged: the process stood still. */
    private static final double PAUSE = 0.1;

    /** Where a corrected clock falls short of the time asked for. */
    private static final double LEAST_WAKE = 0.001;

    private final Configuration started;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Settings settings;
    private final Map<String, CommandGroup> groups = new HashMap<>();
    private final Decide decide;
    private final Hand hand;
    private final Nodes nodes;
    private final Discovery discovery;
    private final Front front;
    private final Descriptors descriptors;
    /** The commands that sessions wait for; each leaves with its final answer. */
    private final Map<Session, ClientCommand> waiting = new HashMap<>();
    /** Their ids. */
    private final Set<String> open = new HashSet<>();
    /** What came in since the last turn; lists go before the rest. */
    private List<DoubleConsumer> lists = new ArrayList<>();
    private List<DoubleConsumer> rest = new ArrayList<>();
    /** Answers to be passed on at the end of the turn. */
    private final Map<ClientCommand, List<byte[]>> answers = new HashMap<>();
    private boolean turning;
    private ScheduledFuture<?> wake;
    private double sweepAt;
    private double wakeAt = Double.POSITIVE_INFINITY;
    /** The latest turn since the last summary. */
    private double late;
    private double summaryAt = clock.now() + SUMMARY;

    public Router(Transport transport, Configuration configuration) throws InterruptedException {
        started = configuration;
        loop = transport.loop();
        settings = configuration.settings();
        settings.groups().forEach(g -> groups.put(g.name(), g));
        descriptors = new Descriptors(configuration.sockets());
        decide = new Decide(settings, configuration.seed());
        hand = new Hand(decide, fault -> Log.fault("a turn failed", fault));
        nodes = new Nodes(transport, clock, descriptors, configuration.memory(), configuration.connectTimeout(),
                settings.connectionIdle(), this);
        discovery = new Discovery(transport, configuration.discovery(), configuration.known().version(), this);
        decide.listed(listings(configuration.known()), true, clock.now());
        front = new Front(transport, configuration.listen(), descriptors, configuration.memory(), clock::now, this);
        turning = true;
        loop.execute(this::turn);
    }

    private void tell(List<DoubleConsumer> inbox, DoubleConsumer news) {
        inbox.add(news);
        if (!turning) {
            turning = true;
            loop.execute(this::turn);
        }
    }

    // ---- what is heard ----

    @Override
    public void taken(Session session, Statement statement) {
        CommandGroup group = groups.get(statement.group);
        String fault = fault(group, statement);
        if (fault != null) {
            Log.warn("client", fault);
            loop.execute(() -> session.rejected(fault));
            return;
        }
        open.add(statement.id);
        tell(rest, now -> {
            var command = new ClientCommand(group, statement, session, now);
            waiting.put(session, command);
            hand.taken(command, now);
        });
    }

    /** Why the statement is none that can be taken, or null. */
    private String fault(CommandGroup group, Statement statement) {
        return group == null ? "unknown command group"
                : group.level() == ReadLevel.WRITE != statement.writes ? "a statement of another kind than its command group"
                : group.effect() == Effect.KEYED && !statement.keyed ? "no key in a keyed command group"
                : !nodes.listed(statement.nodeGroup) ? "unknown group of nodes"
                : open.contains(statement.id) ? "the id of an open command" : null;
    }

    @Override
    public void left(Session session) {
        tell(rest, now -> {
            ClientCommand command = waiting.remove(session);
            if (command != null) {
                open.remove(command.statement.id);
                Log.count("left");
                hand.left(command);
            }
        });
    }

    @Override
    public void ended(Dispatch dispatch, Reply reply, List<byte[]> answer) {
        Log.count(reply.outcome().toString());
        tell(rest, now -> {
            var command = (ClientCommand) dispatch.command;
            boolean answers = reply.outcome() == Outcome.ANSWERED && !command.over;
            if (answers) {
                this.answers.put(command, answer);
            }
            hand.ended(dispatch, reply, answers, now);
        });
    }

    @Override
    public void probed(Node node, Reply reply) {
        Log.count("probe " + reply.outcome());
        tell(rest, now -> decide.probed(node, reply, now));
    }

    @Override
    public boolean mayGo(Dispatch dispatch) {
        return decide.mayStillGo(dispatch, clock.now());
    }

    @Override
    public boolean knows(Node node) {
        return decide.knows(node);
    }

    @Override
    public void listed(NodeList list) {
        tell(lists, now -> decide.listed(listings(list), list.whole(), now));
    }

    @Override
    public void listFailed() {
        tell(lists, decide::listFailed);
    }

    private List<Listing> listings(NodeList list) {
        var listings = new ArrayList<Listing>();
        for (NodeList.Entry entry : list.entries()) {
            Node node = nodes.at(entry.id(), entry.zone(), entry.group(), entry.address());
            listings.add(new Listing(node, entry.state(), entry.primary(), entry.startedAt()));
        }
        return listings;
    }

    // ---- the turn ----

    private void turn() {
        double now = clock.now();
        turning = false;
        guarded(() -> turn(now));
        if (wake == null) {
            wake(now, Math.max(LEAST_WAKE, hand.remaining(now)));
        }
    }

    private void turn(double now) {
        late = Math.max(late, now - wakeAt);
        if (now > wakeAt + PAUSE) {
            Log.warn("pause", "stood still for " + Math.round((now - wakeAt) * 1000) + " ms");
        }
        hand.overdue(now).forEach(nodes::expire);
        List<DoubleConsumer> first = lists;
        List<DoubleConsumer> then = rest;
        lists = new ArrayList<>();
        rest = new ArrayList<>();
        first.forEach(news -> guarded(() -> news.accept(now)));
        then.forEach(news -> guarded(() -> news.accept(now)));
        Hand.Turn turn = hand.settle(now);
        turn.orders().forEach(order -> guarded(() -> carryOut(order.command(), order.choice())));
        turn.pause().probes().forEach(nodes::probe);
        if (turn.pause().watchList()) {
            discovery.watch();
        }
        if (turn.wake() > 0) {
            wake(now, turn.wake());
        }
        if (now >= sweepAt) {
            sweepAt = now + SWEEP;
            nodes.sweep();
            front.sweep(now);
        }
        if (now >= summaryAt) {
            summaryAt = now + SUMMARY;
            Log.info("summary: clients " + front.size() + ", connections to nodes " + nodes.connections()
                    + ", in hand " + hand.size() + ", descriptors at most "
                    + descriptors.peak() + ", turns late at most " + Math.round(late * 1000) + " ms, " + Log.counts());
            Log.info("nodes: believed " + decide.beliefs(now) + ", under way " + nodes.underWay());
            late = 0;
        }
    }

    /** A failure costs one piece of news or one command, not the loop. */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            Log.fault("a turn failed", e);
        }
    }

    private void wake(double now, double seconds) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAt = now + seconds;
        wake = loop.schedule(() -> {
            wake = null;
            turn();
        }, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void carryOut(Command command, Choice choice) {
        var order = (ClientCommand) command;
        choice.recall().forEach(nodes::recall);
        if (choice.verdict() == Verdict.SEND) {
            nodes.send(choice.dispatch(), order.statement);
            return;
        }
        Log.count(choice.verdict() + " " + order.group.name());
        List<byte[]> answer = answers.remove(order);
        if (!waiting.remove(order.session, order)) {
            return;
        }
        open.remove(order.statement.id);
        if (answer != null) {
            order.session.answered(answer);
        } else if (choice.verdict() == Verdict.THROTTLE) {
            order.session.throttled(settings.adviceHeeded() ? choice.advice() : 0);
        } else if (choice.verdict() == Verdict.FAIL) {
            order.session.failed();
        }
    }

    /** Follows discovery; what else differs from the start is only told. */
    void reload(Configuration fresh) {
        String kept = started.unlike(fresh);
        Log.info("reload: discovery at " + fresh.discovery()
                + (kept.isEmpty() ? "" : "; a restart is needed for " + kept));
        discovery.move(fresh.discovery());
    }

    InetSocketAddress address() {
        return front.address();
    }

    // ---- the end ----

    void close() {
        loop.execute(discovery::close);
    }

    /** Takes no more connections and ends each session once what it has taken is answered. */
    void end() {
        front.end();
    }

    /** Nothing can be waited for any more. */
    void giveUp() {
        tell(rest, now -> hand.giveUp());
    }

    boolean ended() {
        return front.size() == 0;
    }
}
