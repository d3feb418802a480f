package clayhook;

import clayhook.Choice.Verdict;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A plain fleet in virtual time: real {@link Decide} instances with unequal traffic, nodes that serve one command after
 * another, some of them cold. It adds up what all routers together send to each cold node. Times are seconds.
 */
final class ColdFleet {
    private static final double WARM_AFTER = 18, COLD_SHARE = 0.29, WINDOW = 3;
    /** Writes take more work than reads; the last is that of all commands. */
    private static final double WRITES = 0.08, WRITE_WORK = 1.6, MEAN_WORK = 1 + WRITES * (WRITE_WORK - 1);
    /** What a new connection and a probe cost a node, in reads. */
    private static final double CONNECT_WORK = 0.1, PROBE_WORK = 0.01;

    private static final int TEAMS = 4, MEMBERS = 6;
    private static final double START = 1000, COLD_AT = START + 5, END = START + 22;

    /** What happens; where nothing else is said one node a group joins, cold, and soon after comes the trouble. */
    enum Trouble {
        NONE,
        /** No node joins: a third of the nodes were dead and come back cold, all at once. */
        ZONE,
        /** All other replicas drain. */
        DRAIN,
        /** All other replicas die. */
        DIE,
        /** Twice the commands for five seconds. */
        BURST,
        /** All other replicas drain, and twice the commands come for five seconds. */
        DRAIN_IN_BURST,
        /** The other replicas of one group drain, and three times the commands come to it for five seconds. */
        DRAIN_ONE_IN_BURST,
        /** Seven in ten routers are killed and begin anew at once. */
        RESTART,
        /** The same, and all other replicas drain. */
        DRAIN_AND_RESTART,
        /** The primary dies, and the cold node takes over. */
        PRIMARY
    }

    private record Event(double at, long order, Runnable what) {}

    private record Work(double at, double amount, boolean told) {}

    private static final class Ask extends Command {
        final int tries;

        Ask(CommandGroup group, int team, double now, int tries) {
            super(group, team, null, 0, now, now + group.clientTimeout());
            this.tries = tries;
        }
    }

    private final class Machine {
        final Node node;
        /** 0 for long ago. */
        double startedAt;

        boolean dead, primary, draining;
        /** When it will have done all that it holds. */
        double freeAt;

        final List<Work> whileCold = new ArrayList<>();

        Machine(int team, int member) {
            node = new Node(team + "/" + member, member % 2 == 0 ? "north" : "south", team);
        }

        double warmth(double at) {
            double grown = Math.max(0, Math.min(1, (at - startedAt) / WARM_AFTER));
            return startedAt == 0 ? 1 : COLD_SHARE + (1 - COLD_SHARE) * grown;
        }

        void gets(double work, Router from) {
            if (warmth(now) < 1) {
                whileCold.add(new Work(now, work / MEAN_WORK, from.told.getOrDefault(this, -1.0) == startedAt));
            }
        }

        Reply reply(Outcome outcome, double took) {
            Role role = primary ? Role.PRIMARY : Role.REPLICA;
            double position = primary ? now : now - 0.01;
            return new Reply(outcome, took, role, position, role, position, 1);
        }

        /** The greatest part of what it bears that came within any window; what is chance included. */
        void judge() {
            var window = new ArrayDeque<Work>();
            double sum = 0, told = 0;
            boolean fell = false;
            for (Work work : whileCold) {
                window.add(work);
                sum += work.amount;
                told += work.told ? work.amount : 0;
                while (window.peek().at <= work.at - WINDOW) {
                    Work old = window.poll();
                    sum -= old.amount;
                    told -= old.told ? old.amount : 0;
                }
                double bears = factor * WINDOW * capacity * warmth(Math.max(startedAt, work.at - WINDOW));
                double part = sum / (bears + 2 * Math.sqrt(bears) + 2);
                boolean breaks = told > sum * 2 / 3;
                worst = breaks ? Math.max(worst, part) : worst;
                if (part > 1 && !fell) {
                    fell = true;
                    falls++;
                    broken += breaks ? 1 : 0;
                }
            }
            double from = startedAt;
            coldWork += whileCold.stream().mapToDouble(Work::amount).sum();
            coldCapacity += startedAt == 0 ? 0 : capacity * (END - from) * (warmth(from) + warmth(END)) / 2;
        }
    }

    private final class Router {
        Decide decide;
        final List<Ask> held = new ArrayList<>();
        /** The last life of each node that it was told of. */
        final Map<Machine, Double> told = new HashMap<>();
        /** Outcomes of what an earlier life sent tell it nothing. */
        int life;

        private long turn;

        void begin() {
            life++;
            List<Ask> lost = List.copyOf(held);
            held.clear();
            told.clear();
            decide = new Decide(settings, random.nextLong());
            decide.listed(machines.stream().map(this::listing).toList(), true, now);
            settle();
            lost.forEach(cmd -> arrive(cmd.group, cmd.nodeGroup, cmd.tries + 1));
        }

        Listing listing(Machine m) {
            told.put(m, m.startedAt);
            return new Listing(
                    m.node, m.draining ? Listing.State.DRAINING : Listing.State.READY, m.primary, m.startedAt);
        }

        void take(Ask cmd) {
            act(cmd, decide.where(cmd, now));
            settle();
        }

        private void act(Ask cmd, Choice choice) {
            if (choice.verdict() == Verdict.SEND) {
                cmd.dispatches.add(choice.dispatch());
                send(choice.dispatch());
            } else if (choice.verdict() == Verdict.NOT_YET) {
                held.add(cmd);
            } else if (choice.verdict() == Verdict.THROTTLE && cmd.tries < 2) {
                in(choice.advice(), () -> arrive(cmd.group, cmd.nodeGroup, cmd.tries + 1));
            }
        }

        private void send(Dispatch dispatch) {
            Machine m = byNode.get(dispatch.node);
            double work = dispatch.command.group.level() == ReadLevel.WRITE ? WRITE_WORK : 1;
            int sentBy = life;
            if (m.dead) {
                in(0.25, () -> ended(dispatch, sentBy, Outcome.CONNECT_FAILED, m));
                return;
            }
            m.gets(work + (dispatch.connects ? CONNECT_WORK : 0), this);
            if (m.freeAt - now > 1) {
                in(0.001, () -> ended(dispatch, sentBy, Outcome.FULL, m));
                return;
            }
            m.freeAt = Math.max(now, m.freeAt) + work / MEAN_WORK / (capacity * m.warmth(now));
            double took = m.freeAt - now + 0.002 * (0.5 + random.nextDouble());
            boolean late = now + took > dispatch.limit;
            in(
                    late ? dispatch.limit - now : took,
                    () -> ended(dispatch, sentBy, late ? Outcome.TIMED_OUT : Outcome.ANSWERED, m));
        }

        private void ended(Dispatch dispatch, int sentBy, Outcome outcome, Machine m) {
            if (sentBy != life) {
                return;
            }
            Ask cmd = (Ask) dispatch.command;
            double took = now - dispatch.sentAt;
            boolean spoke = (outcome == Outcome.ANSWERED || outcome == Outcome.FULL) && !m.dead;
            Reply reply = spoke
                    ? m.reply(outcome, took)
                    : Reply.untold(outcome == Outcome.ANSWERED ? Outcome.RESET : outcome, took);
            boolean done = reply.outcome() == Outcome.ANSWERED && !cmd.over;
            served += done && now <= cmd.arrived + cmd.group.responseTarget() ? 1 : 0;
            cmd.over |= done;
            held.remove(cmd);
            Choice choice = decide.after(dispatch, reply, cmd.over, now);
            if (!cmd.over) {
                act(cmd, choice);
            }
            settle();
        }

        /** As a front does: it asks how long to wait, sends the probes, and then asks again about all in hand. */
        void settle() {
            Pause pause = decide.pause(now);
            int asked = life;
            for (Node node : pause.probes()) {
                Machine m = byNode.get(node);
                boolean dead = m.dead;
                if (!dead) {
                    m.gets(PROBE_WORK, this);
                }
                in(dead ? 0.25 : 0.002, () -> {
                    if (asked == life) {
                        decide.probed(
                                node,
                                dead ? Reply.untold(Outcome.CONNECT_FAILED, 0.25) : m.reply(Outcome.ANSWERED, 0.002),
                                now);
                    }
                });
            }
            long mine = ++turn;
            in(pause.seconds(), () -> {
                if (mine == turn) {
                    List<Ask> all = List.copyOf(held);
                    held.clear();
                    all.forEach(cmd -> act(cmd, decide.where(cmd, now)));
                    settle();
                }
            });
        }
    }

    private final Random random;
    private final Settings settings;
    private final double capacity, factor, spread;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<Machine> machines = new ArrayList<>();
    private final Map<Node, Machine> byNode = new HashMap<>();
    private final List<Router> routers = new ArrayList<>();
    /** The part of the traffic that comes to the routers up to each. */
    private final double[] upTo;

    private final List<CommandGroup> groups;
    private double now = START, rate;
    /** The traffic of the first group over that of any other. */
    private double hot = 1;

    private long order;
    /** Commands, and those answered within the response target. */
    int offered, served;
    /** Cold nodes that fell, and those of them that break the rule; the greatest part of what one bears. */
    int falls, broken;

    double worst;
    /** What cold nodes were sent, and what they could do. */
    double coldWork, coldCapacity;

    /**
     * @param capacity the commands of mean work that a warm node can do in a second
     * @param load the part of the capacity of all nodes at the start that comes as commands
     * @param factor the multiple of its capacity that a cold node bears
     * @param spread routers are told of each change at some time within so many seconds
     */
    ColdFleet(int size, double capacity, double load, double factor, double spread, Trouble trouble, long seed) {
        this.capacity = capacity;
        this.factor = factor;
        this.spread = spread;
        random = new Random(seed);
        // Long beside the work: little is shed, so that as much as may be comes to the cold.
        double target = 20 / capacity;
        groups = List.of(
                new CommandGroup("any", Effect.REPLAYABLE, ReadLevel.ANY, target, 2 * target, 2, 0, Scope.GROUP, 5, 0),
                new CommandGroup(
                        "bounded", Effect.REPLAYABLE, ReadLevel.BOUNDED, target, 2 * target, 1, 0, Scope.GROUP, 5, 0.2),
                new CommandGroup(
                        "write", Effect.KEYED, ReadLevel.WRITE, target, 5 * target, 3, 0.5, Scope.GROUP, 5, 0));
        settings = new Settings(
                size,
                "north",
                groups,
                false,
                true,
                true,
                true,
                true,
                true,
                true,
                false,
                0,
                10,
                COLD_SHARE,
                WARM_AFTER,
                factor,
                WINDOW,
                1,
                15);
        for (int i = 0; i < TEAMS * MEMBERS; i++) {
            add(new Machine(i % TEAMS, i / TEAMS)).primary = i < TEAMS;
        }
        upTo = new double[size];
        for (int i = 0; i < size; i++) {
            upTo[i] = (i == 0 ? 0 : upTo[i - 1]) + (i % 10 == 0 ? 5 : 0.2 + 1.6 * random.nextDouble());
            routers.add(new Router());
        }
        routers.forEach(Router::begin);
        rate = load * capacity * TEAMS * MEMBERS;
        come();
        plan(trouble);
        while (events.peek().at < END) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        machines.forEach(Machine::judge);
    }

    private Machine add(Machine m) {
        machines.add(m);
        byNode.put(m.node, m);
        return m;
    }

    private void in(double seconds, Runnable what) {
        events.add(new Event(now + seconds, order++, what));
    }

    private void come() {
        in(-Math.log(1 - random.nextDouble()) / rate, () -> {
            offered++;
            double any = random.nextDouble();
            double team = random.nextDouble() * (TEAMS - 1 + hot);
            arrive(groups.get(any < WRITES ? 2 : any < 0.5 ? 1 : 0), (int) Math.max(0, team - hot + 1), 0);
            come();
        });
    }

    private void arrive(CommandGroup group, int team, int tries) {
        double any = random.nextDouble() * upTo[upTo.length - 1];
        int i = 0;
        while (upTo[i] < any) {
            i++;
        }
        routers.get(i).take(new Ask(group, team, now, tries));
    }

    /** Each router is told at a time of its own. */
    private void list(Machine m) {
        for (Router router : routers) {
            in(spread * random.nextDouble(), () -> {
                router.decide.listed(List.of(router.listing(m)), false, now);
                router.settle();
            });
        }
    }

    private void plan(Trouble trouble) {
        double before = COLD_AT - START;
        double then = before + 1 + 10 * random.nextDouble();
        if (trouble == Trouble.ZONE) {
            List<Machine> lost = machines.stream()
                    .filter(m -> !m.primary && m.node.id().hashCode() % 3 == 0)
                    .toList();
            in(1, () -> lost.forEach(m -> m.dead = true));
            in(
                    before,
                    () -> lost.forEach(m -> {
                        m.dead = false;
                        m.startedAt = now;
                        list(m);
                    }));
            return;
        }
        List<Machine> old = List.copyOf(machines);
        List<Machine> joining = new ArrayList<>();
        in(before, () -> {
            for (int team = 0; team < TEAMS; team++) {
                Machine m = add(new Machine(team, MEMBERS));
                m.startedAt = now;
                joining.add(m);
                list(m);
            }
        });
        switch (trouble) {
            case DRAIN, DRAIN_IN_BURST, DRAIN_AND_RESTART ->
                in(then, () -> old.stream().filter(m -> !m.primary).forEach(m -> {
                    m.draining = true;
                    list(m);
                }));
            case DIE -> in(then, () -> old.stream().filter(m -> !m.primary).forEach(m -> m.dead = true));
            case PRIMARY -> {
                in(then, () -> old.stream().filter(m -> m.primary).forEach(m -> {
                    m.dead = true;
                    m.primary = false;
                }));
                in(then + 3, () -> joining.forEach(m -> m.primary = true));
            }
            default -> {}
        }
        if (trouble == Trouble.DRAIN_ONE_IN_BURST) {
            in(then, () -> {
                old.stream().filter(m -> !m.primary && m.node.group() == 0).forEach(m -> {
                    m.draining = true;
                    list(m);
                });
                rate *= (TEAMS + 2.0) / TEAMS;
                hot = 3;
            });
            in(then + 5, () -> {
                rate *= TEAMS / (TEAMS + 2.0);
                hot = 1;
            });
        }
        if (trouble == Trouble.BURST || trouble == Trouble.DRAIN_IN_BURST) {
            in(then, () -> rate *= 2);
            in(then + 5, () -> rate /= 2);
        }
        if (trouble == Trouble.RESTART || trouble == Trouble.DRAIN_AND_RESTART) {
            in(then, () -> routers.stream()
                    .filter(r -> random.nextDouble() < 0.7)
                    .toList()
                    .forEach(Router::begin));
        }
    }
}
