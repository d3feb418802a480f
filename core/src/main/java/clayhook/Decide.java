package clayhook;

import clayhook.Choice.Verdict;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * All decisions of one router. A front asks {@link #where} for each command taken, {@link #after} for each outcome and
 * {@link #pause} once it has told all it heard; after the pause it asks {@link #where} for every command in hand. News
 * comes by {@link #listed}, {@link #listFailed} and {@link #probed}.
 */
public final class Decide {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** What this router knows of one member of a group; kept while the node list or a dispatch has it. */
    private static final class Row {
        final Node node;
        Listing listing;
        double position;
        /** How far it was behind its primary when it last told a position. */
        double lag, toldAt = NEVER;
        /** The last answer or probe, and the last answer to a dispatch. */
        double heardAt = NEVER, answeredAt = NEVER;
        /** The times of the newest evidence that it is primary, and that it is not. */
        double primaryAt = NEVER, replicaAt = NEVER;
        /** Dispatches out, oldest first; each leaves with its outcome. */
        final ArrayDeque<Dispatch> out = new ArrayDeque<>();
        /** Dispatches abandoned that it may still work on; emptied by answers to later ones and by age. */
        final ArrayDeque<Dispatch> abandoned = new ArrayDeque<>();
        /** How many dispatches it may have, and its smoothed time of answer over the response target. */
        double window, slowness;

        double load; // commands that it last reported to hold
        /** Connections that should stand to it, as long as they are used. */
        int connections;

        double usedAt = NEVER;
        /** Failures since the last answer, or probe but for one. */
        int strikes;

        double benchedAt = NEVER;
        /** The last probe, and whether it is still out. */
        double probedAt = NEVER;

        boolean probing;
        /** It is left alone until then, the longer the more it was full or failed since its last answer. */
        double restUntil = NEVER;

        int rests;
        /** What it may still be sent while it is cold. */
        double coldBudget, coldBudgetAt = NEVER;

        Row(Node node, double window) {
            this.node = node;
            this.window = window;
        }

        /** Rule 3: it drains or is gone, and gets nothing new; the grace is left unused. */
        boolean closed() {
            return listing == null || listing.state() == Listing.State.DRAINING;
        }

        /** By the newer evidence; the list's late word counts only until the node itself has spoken. */
        boolean claimsPrimary() {
            boolean unheard = primaryAt == NEVER && replicaAt == NEVER;
            return unheard ? listing != null && listing.primary() : primaryAt > replicaAt;
        }
    }

    /** A group of nodes that hold the same data. */
    private static final class Team {
        final List<Row> rows = new ArrayList<>();
        /** Starts anywhere. Guards against all routers sending their first reads to the same member. */
        int turn;
        /** On its replicas, of reads without a bound and of others, as they go elsewhere; on its primary. */
        final Pressure ofAny, ofOthers, onPrimary;
        /** The newest position told by its primary. */
        double head;
        /** The newest write forgotten; every session read must cover it. */
        double forgotten;

        Team(int turn, Team all) {
            this.turn = turn;
            ofAny = new Pressure(all == null ? null : all.ofAny);
            ofOthers = new Pressure(all == null ? null : all.ofOthers);
            onPrimary = new Pressure(all == null ? null : all.onPrimary);
        }

        Pressure of(CommandGroup group) {
            return group.level() == ReadLevel.ANY ? ofAny : ofOthers;
        }
    }

    /** Recent times of answers over the response target; late ones and full nodes count as one. */
    private static final class Pressure {
        /** The same of all node groups, into which it fades while nothing comes; null for that itself. */
        final Pressure overall;

        double last, at = NEVER;

        Pressure(Pressure overall) {
            this.overall = overall;
        }

        double value(double now) {
            double rest = overall == null ? last : overall.last;
            return rest + (last - rest) * Math.exp((at - now) / PRESS_MEMORY);
        }

        void add(double sample, double now) {
            double weight = Math.max(0.1, Math.min(0.25, 1 - Math.exp((at - now) / PRESS_MEMORY)));
            last = value(now) + weight * (Math.min(1, sample) - value(now));
            at = now;
            if (overall != null) {
                overall.add(sample, now);
            }
        }
    }

    /** An outcome weighs a tenth where many come, more the longer none has come; a burst lasts seconds. */
    private static final double PRESS_MEMORY = 3;

    private record Wrote(Team team, double position) {}

    private final Settings settings;
    private final Random random;
    private final Map<Node, Row> rows = new LinkedHashMap<>();
    private final Map<Integer, Team> teams = new LinkedHashMap<>();
    /** The usual time of an answer, a row a command group. */
    private final Map<CommandGroup, Double> usual = new LinkedHashMap<>();
    /** Commands so far, a row a command group. */
    private final Map<CommandGroup, Long> taken = new LinkedHashMap<>();
    /** The last write of each session, where this router must remember; the oldest go when they are many. */
    private final Map<String, Wrote> wrote = new LinkedHashMap<>();

    private final double tightestGate, leastWindow, extrasCap;
    private double extras;
    /** Members to be probed, until the next pause; and the probes that may still be sent. */
    private final List<Node> looks = new ArrayList<>();

    private double looksLeft = LOOKS_CAP;
    /** What a dispatch takes longer when it opens a connection. */
    private double connecting = CONNECT_USUAL;
    /** The work that this router had answered a second, and when that was reckoned. */
    private double doneRate, doneRateAt;
    /** The list is late since it was told last. */
    private boolean late;
    /** When it should be asked again, and since when it has been without standing still itself. */
    private double dueAt = Double.POSITIVE_INFINITY, awakeSince, watchAt;
    /** Stands for all groups: it has no members, but the pressures that theirs fade into. */
    private final Team all = new Team(0, null);

    private int out;
    /** Nodes that bear work, and when they were counted. */
    private long bearers;

    private double bearersAt = NEVER;
    /** A command is held; and the one asked about waits for a look. */
    private boolean holding, looking;

    public Decide(Settings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        watchAt = settings.listMustBeAsked() ? 0 : Double.POSITIVE_INFINITY;
        leastWindow = Math.max(1, LEAST_WINDOW / settings.routers());
        extrasCap = Math.max(1, EXTRAS_CAP / settings.routers());
        extras = extrasCap;
        tightestGate = settings.groups().stream()
                .filter(g -> g.level() == ReadLevel.BOUNDED)
                .mapToDouble(g -> g.bound() * LAG_GATE)
                .min()
                .orElse(TIME_GATE);
        settings.groups().forEach(group -> usual.put(group, group.responseTarget() / 4)); // until told better
    }

    // ---- where to send a command ----

    /** Where to send this command now: a dispatch, not yet, or never. */
    public Choice where(Command cmd, double now) {
        // Guards against taking this router's own stand for the silence of every node.
        awakeSince = now > dueAt + OWN_PAUSE ? now : awakeSince;
        boolean sent = !cmd.out().isEmpty();
        boolean first = now == cmd.arrived && cmd.dispatches.isEmpty();
        looksLeft = first ? Math.min(LOOKS_CAP, looksLeft + LOOKS_SHARE) : looksLeft;
        taken.merge(cmd.group, first ? 1L : 0, Long::sum);
        // Guards against work for answers that earn nothing: what can earn nothing is given up at once.
        if (hopeless(cmd, now, sent) || first && shed(cmd, now)) {
            return giveUp(cmd);
        } else if (sent && !secondCopyDue(cmd, now)) {
            return notYet(false);
        }
        boolean extra = cmd.firstThatMayHaveRun() != null;
        if (cmd.dispatches.size() >= settings.mostDispatches() || extra && (extras < 1 || !mayRepeat(cmd, now))) {
            return sent ? notYet(false) : giveUp(cmd);
        }
        looking = false;
        Row row = cmd.group.primaryOnly() ? pickPrimary(cmd, now) : pickReader(cmd, team(cmd.nodeGroup), now);
        if (row == null) {
            return sent || looking || !heldTooLong(cmd, now) ? notYet(!sent) : giveUp(cmd);
        }
        extras = Math.min(extrasCap, extras + (extra ? -1 : cmd.dispatches.isEmpty() ? EXTRAS_SHARE : 0));
        return send(cmd, row, now);
    }

    /** What trouble may add to the work: a fifth of the commands, and for all routers this many at once. */
    private static final double EXTRAS_SHARE = 0.2, EXTRAS_CAP = 90;

    /** Probes a command brings: most reads find a fresh row; the store is two or three looks at a group. */
    private static final double LOOKS_SHARE = 0.45, LOOKS_CAP = 15;

    /** Guards against probing by routers times nodes: members are looked at when a command needs it. */
    private boolean look(Row row, double now) {
        if (!settings.mayProbe() || row.closed() || looksLeft < 1 || now < row.probedAt + LOOK_AGAIN) {
            return false;
        }
        looksLeft--;
        row.probedAt = now;
        row.probing = true;
        looks.add(row.node);
        return true;
    }

    private static boolean lookedAt(Row row, double now) {
        return row.probing && now < row.probedAt + LOOK_WAIT;
    }

    /** What a stale row is about to be sent waits for a look at it, where that can be had. */
    private boolean awaitsLook(Row row, double now) {
        looking = stale(row, now) && (lookedAt(row, now) || look(row, now));
        return looking;
    }

    /** A few round trips; and about the time in which reports are made anew. */
    private static final double LOOK_WAIT = 0.02, LOOK_AGAIN = 0.15;

    /** Guards against a gate that stays empty because nothing is sent to those that it dropped. */
    private void lookNowAndThen(Row row, double now) {
        if (row != null && random.nextDouble() < REFRESH) {
            look(row, now);
        }
    }

    /** One read in ten is often enough to keep a replica's row, or to find that it is back. */
    private static final double REFRESH = 0.1;

    private Choice notYet(boolean held) {
        holding |= held;
        return Choice.notYet();
    }

    private Choice send(Command cmd, Row row, double now) {
        row.coldBudget -= usual.get(cmd.group);
        boolean connects = connects(row, now);
        row.connections = connects ? row.out.size() / settings.commandsAConnection() + 1 : row.connections;
        row.usedAt = now;
        Dispatch dispatch = new Dispatch(cmd, row.node, connects, now, usefulUntil(cmd));
        row.out.add(dispatch);
        out++;
        return Choice.send(dispatch);
    }

    /** Guards against queues that no window holds down, since each of many routers has but a dispatch out. */
    private boolean shed(Command cmd, double now) {
        double part = (team(cmd.nodeGroup).of(cmd.group).value(now) - SHED_FROM) / (SHED_ALL - SHED_FROM);
        return !cmd.group.primaryOnly() && random.nextDouble() < Math.min(MOST_SHED, part);
    }

    /** Above what work itself takes of the target, below where most answers come late; a few always test. */
    private static final double SHED_FROM = 0.4, SHED_ALL = 0.65, MOST_SHED = 0.9;

    /** Guards against turning away clients that wait for less than a usual answer takes: half come sooner. */
    private boolean hopeless(Command cmd, double now, boolean sent) {
        double pressure = team(cmd.nodeGroup).of(cmd.group).value(now);
        double part = Math.max(SOONEST, Math.min(1, pressure / SHED_FROM));
        double least = Math.min(usual.get(cmd.group), cmd.group.responseTarget() / 2) * part;
        return now + (sent ? 0 : least) >= usefulUntil(cmd);
    }

    /** Of the usual time: a quarter of answers come by then; where work presses, the whole is asked for. */
    private static final double SOONEST = 0.25;

    /** Guards against dispatches held into their limit and lines of late writes; they wait for a primary. */
    private boolean heldTooLong(Command cmd, double now) {
        boolean write = cmd.group.primaryOnly();
        double target = Math.min(cmd.group.responseTarget(), cmd.expires - cmd.arrived);
        boolean election = write && !primaryIsWell(cmd.nodeGroup, now);
        double hold = election ? ELECTION_HOLD * (cmd.expires - cmd.arrived) : (write ? WRITE_HOLD : HOLD) * target;
        return (election ? cmd.firstThatMayHaveRun() == null : cmd.dispatches.isEmpty()) && now > cmd.arrived + hold;
    }

    /** A few looks for room: a client that is asked back at once does better than one that is held. */
    private static final double HOLD = 0.08;
    /** A line at the one node that takes writes is worth more; without a primary there may be another try. */
    private static final double WRITE_HOLD = 0.5, ELECTION_HOLD = 0.45;

    private static double usefulUntil(Command cmd) {
        double last = cmd.expires - Math.min(LEEWAY, LEEWAY_PART * (cmd.expires - cmd.arrived));
        return cmd.group.lateShare() > 0 ? last : Math.min(last, cmd.arrived + cmd.group.responseTarget());
    }

    /** Guards against a last answer too late where this router stood still: a few of its usual pauses. */
    private static final double LEEWAY = 0.03, LEEWAY_PART = 0.1;

    /** The final answer to a command that this router gives up: a throttle wherever the rules allow it. */
    public Choice giveUp(Command cmd) {
        boolean harmless = cmd.group.effect() == Effect.REPLAYABLE
                || cmd.firstThatMayHaveRun() == null
                || cmd.group.effect() == Effect.KEYED && cmd.group.repeatScope() == Scope.ALL;
        // Soon enough for an answer within the target, spread so that clients don't return together.
        double advice =
                Math.min(settings.longestAdvice(), cmd.group.responseTarget() * (0.1 + 0.2 * random.nextDouble()));
        return new Choice(
                harmless ? Verdict.THROTTLE : Verdict.FAIL, null, advice, settings.mayCancel() ? cmd.out() : List.of());
    }

    /** Rule 2: a command that may have run goes out again only as its effect allows. */
    private boolean mayRepeat(Command cmd, double now) {
        return cmd.group.effect() == Effect.REPLAYABLE
                || cmd.group.effect() == Effect.KEYED
                        && now < cmd.firstThatMayHaveRun().sentAt + cmd.group.repeatWindow();
    }

    /** Rule 2: repeats of a keyed command stay among the nodes that drop them; all here are of its group. */
    private static boolean dropsRepeats(Command cmd, Row row) {
        Dispatch first = cmd.group.effect() == Effect.KEYED ? cmd.firstThatMayHaveRun() : null;
        return first == null
                || cmd.group.repeatScope() != Scope.ZONE
                || first.node.zone().equals(row.node.zone());
    }

    /** For a silent node or a replaced primary only: copies for lateness cost more work than they saved. */
    private boolean secondCopyDue(Command cmd, double now) {
        Dispatch last = cmd.dispatches.get(cmd.dispatches.size() - 1);
        if (!settings.secondCopies() || cmd.group.effect() == Effect.MUTATING || last.outcome != null) {
            return false;
        }
        Row row = rows.get(last.node);
        if (cmd.group.primaryOnly()) {
            return row != primary(cmd.nodeGroup);
        }
        if (overdue(row, now)) {
            look(row, now);
        }
        return silent(row, now) || row.strikes >= STRIKES;
    }

    /** Whether a dispatch that waited for its connection may still go out; if not, it was never sent. */
    public boolean mayStillGo(Dispatch dispatch, double now) {
        Command cmd = dispatch.command;
        Row row = rows.get(dispatch.node);
        boolean checked = settings.replicasCheck() || cmd.group.primaryOnly() || row.claimsPrimary();
        return !cmd.over
                && now < dispatch.limit
                && !row.closed()
                && (cmd.firstThatMayHaveRun() == dispatch || mayRepeat(cmd, now))
                && (checked || covers(row, team(cmd.nodeGroup), cmd, now));
    }

    // ---- choosing a member ----

    private Row pickPrimary(Command cmd, double now) {
        Row row = primary(cmd.nodeGroup);
        if (!primaryIsWell(cmd.nodeGroup, now)) {
            team(cmd.nodeGroup).rows.forEach(member -> look(member, now));
            return null;
        }
        // Guards against sending the first write of every router to a primary that is one no more.
        return !awaitsLook(row, now)
                        && usable(row, now)
                        && dropsRepeats(cmd, row)
                        && withinColdBudget(row, cmd.group, now)
                ? row
                : null;
    }

    /** Guards against throwing writes at a dead or hung primary while its successor is elected. */
    private boolean primaryIsWell(int group, double now) {
        Row row = primary(group);
        return row != null && !row.closed() && row.strikes < STRIKES && !overdue(row, now);
    }

    private Row pickReader(Command cmd, Team team, double now) {
        Row primary = primary(cmd.nodeGroup);
        if (cmd.group.level() == ReadLevel.ANY && usual.get(cmd.group) > tightestGate && rare(cmd.group, team)) {
            Row keeper = keeperOfLongReads(team, primary, cmd, now);
            if (keeper != null) {
                return !awaitsLook(keeper, now) && usableFor(cmd, keeper, now) ? keeper : null;
            }
        }
        int size = team.rows.size();
        Row unseen = null;
        // Reads without a bound go round those outside the gate first, while they bear it: it spares others.
        boolean spares = cmd.group.level() == ReadLevel.ANY
                && team.ofAny.value(now) <= Math.max(QUICK, team.ofOthers.value(now));
        for (int i = spares ? 1 : size + 1; i <= 2 * size; i++) {
            int at = (team.turn + i) % size;
            Row row = team.rows.get(at);
            if (row == primary || i <= size && row.lag <= tightestGate) {
                continue;
            }
            if (row.strikes >= STRIKES) {
                lookNowAndThen(row, now);
            } else if (settings.mayProbe() && stale(row, now) && looksLeft > LOOKS_CAP / 2
                    || !covers(row, team, cmd, now) && !likelyCovers(row, cmd, now)) {
                looking |= lookedAt(row, now);
                boolean better = unseen == null || near(row) && !near(unseen);
                unseen = better && !row.closed() && now >= row.probedAt + LOOK_AGAIN ? row : unseen;
            } else if (calm(row, cmd, now) && takesTurn(row, now)) {
                team.turn = at;
                looking = false;
                lookNowAndThen(unseen, now);
                return row;
            }
        }
        looking = looking || unseen != null && look(unseen, now);
        if (looking && !settings.replicasCheck()) {
            return null;
        }
        Row ahead = team.rows.stream()
                .filter(row -> settings.replicasCheck()
                        && row != primary
                        && !benched(row, cmd, now)
                        && usableFor(cmd, row, now))
                .min(Comparator.comparingDouble(row -> behind(row, cmd)))
                .orElse(null);
        if (ahead != null) {
            return ahead;
        }
        // The primary keeps half its room for what it alone can take, and all of it once it is slow.
        boolean spare = primary != null && primary.strikes == 0 && team.onPrimary.value(now) < QUICK;
        return spare && hasRoom(primary, 0.5, now) && usableFor(cmd, primary, now) ? primary : null;
    }

    /** Where it was heard so seldom that none is known to cover: a replica that checks reads may be tried. */
    private boolean likelyCovers(Row row, Command cmd, double now) {
        return settings.replicasCheck()
                && cmd.group.level() == ReadLevel.BOUNDED
                && row.lag <= cmd.group.bound() * LAG_GATE
                && now < row.toldAt + LAG_LASTS;
    }

    /** Lags come and go with the load of nodes, over seconds. */
    private static final double LAG_LASTS = 5;

    /** As last told; one that has told nothing is as likely in time as not. */
    private static double behind(Row row, Command cmd) {
        return row.position > 0 ? row.lag : cmd.group.bound();
    }

    /**
     * One replica bears them all, for every router. Guards against sending it what is no exception: work or a line at
     * crowded nodes made it long: such reads would all go to one node, whose line then confirms it.
     */
    private boolean rare(CommandGroup group, Team team) {
        long all = taken.values().stream().mapToLong(Long::longValue).sum();
        return taken.get(group) * team.rows.size() <= all;
    }

    /** Guards against long reads that stop the log on all replicas in turn: they keep to one everywhere. */
    private Row keeperOfLongReads(Team team, Row primary, Command cmd, double now) {
        boolean waits = now + 2 * usual.get(cmd.group) < cmd.arrived + cmd.group.responseTarget();
        return team.rows.stream()
                .filter(row -> row != primary
                        && (!waits ? usableFor(cmd, row, now) : row.strikes == 0 && !row.closed() && !silent(row, now)))
                .min(Comparator.comparing(row -> row.node.id()))
                .orElse(null);
    }

    /** The lag gate, the bench and the health of a replica; the time gate stands where looks are asked. */
    private boolean calm(Row row, Command cmd, double now) {
        return !benched(row, cmd, now)
                && usableFor(cmd, row, now)
                && (cmd.group.level() != ReadLevel.BOUNDED || row.lag <= cmd.group.bound() * LAG_GATE);
    }

    /** Guards against one blip costing ten seconds: a position told since, within the gate, ends it. */
    private boolean benched(Row row, Command cmd, double now) {
        return now < row.benchedAt + BENCH
                && cmd.group.level() != ReadLevel.ANY
                && row.position < row.benchedAt - cmd.group.bound() * LAG_GATE;
    }

    private boolean near(Row row) {
        return row.node.zone().equals(settings.zone());
    }

    private static boolean stale(Row row, double now) {
        return now - row.heardAt > TIME_GATE;
    }

    /** One second, as the design starts; its half of the bound did a little worse everywhere than this. */
    private static final double TIME_GATE = 1, LAG_GATE = 0.75;

    /** Rule 5: a position already told reaches what the read must see. Positions stay valid once told. */
    private boolean covers(Row row, Team team, Command cmd, double now) {
        return switch (cmd.group.level()) {
            case ANY -> true;
            case BOUNDED -> row.position >= now - cmd.group.bound();
            case SESSION -> row.position >= sessionNeed(cmd, team);
            case WRITE, FRESH -> false;
        };
    }

    private double sessionNeed(Command cmd, Team team) {
        // The mark is told to a part of a millisecond, by the client or by other routers.
        double carried = cmd.wroteAt > 0 ? cmd.wroteAt + 0.001 : 0;
        Wrote last = cmd.session == null || settings.marksCarried() ? null : wrote.get(cmd.session);
        return Math.max(carried, Math.max(team.forgotten, last == null ? 0 : last.position));
    }

    private boolean usableFor(Command cmd, Row row, double now) {
        return !cmd.tried(row.node)
                && usable(row, now)
                && dropsRepeats(cmd, row)
                && withinColdBudget(row, cmd.group, now);
    }

    /** A node with a failure against it gets one dispatch at a time. */
    private boolean usable(Row row, double now) {
        return !row.closed()
                && now >= row.restUntil
                && row.strikes < STRIKES
                && (row.strikes == 0 || row.out.isEmpty())
                && !silent(row, now)
                && hasRoom(row, 1, now);
    }

    /** One failure can be chance; two in a row are a state. */
    private static final int STRIKES = 2;

    /** Guards against filling a node again whose work goes on after the time limit or a recall. */
    private static boolean hasRoom(Row row, double part, double now) {
        // Windows keep queues well under one response target, so after two the dispatch has left its queue.
        row.abandoned.removeIf(d -> now > d.sentAt + 2 * d.command.group.responseTarget());
        return row.out.size() + row.abandoned.size() < Math.max(1, row.window * part);
    }

    /** Guards against second copies of what is merely slow: one dispatch overdue is no silence by itself. */
    private boolean silent(Row row, double now) {
        return overdue(row, now) && (row.out.size() > 1 || row.probing && now > row.probedAt + LOOK_WAIT);
    }

    private boolean overdue(Row row, double now) {
        Dispatch oldest = row.out.peek();
        return oldest != null
                && now - Math.max(awakeSince, Math.max(row.answeredAt, oldest.sentAt)) > patience(oldest.command.group);
    }

    private double patience(CommandGroup group) {
        return Math.max(PATIENCE, SILENCE * usual.get(group));
    }
    /** Above ordinary pauses, below the shortest targets; the 95th percentile of usual spreads of work. */
    private static final double PATIENCE = 0.2, SILENCE = 3;

    /** A part of its turns for a node that is cold, crowded, or would have to be connected to. */
    private boolean takesTurn(Row row, double now) {
        // Guards against a node crowded by other routers or slow for another cause, if it reports that.
        double usualLoad = team(row.node.group()).rows.stream()
                .filter(r -> !r.claimsPrimary())
                .mapToDouble(r -> r.load)
                .average()
                .orElse(0);
        double part = Math.min(warmth(row, now), (usualLoad + 1) / (row.load + 1));
        // Guards against opening connections all over while that is slow and takes more than the work itself.
        part = connects(row, now) ? Math.min(part, Math.pow(CONNECT_USUAL / connecting, 2)) : part;
        return part >= 1 || random.nextDouble() < part;
    }

    /** Seconds: a few round trips and some work. */
    private static final double CONNECT_USUAL = 0.02;

    private boolean connects(Row row, double now) {
        return row.out.size() >= row.connections * settings.commandsAConnection()
                || now - row.usedAt > settings.connectionIdle();
    }

    /** The part of its capacity that a node has at the least, by the time since its listed start. */
    private double warmth(Row row, double now) {
        double since = row.listing == null ? 0 : row.listing.startedAt();
        boolean warm = since <= 0 || settings.warmAfter() <= 0;
        double grown = Math.max(0, Math.min(1, (now - since) / settings.warmAfter()));
        return warm ? 1 : settings.coldShare() + (1 - settings.coldShare()) * grown;
    }

    /** Rule 4: work for a cold node stays within this router's share of what would push it over. */
    private boolean withinColdBudget(Row row, CommandGroup group, double now) {
        if (warmth(row, now) >= 1) {
            return true;
        }
        double share = Math.max(LEAST_RATE / settings.routers(), doneRate(now));
        double rate = warmth(row, now) * settings.overloadFactor() * COLD_SAFETY * share;
        // What was sent before its start is past. Guards against the first commands of many routers coming at
        // once: a share of less than one command starts at any place in its turn.
        row.coldBudget = row.coldBudgetAt < row.listing.startedAt()
                ? -random.nextDouble() * usual.get(group)
                : Math.min(0, row.coldBudget + rate * (now - row.coldBudgetAt));
        row.coldBudgetAt = now;
        return row.coldBudget >= 0;
    }

    /** Of what warm nodes bear; and work a second, part of a core, that any does if no answer came lately. */
    private static final double COLD_SAFETY = 0.75, LEAST_RATE = 0.15;

    /** Counted ten times a second. Guards against going through all nodes for each answer. */
    private long bearers(double now) {
        if (now > bearersAt + 0.1) {
            bearers = rows.values().stream()
                    .filter(r -> r.strikes < STRIKES && !r.closed())
                    .count();
            bearersAt = now;
        }
        return bearers;
    }

    private double doneRate(double now) {
        return doneRate * Math.exp((doneRateAt - now) / RATE_MEMORY);
    }

    /** Long enough to average over the turns, short beside the time in which a node warms. */
    private static final double RATE_MEMORY = 4;

    private Team team(int group) {
        return teams.computeIfAbsent(group, any -> new Team(random.nextInt(1 << 16), all));
    }

    private Row primary(int group) {
        return team(group).rows.stream()
                .filter(Row::claimsPrimary)
                .max(Comparator.comparingDouble(row -> row.primaryAt))
                .orElse(null);
    }

    // ---- what to do after an outcome ----

    /** What to do after this outcome; {@code over} tells that the command has its final answer. */
    public Choice after(Dispatch dispatch, Reply reply, boolean over, double now) {
        Command cmd = dispatch.command;
        dispatch.outcome = reply.outcome();
        Row row = rows.get(dispatch.node);
        row.out.remove(dispatch);
        out--;
        if (dispatch.connects && reply.took() > 0) {
            double extra = reply.took() - usual.get(cmd.group);
            boolean told = reply.outcome() == Outcome.ANSWERED || reply.outcome() == Outcome.CONNECT_FAILED;
            connecting = told ? Math.max(CONNECT_USUAL, connecting + 0.1 * (extra - connecting)) : connecting;
        }
        if (reply.outcome() == Outcome.TIMED_OUT || reply.outcome() == Outcome.CANCELLED) {
            row.abandoned.add(dispatch);
            row.connections = Math.max(0, row.connections - 1);
        }
        learn(row, reply, now);
        judge(row, dispatch, reply, now);
        if (reply.outcome() == Outcome.ANSWERED
                && cmd.group.level() == ReadLevel.WRITE
                && cmd.session != null
                && !settings.marksCarried()) {
            remember(cmd, reply, now);
        }
        boolean done = over || reply.outcome() == Outcome.ANSWERED;
        List<Dispatch> recall = done && settings.mayCancel() ? cmd.out() : List.of();
        return done ? new Choice(Verdict.DONE, null, 0, recall) : where(cmd, now);
    }

    private void learn(Row row, Reply reply, double now) {
        if (reply.outcome() == Outcome.ANSWERED || reply.role() != Role.UNKNOWN) {
            row.heardAt = now;
        }
        row.position = Math.max(row.position, Math.max(reply.position(), reply.reportedPosition()));
        if (reply.role() == Role.PRIMARY) {
            row.primaryAt = Math.max(row.primaryAt, now - reply.took() / 2);
        } else if (reply.role() == Role.REPLICA) {
            row.replicaAt = now;
        }
        // A report is as old as its position says, but a replica's may be older. Guards against a former
        // primary that comes back, its position where it stood, and goes on being taken for the primary.
        if (reply.reportedRole() == Role.PRIMARY) {
            row.primaryAt = Math.max(row.primaryAt, reply.reportedPosition());
        } else if (reply.reportedRole() == Role.REPLICA) {
            row.replicaAt = Math.max(row.replicaAt, Math.max(reply.reportedPosition(), now - OLDEST_REPORT));
        }
        row.load = reply.load() >= 0 ? reply.load() : row.load;
        Team team = team(row.node.group());
        team.head = row.claimsPrimary() ? Math.max(team.head, row.position) : team.head;
        // Measured when told: a replica that was not asked for a while has not fallen behind by that.
        boolean told = reply.position() > 0 || reply.reportedPosition() > 0;
        // Guards against measuring by a primary that was itself heard long ago: its log has gone on since.
        double newest = Math.max(team.head, reply.position() > 0 ? now : now - REPORT_AGE);
        row.lag = told ? newest - row.position : row.lag;
        row.toldAt = told ? now : row.toldAt;
    }

    /** Reports arrive within a few seconds even when late; most are made anew a few times a second. */
    private static final double OLDEST_REPORT = 5, REPORT_AGE = 0.25;

    private void judge(Row row, Dispatch dispatch, Reply reply, double now) {
        CommandGroup group = dispatch.command.group;
        Team team = team(row.node.group());
        Pressure pressure = row.claimsPrimary() ? team.onPrimary : team.of(group);
        double slowness = reply.took() / group.responseTarget();
        switch (reply.outcome()) {
            case ANSWERED -> {
                row.answeredAt = now;
                // Queues are served in order: what went out before this dispatch has left the queue too.
                row.abandoned.removeIf(d -> d.sentAt <= dispatch.sentAt);
                row.strikes = row.rests = 0;
                // Guards against a cold budget swollen by sends that full or hung nodes never worked on.
                doneRate = doneRate(now) + usual.get(group) / RATE_MEMORY / Math.max(1, bearers(now));
                doneRateAt = now;
                usual.merge(group, reply.took(), (old, took) -> old + 0.02 * (took - old));
                pressure.add(slowness, now);
                adapt(row, slowness);
                if (row.slowness < QUICK && row.out.size() + 1 >= row.window * 0.7) {
                    row.window += 0.5 / row.window;
                }
            }
            case TURNED_AWAY -> {
                row.answeredAt = now;
                row.benchedAt = group.primaryOnly() ? row.benchedAt : now;
            }
            case FULL -> {
                pressure.add(1, now);
                row.window = Math.max(leastWindow, row.window * 0.8);
                rest(row, 0, now);
            }
            case ERROR, CONNECT_FAILED, RESET -> {
                // Guards against leaving nodes out for what befalls connections: the dead take no new ones.
                if (reply.outcome() != Outcome.RESET || row.answeredAt < dispatch.sentAt) {
                    rest(row, reply.outcome() == Outcome.CONNECT_FAILED ? 1 : 0, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                // Guards against taking a client's short wait for the slowness of nodes.
                boolean late = reply.outcome() == Outcome.TIMED_OUT
                        && dispatch.limit > dispatch.command.arrived + group.responseTarget() / 2;
                pressure.add(late ? 1 : slowness, now);
                adapt(row, Math.max(row.slowness, slowness));
                if (dispatch.sentAt > row.answeredAt && reply.took() > patience(group)) {
                    rest(row, 1, now);
                }
            }
        }
    }

    /** For all routers together: a few for each core of a small machine; what any machine does at once. */
    private static final double FIRST_WINDOW = 10, LEAST_WINDOW = 4;
    /** The document's circuit break. */
    private static final double BENCH = 10;

    /** Guards against asking full, failing, hung or dead nodes over and over: each time doubles the rest. */
    private void rest(Row row, int strikes, double now) {
        // Where nothing may be probed only another dispatch can tell that it is back.
        row.strikes = Math.min(row.strikes + strikes, settings.mayProbe() ? Integer.MAX_VALUE : STRIKES - 1);
        row.restUntil = now + Math.min(1, 0.05 * Math.pow(2, row.rests++));
    }

    /** Of the response target: the rest is for the spread of work, which is wide. */
    private static final double QUICK = 0.25, SLOW = 0.32;

    /** Keeps answers under a third of the target. Guards against queues that make all late for long. */
    private void adapt(Row row, double slowness) {
        row.slowness += 0.1 * (Math.min(slowness, 2) - row.slowness);
        if (row.slowness > SLOW) {
            row.window = Math.max(leastWindow, row.window * 0.97);
        }
    }

    private void remember(Command cmd, Reply reply, double now) {
        Wrote told = new Wrote(team(cmd.nodeGroup), reply.position() > 0 ? reply.position() : now);
        wrote.merge(cmd.session, told, (a, b) -> a.position > b.position ? a : b);
        // Forgetting never allows a stale read: later session reads of the group must cover what is dropped.
        if (wrote.size() > MOST_SESSIONS) {
            Wrote oldest = wrote.remove(wrote.keySet().iterator().next());
            oldest.team.forgotten = Math.max(oldest.team.forgotten, oldest.position);
        }
    }

    /** More than write in the time that replicas are seldom behind; it bounds the memory whatever comes. */
    private static final int MOST_SESSIONS = 20_000;

    // ---- how long to wait ----

    /** How long to wait until this router is asked again about all it holds, and what else is due. */
    public Pause pause(double now) {
        boolean watch = now >= watchAt;
        // Neither list nor failure within five seconds: the call is lost.
        watchAt = watch ? now + 5 : watchAt;
        double idle = Math.max(BUSY_PAUSE, Math.min(IDLE_PAUSE, watchAt - now));
        double seconds = !looks.isEmpty() ? LOOK_PAUSE : holding || out > 0 ? BUSY_PAUSE : idle;
        dueAt = now + seconds;
        var pause = new Pause(seconds, List.copyOf(looks), watch);
        looks.clear();
        holding = false;
        return pause;
    }

    /** A round trip; a small part of short targets; to mind the list; half the patience with others. */
    private static final double LOOK_PAUSE = 0.004, BUSY_PAUSE = 0.01, IDLE_PAUSE = 1, OWN_PAUSE = 0.1;

    // ---- news ----

    /** The node list: all of it, or what changed. */
    public void listed(List<Listing> entries, boolean whole, double now) {
        rows.values().forEach(row -> row.listing = whole ? delisted(row) : row.listing);
        for (Listing entry : entries) {
            Row row = rows.computeIfAbsent(entry.node(), node -> {
                Row made = new Row(node, Math.max(leastWindow, FIRST_WINDOW / settings.routers()));
                team(node.group()).rows.add(made);
                return made;
            });
            row.listing = entry.state() == Listing.State.GONE ? delisted(row) : entry;
        }
        rows.values()
                .removeIf(row -> row.listing == null
                        && row.out.isEmpty()
                        && team(row.node.group()).rows.remove(row));
        // The cached list comes before anything was asked; any later one shows that the watch stands.
        watchAt = watchAt > 0 ? Double.POSITIVE_INFINITY : watchAt;
        late = false;
    }

    /**
     * For the log: how many nodes there are and were heard lately, and of those that are out of use or have something
     * out the first few: what is out of the window, tenths of seconds since heard, what is special.
     */
    public String beliefs(double now) {
        // Guards against standing still for a line: no formats, no lists of any length.
        var text = new StringBuilder();
        int lately = 0, told = 0, left = 0;
        for (Row row : rows.values()) {
            lately += stale(row, now) ? 0 : 1;
            boolean out = row.closed() || !usable(row, now);
            if (!out && row.out.isEmpty()) {
                continue;
            } else if (told >= MOST_TOLD) {
                left++;
                continue;
            }
            told++;
            text.append(", ")
                    .append(row.node.id())
                    .append(' ')
                    .append(row.out.size())
                    .append('/')
                    .append((int) row.window)
                    .append(' ')
                    .append(row.heardAt == NEVER ? -1 : (long) (10 * (now - row.heardAt)))
                    .append(row.claimsPrimary() ? " primary" : "")
                    .append(row.closed() ? " closed" : out ? " out" : "");
        }
        return rows.size() + " known, " + lately + " heard in the last second" + text
                + (left > 0 ? ", and " + left + " more" : "");
    }

    /** Enough to see what is wrong; any list of nodes may be longer. */
    private static final int MOST_TOLD = 20;

    /** Whether it may still be sent something, or an outcome is awaited of it. */
    public boolean knows(Node node) {
        return rows.containsKey(node);
    }

    /** Where the list's word that a node is gone binds nobody, it counts only of a node that drained. */
    private Listing delisted(Row row) {
        return settings.goneBinds() || row.closed() ? null : row.listing;
    }

    /** A call to the node list failed, or its watch broke; it is asked again, not all routers at once. */
    public void listFailed(double now) {
        watchAt = settings.listMustBeAsked() ? now + RETRY + random.nextDouble() : watchAt;
    }

    /** Two calls with their turns, and this before each, fit into the time after which news counts. */
    private static final double RETRY = 0.5;

    /** The answer to a call that waited is late. Guards against finding a silent watch out too late. */
    public void listLate(double now) {
        watchAt = late ? watchAt : now; // what it misses soon counts as told; but not over and over
        late = true;
    }

    /** Seconds that a call had best wait: watches that fall silent together are not opened anew so. */
    public double watchFor() {
        return WATCH_LEAST + (WATCH_MOST - WATCH_LEAST) * random.nextDouble();
    }

    /** Long beside the cost of a call; short beside what a router may miss on a silent watch. */
    private static final double WATCH_LEAST = 7, WATCH_MOST = 10;

    /** What other routers saw of a node. It never makes a claim younger than it was there. */
    public void told(Node node, Told said, double now) {
        Row row = rows.get(node);
        if (row == null || row.listing != null && row.listing.startedAt() > said.nodeStart()) {
            return; // of another life of the node
        }
        row.position = Math.max(row.position, said.position());
        row.primaryAt = Math.max(row.primaryAt, said.primaryAt());
        row.replicaAt = Math.max(row.replicaAt, said.replicaAt());
        row.lag = said.lagAt() > row.toldAt ? said.lag() : row.lag;
        row.toldAt = Math.max(row.toldAt, said.lagAt());
        row.load = said.heardAt() > row.heardAt && said.loadWeight() > 0 ? said.load() : row.load;
        // Guards against one router's broken way to a node: what failed others makes doubt, no sentence.
        double heard = Math.max(row.heardAt, said.heardAt());
        boolean failed = said.strikes() > 0 && said.failedAt() > heard && now < said.failedAt() + TIME_GATE;
        row.strikes = failed ? Math.max(1, row.strikes) : row.strikes;
        row.heardAt = heard;
        Team team = team(node.group());
        team.head = row.claimsPrimary() ? Math.max(team.head, row.position) : team.head;
    }

    /** A probe came back. */
    public void probed(Node node, Reply reply, double now) {
        Row row = rows.get(node);
        if (row != null && reply.outcome() == Outcome.ANSWERED) {
            row.probing = false;
            learn(row, reply, now);
            row.strikes = Math.min(row.strikes, 1);
        } else if (row != null) {
            row.probing = false;
            if (reply.outcome() != Outcome.NOT_SENT) {
                rest(row, 1, now);
            }
        }
    }
}
