package clayhook;

import clayhook.Choice.Verdict;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * All decisions of one router. A front asks {@link #where} for each command taken, {@link #after} for each
 * outcome and {@link #pause} once it has told all it heard; when the pause is over it asks {@link #where}
 * again for every command in hand. News comes by {@link #listed}, {@link #listFailed} and {@link #probed}; a
 * killed router loses its object. The interface is the other types of this package; docs/design.md tells the
 * design's exceptions.
 */
public final class Decide {

    /** What this router knows of one member of a group; kept while the node list or a dispatch has it. */
    private static final class Row {
        final Node node;
        Listing listing;
        /** Rule 3: it drains, or is gone where that binds, and gets nothing new; the grace is left unused. */
        boolean closed;
        double position;
        /** How far it was behind its primary when it last told a position. */
        double lag;
        /** The last answer or probe, and the last answer to a dispatch. */
        double heardAt = Double.NEGATIVE_INFINITY;
        double answeredAt = Double.NEGATIVE_INFINITY;
        /** The times of the newest evidence that it is primary, and that it is not. */
        double primaryAt = Double.NEGATIVE_INFINITY;
        double replicaAt = Double.NEGATIVE_INFINITY;
        /** Dispatches out, oldest first; each leaves with its outcome. */
        final ArrayDeque<Dispatch> out = new ArrayDeque<>();
        /** Dispatches abandoned that it may still work on; emptied by answers to later ones and by age. */
        final ArrayDeque<Dispatch> abandoned = new ArrayDeque<>();
        /** How many dispatches it may have, and its smoothed time of answer over the response target. */
        double window;
        double slowness;
        /** Failures since the last answer, the time of the last, and of its return from being out. */
        int strikes;
        double failedAt = Double.NEGATIVE_INFINITY;
        double returnedAt = Double.NEGATIVE_INFINITY;
        double errorShare;
        double benchedAt = Double.NEGATIVE_INFINITY;
        double probedAt = Double.NEGATIVE_INFINITY;
        /** It is left alone until then: it was full, or failed too much. */
        double restUntil = Double.NEGATIVE_INFINITY;
        int fulls;
        /** Mean work that it answered a second, and what a cold node may still be sent. */
        double doneRate;
        double doneRateAt;
        double coldBudget;
        double coldBudgetAt = Double.NEGATIVE_INFINITY;

        Row(Node node, double window) {
            this.node = node;
            this.window = window;
        }

        /** By the newer evidence; the list's late word counts only until the node itself has spoken. */
        boolean claimsPrimary() {
            boolean unheard = Math.max(primaryAt, replicaAt) == Double.NEGATIVE_INFINITY;
            return unheard ? listing != null && listing.primary() : primaryAt > replicaAt;
        }
    }

    /** A group of nodes that hold the same data. */
    private static final class Team {
        final List<Row> rows = new ArrayList<>();
        int turn;
        /** The newest position told by its primary. */
        double head;
        /** The newest write forgotten; every session read must cover it. */
        double forgotten;
    }

    private record Wrote(Team team, double position) {
    }

    private final Settings settings;
    private final Random random;
    private final Map<Node, Row> rows = new LinkedHashMap<>();
    private final Map<Integer, Team> teams = new LinkedHashMap<>();
    /** The usual time of an answer, a row a command group. */
    private final Map<CommandGroup, Double> usual = new LinkedHashMap<>();
    /** The last write of each session, where this router must remember; emptied by age and by count. */
    private final Map<String, Wrote> wrote = new LinkedHashMap<>();
    private final double tightestGate;
    private final double leastWindow;
    private double extras = EXTRAS_CAP;
    private double warmRate;
    private double watchAt;
    private boolean waiting;

    public Decide(Settings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        watchAt = settings.listMustBeAsked() ? 0 : Double.POSITIVE_INFINITY;
        leastWindow = Math.max(1, LEAST_WINDOW / settings.routers());
        tightestGate = settings.groups().stream().filter(g -> g.level() == ReadLevel.BOUNDED)
                .mapToDouble(g -> g.bound() * LAG_GATE).min().orElse(TIME_GATE);
        for (CommandGroup group : settings.groups()) {
            // A quarter of the response target until answers tell better: targets leave room for a queue.
            usual.put(group, group.responseTarget() / 4);
        }
    }

    // ---- where to send a command ----

    /** Where to send this command now: a dispatch, not yet, or never. */
    public Choice where(Command cmd, double now) {
        boolean out = cmd.dispatches.stream().anyMatch(d -> d.outcome == null);
        // Guards against work for answers that earn nothing: what can earn nothing is given up at once.
        if (hopeless(cmd, now, out)) {
            return giveUp(cmd);
        }
        if (out && !secondCopyDue(cmd, now)) {
            return notYet(false);
        }
        boolean extra = firstThatMayHaveRun(cmd) != null;
        boolean spent = cmd.dispatches.size() >= settings.mostDispatches() || extra && extras < 1;
        if (spent || !mayRepeat(cmd, now)) {
            return out ? notYet(false) : giveUp(cmd);
        }
        Row row = cmd.group.primaryOnly() ? pickPrimary(cmd, now) : pickReader(cmd, team(cmd.nodeGroup), now);
        if (row == null) {
            return out || !heldTooLong(cmd, now) ? notYet(!out) : giveUp(cmd);
        }
        if (extra) {
            extras--;
        } else if (cmd.dispatches.isEmpty()) {
            extras = Math.min(EXTRAS_CAP, extras + EXTRAS_SHARE);
        }
        return send(cmd, row, now);
    }

    /** What trouble may add to the work: a fifth of the commands, and this many at once. */
    private static final double EXTRAS_SHARE = 0.2;
    private static final double EXTRAS_CAP = 30;

    private Choice notYet(boolean held) {
        waiting |= held;
        return new Choice(Verdict.NOT_YET, null, 0, List.of());
    }

    private Choice send(Command cmd, Row row, double now) {
        row.coldBudget -= usual.get(cmd.group);
        Dispatch dispatch = new Dispatch(cmd, row.node, now, usefulUntil(cmd));
        row.out.add(dispatch);
        return new Choice(Verdict.SEND, dispatch, 0, List.of());
    }

    /** Long enough to average over the turns, short beside the time in which a node warms. */
    private static final double RATE_MEMORY = 4;

    private static double decayed(double rate, double elapsed) {
        return rate * Math.exp(-elapsed / RATE_MEMORY);
    }

    /** No answer that earns anything can be expected any more. */
    private boolean hopeless(Command cmd, double now, boolean out) {
        // What is out may come any moment; what is held needs the usual time of an answer.
        double least = Math.min(usual.get(cmd.group), cmd.group.responseTarget() / 2);
        return now + (out ? 0 : least) >= usefulUntil(cmd);
    }

    /**
     * Guards against dispatches that run into their limit because they were held too long, and against a line
     * of writes in which all are late: what finds no room goes out within the first part of its target or not
     * at all. While a group has no primary its writes may wait.
     */
    private boolean heldTooLong(Command cmd, double now) {
        boolean write = cmd.group.primaryOnly();
        double target = Math.min(cmd.group.responseTarget(), cmd.expires - cmd.arrived);
        return cmd.dispatches.isEmpty() && (!write || primaryIsWell(cmd.nodeGroup, now))
                && now > cmd.arrived + (write ? WRITE_HOLD : HOLD) * target;
    }

    /** A few looks for room: a client that is asked back at once does better than one that is held. */
    private static final double HOLD = 0.08;
    /** A line at the one node that takes writes is worth more patience, as there is no other. */
    private static final double WRITE_HOLD = 0.5;

    private static double usefulUntil(Command cmd) {
        return cmd.group.lateShare() > 0 ? cmd.expires
                : Math.min(cmd.expires, cmd.arrived + cmd.group.responseTarget());
    }

    /** The final answer to a command that this router gives up: a throttle wherever the rules allow it. */
    private Choice giveUp(Command cmd) {
        boolean harmless = cmd.group.effect() == Effect.REPLAYABLE || firstThatMayHaveRun(cmd) == null
                || cmd.group.effect() == Effect.KEYED && cmd.group.repeatScope() == Scope.ALL;
        List<Dispatch> recall = wantedNoLonger(cmd);
        if (!harmless) {
            return new Choice(Verdict.FAIL, null, 0, recall);
        }
        // Soon enough for an answer within the target, spread so that clients don't return together.
        double spread = 0.1 + 0.2 * random.nextDouble();
        double advice = Math.min(settings.longestAdvice(), cmd.group.responseTarget() * spread);
        return new Choice(Verdict.THROTTLE, null, advice, recall);
    }

    private List<Dispatch> wantedNoLonger(Command cmd) {
        if (!settings.mayCancel()) {
            return List.of();
        }
        return cmd.dispatches.stream().filter(d -> d.outcome == null).toList();
    }

    /** Rule 2: a command that may have run goes out again only as its effect allows. */
    private boolean mayRepeat(Command cmd, double now) {
        Dispatch first = firstThatMayHaveRun(cmd);
        return first == null || switch (cmd.group.effect()) {
            case REPLAYABLE -> true;
            case KEYED -> now < first.sentAt + cmd.group.repeatWindow();
            case MUTATING -> false;
        };
    }

    private static Dispatch firstThatMayHaveRun(Command cmd) {
        for (Dispatch dispatch : cmd.dispatches) {
            if (dispatch.outcome == null || !dispatch.outcome.neverRan) {
                return dispatch;
            }
        }
        return null;
    }

    /** Rule 2: repeats of a keyed command stay among the nodes that drop them. */
    private static boolean dropsRepeats(Command cmd, Row row) {
        Dispatch first = cmd.group.effect() == Effect.KEYED ? firstThatMayHaveRun(cmd) : null;
        if (first == null) {
            return true;
        }
        return switch (cmd.group.repeatScope()) {
            case ALL -> true;
            case ZONE -> first.node.zone().equals(row.node.zone());
            case GROUP -> first.node.group() == row.node.group();
        };
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
        return silent(row, now) || row.strikes >= STRIKES;
    }

    // ---- choosing a member ----

    private Row pickPrimary(Command cmd, double now) {
        Row row = primary(cmd.nodeGroup);
        boolean ready = primaryIsWell(cmd.nodeGroup, now) && usable(row, now);
        return ready && dropsRepeats(cmd, row) && withinColdBudget(row, now) ? row : null;
    }

    /** Guards against throwing writes at a dead or hung primary while its successor is elected. */
    private boolean primaryIsWell(int group, double now) {
        Row row = primary(group);
        return row != null && !row.closed && row.strikes == 0 && !silent(row, now);
    }

    private Row pickReader(Command cmd, Team team, double now) {
        Row primary = primary(cmd.nodeGroup);
        if (cmd.group.level() == ReadLevel.ANY) {
            double usualTime = usual.get(cmd.group);
            boolean stopsLog = usualTime > tightestGate;
            boolean waits = stopsLog && now + 2 * usualTime < cmd.arrived + cmd.group.responseTarget();
            Row behind = furthestBehind(team, primary, cmd, stopsLog, waits, now);
            if (behind != null) {
                return usableFor(cmd, behind, now) ? behind : null;
            }
        }
        int size = team.rows.size();
        for (int i = 1; i <= size; i++) {
            int at = (team.turn + i) % size;
            Row row = team.rows.get(at);
            if (row != primary && calm(row, cmd, now) && covers(row, team, cmd, now) && takesTurn(row, now)) {
                team.turn = at;
                return row;
            }
        }
        if (settings.replicasCheck()) {
            Row ahead = null;
            for (Row row : team.rows) {
                if (row != primary && !benched(row, cmd, now) && usableFor(cmd, row, now)
                        && (ahead == null || row.position > ahead.position)) {
                    ahead = row;
                }
            }
            if (ahead != null) {
                return ahead;
            }
        }
        // The primary keeps half its room for what it alone can take.
        boolean spare = primary != null && primary.strikes == 0 && usableFor(cmd, primary, now);
        return spare && hasRoom(primary, 0.5, now) ? primary : null;
    }

    /**
     * A read without a bound goes first to the replica furthest behind, if any is outside the tightest lag
     * gate; one so long that it may push a replica out of that gate goes to one replica, the same at every
     * router, and waits for room there while it can; then the next takes it. Guards against long reads that
     * stop the log on all replicas in turn, and against spending fresh replicas on reads that need none.
     */
    private Row furthestBehind(Team team, Row primary, Command cmd, boolean stopsLog, boolean waits,
            double now) {
        Row behind = null;
        for (Row row : team.rows) {
            boolean well = row.strikes == 0 && !row.closed && !silent(row, now);
            boolean sink = waits ? well : (stopsLog || row.lag > tightestGate) && usableFor(cmd, row, now);
            if (row == primary || !sink || now - row.heardAt > TIME_GATE) {
                continue;
            }
            double further = behind == null ? 1 : Math.max(0, row.lag - tightestGate)
                    - Math.max(0, behind.lag - tightestGate);
            if (further > 0 || further == 0 && row.node.id().compareTo(behind.node.id()) < 0) {
                behind = row;
            }
        }
        return behind;
    }

    /** The two gates: measured lag, and time since this router heard of the replica. */
    private boolean calm(Row row, Command cmd, double now) {
        if (benched(row, cmd, now) || now - row.heardAt > TIME_GATE || !usableFor(cmd, row, now)) {
            return false;
        }
        return cmd.group.level() != ReadLevel.BOUNDED || row.lag <= cmd.group.bound() * LAG_GATE;
    }

    /**
     * A replica that refused sits out. Guards against one blip costing ten seconds: reads without a bound
     * were never refused, and a position told since, within the lag gate, shows that it has caught up.
     */
    private boolean benched(Row row, Command cmd, double now) {
        return now < row.benchedAt + BENCH && cmd.group.level() != ReadLevel.ANY
                && row.position < row.benchedAt - cmd.group.bound() * LAG_GATE;
    }

    /** One second, as the design starts; its half of the bound did a little worse everywhere than this. */
    private static final double TIME_GATE = 1;
    private static final double LAG_GATE = 0.75;

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
        if (settings.marksCarried()) {
            return cmd.wroteAt > 0 ? cmd.wroteAt + 0.001 : 0; // the mark is told to a part of a millisecond
        }
        Wrote last = cmd.session == null ? null : wrote.get(cmd.session);
        return Math.max(team.forgotten, last == null ? 0 : last.position);
    }

    private boolean usableFor(Command cmd, Row row, double now) {
        boolean untried = cmd.dispatches.stream().noneMatch(d -> d.node.equals(row.node));
        return untried && usable(row, now) && dropsRepeats(cmd, row) && withinColdBudget(row, now);
    }

    /** A node with a failure against it gets one dispatch at a time. */
    private boolean usable(Row row, double now) {
        return !row.closed && now >= row.restUntil && row.strikes < STRIKES
                && (row.strikes == 0 || row.out.isEmpty()) && !silent(row, now) && hasRoom(row, 1, now);
    }

    /** One failure can be chance; two in a row without an answer between are a state. */
    private static final int STRIKES = 2;

    /** Guards against filling a node again whose work goes on after the time limit or a recall. */
    private static boolean hasRoom(Row row, double part, double now) {
        // Windows keep queues well under one response target, so after two the dispatch has left its queue.
        row.abandoned.removeIf(d -> now > d.sentAt + 2 * d.command.group.responseTarget());
        return row.out.size() + row.abandoned.size() < Math.max(1, row.window * part);
    }

    /** Dispatches are out and nothing at all has come back for far longer than usual. */
    private boolean silent(Row row, double now) {
        Dispatch oldest = row.out.peek();
        if (oldest == null) {
            return false;
        }
        return now - Math.max(row.answeredAt, oldest.sentAt) > patience(oldest.command.group);
    }

    private double patience(CommandGroup group) {
        return Math.max(PATIENCE, SILENCE * usual.get(group));
    }

    /** Above the pauses that processes make in ordinary service, below the shortest response targets. */
    private static final double PATIENCE = 0.2;
    /** Three times the mean is past the 95th percentile of the usual spreads of work. */
    private static final double SILENCE = 3;

    /** A node that was lost or is cold gets a growing part of its turns, so that it returns gradually. */
    private boolean takesTurn(Row row, double now) {
        double part = Math.min(warmth(row, now), 0.2 + 0.8 * (now - row.returnedAt) / RETURN_TIME);
        return part >= 1 || random.nextDouble() < part;
    }

    /** A few seconds show whether a node that is back holds. */
    private static final double RETURN_TIME = 4;

    /** The part of its capacity that a node has at the least, by the time since its listed start. */
    private double warmth(Row row, double now) {
        double since = row.listing == null ? 0 : row.listing.startedAt();
        if (since <= 0 || settings.warmAfter() <= 0) {
            return 1;
        }
        double grown = Math.max(0, Math.min(1, (now - since) / settings.warmAfter()));
        return settings.coldShare() + (1 - settings.coldShare()) * grown;
    }

    /** Rule 4: work for a cold node stays within this router's share of what would push it over. */
    private boolean withinColdBudget(Row row, double now) {
        double warmth = warmth(row, now);
        if (warmth >= 1) {
            return true;
        }
        double rate = warmth * settings.overloadFactor() * COLD_SAFETY * Math.max(warmRate, LEAST_RATE);
        double most = rate * COLD_BURST;
        double elapsed = now - row.coldBudgetAt;
        // What was sent while it was warm, or not asked about, is past.
        boolean first = elapsed > settings.overloadFor();
        row.coldBudget = first ? most : Math.min(most, row.coldBudget + rate * elapsed);
        row.coldBudgetAt = now;
        return row.coldBudget > 0;
    }

    /** Warm nodes seldom bear more than they can: this part leaves room for chance. */
    private static final double COLD_SAFETY = 0.75;
    /** A budget that lay idle may be spent at once up to this many seconds of it. */
    private static final double COLD_BURST = 0.5;
    /** Work a second that any node can do for a router, a twentieth of a core, when no warm one was seen. */
    private static final double LEAST_RATE = 0.05;

    private Team team(int group) {
        return teams.computeIfAbsent(group, any -> new Team());
    }

    /** The member with the newest claim to be primary. */
    private Row primary(int group) {
        Row best = null;
        for (Row row : team(group).rows) {
            if (row.claimsPrimary() && (best == null || row.primaryAt > best.primaryAt)) {
                best = row;
            }
        }
        return best;
    }

    // ---- what to do after an outcome ----

    /** What to do after this outcome; {@code over} tells that the command has its final answer. */
    public Choice after(Dispatch dispatch, Reply reply, boolean over, double now) {
        Command cmd = dispatch.command;
        dispatch.outcome = reply.outcome();
        Row row = rows.get(dispatch.node);
        row.out.remove(dispatch);
        if (reply.outcome() == Outcome.TIMED_OUT || reply.outcome() == Outcome.CANCELLED) {
            row.abandoned.add(dispatch);
        }
        learn(row, reply, now);
        judge(row, dispatch, reply, now);
        if (reply.outcome() == Outcome.ANSWERED && cmd.group.level() == ReadLevel.WRITE) {
            remember(cmd, reply, now);
        }
        if (over || reply.outcome() == Outcome.ANSWERED) {
            return new Choice(Verdict.DONE, null, 0, wantedNoLonger(cmd));
        }
        return where(cmd, now);
    }

    /** Takes over what a node told of its position and role. */
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
        Team team = team(row.node.group());
        if (row.claimsPrimary()) {
            team.head = Math.max(team.head, row.position);
        }
        // Measured when told: a replica that was not asked for a while has not fallen behind by that.
        if (reply.position() > 0 || reply.reportedPosition() > 0) {
            row.lag = team.head - row.position;
        }
    }

    /** Reports arrive within a few seconds even when they are late. */
    private static final double OLDEST_REPORT = 5;

    /** Health and room of a node, by what became of a dispatch. */
    private void judge(Row row, Dispatch dispatch, Reply reply, double now) {
        double usualTime = usual.get(dispatch.command.group);
        double target = dispatch.command.group.responseTarget();
        switch (reply.outcome()) {
            case ANSWERED -> {
                row.answeredAt = now;
                // Queues are served in order: what went out before this dispatch has left the queue too.
                row.abandoned.removeIf(d -> d.sentAt <= dispatch.sentAt);
                if (row.strikes >= STRIKES) {
                    row.returnedAt = now;
                }
                row.strikes = 0;
                row.fulls = 0;
                // Guards against a cold budget swollen by sends that full or hung nodes never worked on.
                row.doneRate = decayed(row.doneRate, now - row.doneRateAt) + usualTime / RATE_MEMORY;
                row.doneRateAt = now;
                row.errorShare *= 1 - ERROR_WEIGHT;
                usual.put(dispatch.command.group, usualTime + 0.02 * (reply.took() - usualTime));
                adapt(row, reply.took() / target, now);
                if (row.slowness < 0.25 && row.out.size() + 1 >= row.window * 0.7) {
                    row.window += 0.5 / row.window;
                }
            }
            case TURNED_AWAY -> {
                row.answeredAt = now;
                if (!dispatch.command.group.primaryOnly()) {
                    row.benchedAt = now;
                }
            }
            case FULL -> {
                row.window = Math.max(leastWindow, row.window * 0.8);
                // Guards against asking full and hung nodes over and over: each one more doubles the rest.
                row.restUntil = now + Math.min(1, 0.05 * Math.pow(2, row.fulls++));
            }
            case ERROR -> {
                row.answeredAt = now;
                row.errorShare += ERROR_WEIGHT * (1 - row.errorShare);
                // Guards against quick errors drawing traffic: a node that fails half its commands sits out.
                if (row.errorShare > 0.5) {
                    row.restUntil = now + 2;
                    row.returnedAt = now + 2;
                    row.errorShare = 0.4;
                }
            }
            case CONNECT_FAILED, RESET -> strike(row, now);
            case TIMED_OUT, CANCELLED -> {
                adapt(row, Math.max(row.slowness, reply.took() / target), now);
                if (dispatch.sentAt > row.answeredAt && reply.took() > patience(dispatch.command.group)) {
                    strike(row, now);
                }
            }
            case NOT_SENT -> { }
        }
    }

    /** For all routers together: a few for each core of a small machine. */
    private static final double FIRST_WINDOW = 10;
    /** Also for all together: any machine can do so many at once, and slow answers then have other causes. */
    private static final double LEAST_WINDOW = 4;
    /** About two of the shorter response targets. */
    private static final double JAM_REST = 0.5;
    /** The document's circuit break. */
    private static final double BENCH = 10;
    /** Half a dozen outcomes settle an opinion. */
    private static final double ERROR_WEIGHT = 0.15;

    private static void strike(Row row, double now) {
        row.strikes++;
        row.failedAt = now;
    }

    /**
     * Keeps the usual time of answer at a node under a third of the response target, which leaves the
     * spread of work its room below it. Guards against queues that make everything late and never empty.
     */
    private void adapt(Row row, double slowness, double now) {
        row.slowness += 0.1 * (Math.min(slowness, 2) - row.slowness);
        if (row.slowness > 0.32) {
            row.window = Math.max(leastWindow, row.window * 0.97);
        }
        // Guards against a node that stays jammed because each router keeps one dispatch there: it may drain.
        if (row.slowness > 0.7 && row.window <= leastWindow) {
            row.restUntil = now + JAM_REST;
            row.slowness = 0.5;
        }
    }

    private void remember(Command cmd, Reply reply, double now) {
        if (settings.marksCarried() || cmd.session == null) {
            return;
        }
        Wrote old = wrote.remove(cmd.session);
        double told = reply.position() > 0 ? reply.position() : now;
        double position = old == null ? told : Math.max(told, old.position);
        wrote.put(cmd.session, new Wrote(team(cmd.nodeGroup), position));
        // Forgetting never allows a stale read: later session reads of the group must cover what is dropped.
        Iterator<Wrote> oldest = wrote.values().iterator();
        while (oldest.hasNext()) {
            Wrote first = oldest.next();
            if (wrote.size() <= MOST_SESSIONS && first.position > now - SESSION_MEMORY) {
                break;
            }
            first.team.forgotten = Math.max(first.team.forgotten, first.position);
            oldest.remove();
        }
    }

    /** Replicas are seldom further behind than this; the count bounds the memory whatever comes. */
    private static final double SESSION_MEMORY = 20;
    private static final int MOST_SESSIONS = 20_000;

    // ---- how long to wait ----

    /** How long to wait until this router is asked again about all it holds, and what else is due. */
    public Pause pause(double now) {
        var probes = new ArrayList<Node>();
        double load = 0;
        int warm = 0;
        boolean busy = waiting;
        for (Row row : rows.values()) {
            busy |= !row.out.isEmpty();
            if (settings.mayProbe() && probeDue(row, now)) {
                row.probedAt = now;
                probes.add(row.node);
            }
            if (!row.closed && row.strikes == 0 && warmth(row, now) >= 1) {
                load += decayed(row.doneRate, now - row.doneRateAt);
                warm++;
            }
        }
        if (warm > 0) {
            warmRate = load / warm;
        }
        boolean watch = now >= watchAt;
        // Neither list nor failure within five seconds: the call is lost.
        watchAt = watch ? now + 5 : watchAt;
        waiting = false;
        return new Pause(busy ? 0.01 : 0.05, probes, watch);
    }

    /** Rows that go stale are probed, and lost ones; all members while their primary is unknown or silent. */
    private boolean probeDue(Row row, double now) {
        if (row.listing == null) {
            return false;
        }
        double since = now - row.probedAt;
        if (!primaryIsWell(row.node.group(), now)) {
            return since > 0.15;
        }
        // Guards against a gate that stays empty because nothing is sent to those that it dropped: a row is
        // probed when its position ceases to cover the tightest bound, if that is before the time gate.
        boolean uncovered = now - row.heardAt > Math.min(TIME_GATE, 2 * tightestGate);
        return since > 0.5 && row.strikes > 0 || since > Math.max(0.15, tightestGate / 2) && uncovered;
    }

    // ---- news ----

    /** The node list: all of it, or what changed. */
    public void listed(List<Listing> entries, boolean whole, double now) {
        if (whole) {
            rows.values().forEach(this::delist);
        }
        for (Listing entry : entries) {
            Row row = rows.computeIfAbsent(entry.node(), node -> {
                Row made = new Row(node, Math.max(leastWindow, FIRST_WINDOW / settings.routers()));
                team(node.group()).rows.add(made);
                return made;
            });
            row.listing = entry;
            switch (entry.state()) {
                case READY -> row.closed = false;
                case DRAINING -> row.closed = true;
                case GONE -> delist(row);
            }
        }
        rows.values().removeIf(row -> {
            boolean empty = row.listing == null && row.out.isEmpty();
            if (empty) {
                team(row.node.group()).rows.remove(row);
            }
            return empty;
        });
        // The cached list comes before anything was asked; any later one shows that the watch stands.
        if (watchAt > 0) {
            watchAt = Double.POSITIVE_INFINITY;
        }
    }

    /** Rule 3, and where the list's word that a node is gone binds nobody, it changes nothing. */
    private void delist(Row row) {
        if (settings.goneBinds()) {
            row.listing = null;
            row.closed = true;
        }
    }

    /** A call to the node list failed, or its watch broke; it is asked again, not all routers at once. */
    public void listFailed(double now) {
        if (settings.listMustBeAsked()) {
            watchAt = now + 1 + 2 * random.nextDouble();
        }
    }

    /** A probe came back. */
    public void probed(Node node, Reply reply, double now) {
        Row row = rows.get(node);
        if (row == null) {
            return;
        }
        if (reply.outcome() != Outcome.ANSWERED) {
            strike(row, now);
            return;
        }
        learn(row, reply, now);
        if (reply.reportedRole() == Role.PRIMARY && reply.reportedPosition() > row.failedAt) {
            row.strikes = 0;
        } else if (row.strikes >= STRIKES) {
            row.returnedAt = now;
            row.strikes = 1;
        }
    }
}
