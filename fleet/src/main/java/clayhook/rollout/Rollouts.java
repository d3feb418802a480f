package clayhook.rollout;

import clayhook.fleet.Kind;
import clayhook.fleet.Machine;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Part;
import clayhook.fleet.Peer;
import clayhook.fleet.Reader;
import clayhook.fleet.Roster;
import clayhook.fleet.Shared;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Takes candidates through their stages, together with the other routers and without a leader: each votes by what it sees, and
 * a stage is whatever a majority of the frozen roster has voted for. For one thread; {@link #split()} alone is for all.
 */
public final class Rollouts implements Machine {
    /** Seconds between turns while a rollout is under way, and while there is none. */
    private static final double TURN = 0.25;
    private static final double IDLE = 1;
    /** Asks in the time of a lease, so that a few may get lost. */
    private static final int ASKS_IN_A_LEASE = 4;
    /** Bytes that a command group's figures take, about, and bytes a second that those of all routers may. */
    private static final double FIGURE_BYTES = 1300;
    private static final double FIGURES_BYTES = 20_000;
    /** Figures older than so many times the time between them, and the time that news takes, count as not heard. */
    private static final double STALE_TIMES = 3;
    private static final double NEWS_SECONDS = 2;
    /** Bytes of a router's name in UTF-8; it stands in keys beside a command group's. */
    private static final int LONGEST_NAME = 150;

    /** What the operator asks for, until it can be begun. */
    private static final class Waiting {
        final Plan plan;
        final RuleSet rules;
        String told = "";

        Waiting(Plan plan, RuleSet rules) {
            this.plan = plan;
            this.rules = rules;
        }
    }

    private final Roster roster;
    private final Shared shared;
    private final RolloutSettings settings;
    private final Checker checker;
    private final Random chance;
    private final Listener listener;
    private final Quorum quorum;
    private final Supplier<Lease> leases;
    private final Grants grants;
    private final double started;
    private final Member self;
    /** By id; as many as {@link Round#KIND} keeps, emptied as it is. */
    private final Map<String, Live> known = new HashMap<>();
    private Waiting waiting;
    private String standing;
    private Version plain;
    private volatile Split split;
    private volatile Status status;

    public Rollouts(Roster roster, Shared shared, RolloutSettings settings, Checker checker, long seed, double now,
            Listener listener) {
        this(roster, shared, settings, checker, seed, now, listener, new Quorum(), Lease::new);
    }

    /** For tests that break the majority or the lease. */
    Rollouts(Roster roster, Shared shared, RolloutSettings settings, Checker checker, long seed, double now,
            Listener listener, Quorum quorum, Supplier<Lease> leases) {
        this.roster = roster;
        this.shared = shared;
        this.settings = settings;
        this.checker = checker;
        this.chance = new Random(seed);
        this.listener = listener;
        this.quorum = quorum;
        this.leases = leases;
        this.grants = new Grants(now + settings.lease() * Grants.DRIFT);
        this.started = now;
        this.self = roster.self().member();
        if (self.name().getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
            throw new IllegalArgumentException("a router's name may have " + LONGEST_NAME + " bytes where rollouts are on");
        }
        standing = settings.standing();
        plain = new Version(standing, null, 0, false, Map.of());
        split = Split.whole(plain);
        shared.listen(Round.KIND, this::hear);
    }

    /** The kinds of values that it shares. */
    public static List<Kind<?>> kinds() {
        return List.of(Round.KIND, Piece.KIND, Vote.KIND, Figure.COUNTS, Figure.OLD_TIMES, Figure.CANDIDATE_TIMES);
    }

    /** Which sessions get which version now; one volatile read. */
    public Split split() {
        return split;
    }

    /** The rollout under way, or null; for any thread. */
    public Status status() {
        return status;
    }

    /** For tests that tell one state from another. */
    Collection<Live> known() {
        return known.values();
    }

    // What the operator says.

    /**
     * Asks for a rollout, at a start or a SIGHUP whose file has one. Asking for the one that is in force changes nothing. It
     * begins when enough members are in sight and this router's copy is whole; until then it waits.
     *
     * @param rules a canonical text, see {@link RuleSet}
     * @return what is wrong; empty when it was taken
     */
    public List<Fault> propose(Plan plan, String rules, double now) {
        learn(now);
        List<Fault> faults = plan.faults();
        int bytes = rules.getBytes(StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > RuleSet.LONGEST) {
            faults.add(new Fault("rules", "must have 1 to " + RuleSet.LONGEST + " bytes"));
        }
        RuleSet set = RuleSet.of(rules);
        if (faults.isEmpty() && !underway(set, plan, now)) {
            Fault refusal = refusal(set, plan, now);
            String unread = refusal == null ? checker.fault(set.hash(), rules) : null;
            if (refusal != null) {
                faults.add(refusal);
            } else if (unread != null) {
                faults.add(new Fault("rules", unread));
            } else {
                waiting = new Waiting(plan, set);
            }
        }
        return faults;
    }

    /**
     * Takes back what was asked for: a SIGHUP back to the old file, or one without the candidate. Whatever is in force, or done
     * and not yet in this router's own file, goes back to the old version everywhere.
     *
     * @return null, or why there is nothing to take back
     */
    public Fault withdraw(double now) {
        learn(now);
        boolean waited = waiting != null;
        waiting = null;
        Live last = known.values().stream()
                .filter(live -> !live.ended() && !live.stale(now, settings.patience()) && !live.proposal.rules().equals(standing))
                .min(Comparator.comparing((Live live) -> live.done()).thenComparing(live -> live.proposal))
                .orElse(null);
        if (last != null) {
            end(last, End.What.WITHDRAWN, "by its operator", now);
        }
        return waited || last != null ? null : new Fault("", "no rollout is in force");
    }

    /**
     * Begins the newest rollout that has ended anew: another attempt, from the first stage, with the roster of now.
     *
     * @return null, or why there is none
     */
    public Fault resume(double now) {
        learn(now);
        Live last = known.values().stream().filter(live -> live.ended() && live.read())
                .max(Comparator.comparing(live -> live.proposal)).orElse(null);
        if (last == null) {
            return new Fault("", "no rollout that has ended is known here");
        }
        List<Fault> faults = propose(last.terms.plan().again(last.proposal.attempt() + 1), last.rules.text(), now);
        return faults.isEmpty() ? null : faults.get(0);
    }

    /** The rules of this router's own file have that hash now. A candidate cannot be compared with rules that changed meanwhile. */
    public void standing(String hash, double now) {
        learn(now);
        Live live = inForce(now);
        if (!hash.equals(standing) && live != null && live.votes(self) && !hash.equals(live.proposal.base())) {
            end(live, End.What.HALTED, self.name() + " was given other rules to stand on", now);
        }
        standing = hash;
        publish(now);
    }

    /** Outcomes of commands, counted by another thread and not touched by it any more. */
    public void took(Batch batch, double now) {
        batch.each((version, cells) -> {
            Live live = known.get(version.round());
            if (live != null && live.tally != null && !live.ended()) {
                live.tally.took(version, cells);
            }
        });
    }

    // What comes from the others.

    @Override
    public Map<Integer, Function<Reader, ? extends Part>> parts() {
        return Map.of(Ask.NUMBER, Ask::read, Answer.NUMBER, Answer::read);
    }

    @Override
    public void heard(Peer from, Part part, double now, Outbox out) {
        if (part instanceof Ask ask) {
            Live live = known.get(ask.round());
            boolean granted = live != null && grant(live, now);
            out.add(from.address(), new Answer(ask.round(), ask.at(), granted));
        } else if (part instanceof Answer answer) {
            Live live = known.get(answer.round());
            if (live != null && live.lease != null && live.votes(from.member())) {
                if (answer.granted()) {
                    live.lease.granted(from.member(), answer.asked(), now);
                } else {
                    live.lease.refused(from.member());
                }
                publish(now);
            }
        }
    }

    private boolean grant(Live live, double now) {
        return live.votes(self) && live == inForce(now) && grants.grant(live.id, now, live.proposal.lease());
    }

    /** A halt takes the candidate away at once. */
    private void hear(String id, Round round, double now) {
        Live live = known.get(id);
        if (live == null) {
            live = new Live(id, round, now);
            known.put(id, live);
            if (live.ended()) {
                told(live);
            } else {
                tell(News.What.PROPOSED, live, "attempt " + round.proposal().attempt());
            }
        } else if (!live.round.equals(round)) {
            int stage = live.stage();
            boolean ended = live.ended();
            live.round = Round.KIND.join(live.round, round);
            if (live.stage() > stage) {
                reached(live, now);
            }
            if (!ended && live.ended()) {
                told(live);
            }
            publish(now);
        }
    }

    private void told(Live live) {
        End end = live.round.end();
        tell(News.What.valueOf(end.what().name()), live, "by " + end.by() + ": " + end.reason());
    }

    private void reached(Live live, double now) {
        live.stageSince = now;
        live.old = null;
        if (live.done()) {
            tell(News.What.DONE, live, "put it into the file of every router");
        } else {
            tell(News.What.ADVANCED, live, "stage " + live.stage());
        }
    }

    private void tell(News.What what, Live live, String text) {
        listener.told(new News(what, live.proposal.rules(), live.name() + ": " + text));
    }

    // What is due.

    @Override
    public double turn(double now, Outbox out) {
        learn(now);
        if (waiting != null) {
            begin(now);
        }
        contest(now);
        Live live = inForce(now);
        if (live != null && live.read()) {
            take(live, now, out);
        }
        publish(now);
        double next = now + (waiting != null || live != null ? TURN : IDLE);
        return split.until() > now ? Math.min(next, split.until()) : next;
    }

    private void take(Live live, double now, Outbox out) {
        if (live.votes(self)) {
            if (live.stage() == 0) {
                voteToBegin(live, now);
            }
            certify(live, now);
        }
        if (live.stage() >= 1 && !live.done() && !live.ended()) {
            keepLease(live, now, out);
            look(live, now);
        }
    }

    /** Takes in what is known of rollouts, and forgets what is known nowhere any more. */
    private void learn(double now) {
        var rounds = new HashMap<String, Round>();
        shared.each(Round.KIND, rounds::put);
        rounds.forEach((id, round) -> hear(id, round, now));
        known.values().removeIf(live -> !rounds.containsKey(live.id) && !live.done());
        for (Live live : new ArrayList<>(known.values())) {
            if (!live.ended()) {
                keepYoung(live, now);
                read(live, now);
            }
        }
    }

    private void keepYoung(Live live, double now) {
        double young = Round.young(live.proposal.begun(), now);
        if (young > live.round.at() && !live.stale(now, settings.patience())) {
            put(live, live.round.at(young), now);
            if (live.read()) {
                Piece.put(shared, live.terms.bytes(), young, now);
                Piece.put(shared, live.rules.text().getBytes(StandardCharsets.UTF_8), young, now);
            }
            Vote vote = shared.get(Vote.KIND, Vote.key(live.id, self));
            if (vote != null) {
                shared.put(Vote.KIND, Vote.key(live.id, self), new Vote(vote.stage(), young), now);
            }
        }
    }

    private void put(Live live, Round round, double now) {
        Round joined = shared.put(Round.KIND, live.id, round, now);
        hear(live.id, joined == null ? round : joined, now);
    }

    private void end(Live live, End.What what, String reason, double now) {
        if (!live.ended()) {
            put(live, live.round.ended(End.of(what, reason, self.name(), now)), now);
        }
    }

    private void read(Live live, double now) {
        boolean complete;
        try {
            complete = live.gather(shared);
        } catch (IllegalArgumentException e) {
            end(live, End.What.VETOED, "its plan cannot be read: " + e.getMessage(), now);
            return;
        }
        if (complete) {
            live.fault = live.proposal.lease() > settings.lease() ? "its lease is longer than the one set here"
                    : live.terms.fleet() != settings.fleet() ? "it counts with " + live.terms.fleet() + " routers, here are "
                            + settings.fleet() + " set"
                    : checker.fault(live.rules.hash(), live.rules.text());
            live.tally = new Tally(live.id, self, live.terms.plan().groups());
            live.lease = leases.get();
            if (live.done()) {
                tell(News.What.DONE, live, "put it into the file of every router");
            }
            if (live.fault != null && !live.done()) {
                // Before it begins a veto, after that a halt: a session must not get another version here.
                end(live, live.stage() == 0 ? End.What.VETOED : End.What.HALTED, live.fault, now);
            }
        }
        if (live.read() && !live.done() && !base(live)) {
            standsElsewhere(live, now);
        }
    }

    private boolean base(Live live) {
        return stands().equals(live.proposal.base());
    }

    /** A router that has not heard yet of the rollout before is given time. */
    private void standsElsewhere(Live live, double now) {
        if (live.stage() == 0 && live.votes(self) && now - live.seen > settings.patience() / 2) {
            end(live, End.What.VETOED, self.name() + " stands on other rules", now);
        } else if (live.stage() > 0 && live.told.add("sits out")) {
            tell(News.What.SITS_OUT, live, "this router stands on other rules than those that the rollout began with");
        }
    }

    /** The rules without any candidate: those of the file, or what was rolled out from there. */
    private String stands() {
        String hash = standing;
        for (int i = 0; i < known.size(); i++) {
            String from = hash;
            hash = known.values().stream()
                    .filter(live -> live.done() && live.read() && live.fault == null && live.proposal.base().equals(from))
                    .min(Comparator.comparing(live -> live.proposal)).map(live -> live.proposal.rules()).orElse(from);
            if (hash.equals(from)) {
                break;
            }
        }
        return hash;
    }

    // Beginning.

    private boolean underway(RuleSet set, Plan plan, double now) {
        return known.values().stream().anyMatch(live -> !live.ended() && !live.stale(now, settings.patience())
                && live.proposal.rules().equals(set.hash()) && (live.terms == null || live.terms.plan().equals(plan)))
                || waiting != null && waiting.rules.equals(set) && waiting.plan.equals(plan);
    }

    private Fault refusal(RuleSet set, Plan plan, double now) {
        if (set.hash().equals(stands())) {
            return new Fault("rules", "the fleet stands on them already");
        }
        Live other = inForce(now);
        if (other != null) {
            return new Fault("", "another rollout is in force: " + other.name());
        }
        Live before = known.values().stream().filter(live -> live.ended() && live.proposal.rules().equals(set.hash()))
                .max(Comparator.comparingInt(live -> live.proposal.attempt())).orElse(null);
        return before == null || before.proposal.attempt() < plan.attempt() ? null
                : new Fault("attempt", "must be " + (before.proposal.attempt() + 1) + " or more: attempt "
                        + before.proposal.attempt() + " was ended by " + before.round.end().by() + ", "
                        + before.round.end().reason());
    }

    private void begin(double now) {
        String hold = hold(now);
        if (hold != null) {
            if (!hold.equals(waiting.told)) {
                waiting.told = hold;
                listener.told(new News(News.What.WAITING, waiting.rules.hash(), hold));
            }
            return;
        }
        Waiting asked = waiting;
        waiting = null;
        if (underway(asked.rules, asked.plan, now)) {
            return;
        }
        Fault refusal = refusal(asked.rules, asked.plan, now);
        if (refusal != null) {
            listener.told(new News(News.What.REFUSED, asked.rules.hash(), refusal.toString()));
        } else {
            spread(asked, now);
        }
    }

    /** Why nothing may begin now, or null. */
    private String hold(double now) {
        int members = roster.others().size() + 1;
        return now < started + settings.settle() ? "this router has only begun"
                : shared.certainUpTo(now) == Double.NEGATIVE_INFINITY ? "this router is being brought up"
                : roster.doubtful(now) ? "this router stood still"
                : members < quorum.of(settings.fleet()) ? members + " routers are in sight, of " + settings.fleet() : null;
    }

    private void spread(Waiting asked, double now) {
        List<Member> frozen = Stream.concat(Stream.of(self), roster.others().stream().map(Peer::member)).sorted().toList();
        byte[] terms = new Terms(asked.plan, settings.fleet(), frozen).bytes();
        byte[] rules = asked.rules.text().getBytes(StandardCharsets.UTF_8);
        var proposal = new Proposal(self, now, stands(), asked.rules.hash(), rules.length, Piece.hash(terms), terms.length,
                settings.lease(), asked.plan.attempt());
        Piece.put(shared, terms, now, now);
        Piece.put(shared, rules, now, now);
        var round = new Round(proposal, 0, null, now);
        Round joined = shared.put(Round.KIND, proposal.id(), round, now);
        hear(proposal.id(), joined == null ? round : joined, now);
        read(known.get(proposal.id()), now);
    }

    private Stream<Live> open(double now) {
        return known.values().stream().filter(live -> !live.ended() && !live.done() && !live.stale(now, settings.patience()));
    }

    /** Of those that go on, the one that wins everywhere. */
    private Live inForce(double now) {
        return open(now).min(Comparator.comparing(live -> live.proposal)).orElse(null);
    }

    private void contest(double now) {
        Live winner = inForce(now);
        for (Live live : open(now).toList()) {
            if (live != winner) {
                end(live, End.What.SUPERSEDED, winner.name() + " was begun first", now);
            }
        }
        for (Live live : new ArrayList<>(known.values())) {
            if (!live.ended() && live.stale(now, settings.patience()) && live.votes(self) && neverBegan(live, now)) {
                Member unread = live.unread(shared, roster);
                end(live, End.What.EXPIRED, unread == null ? "no majority voted to begin"
                        : unread.name() + " did not say that it can run it", now);
            }
        }
    }

    /** As far as the majority has come, this router has heard; it votes no more, so nothing can begin any more. */
    private boolean neverBegan(Live live, double now) {
        long lives = live.terms.roster().stream().filter(member -> member.equals(self) || roster.lives(member)).count();
        return lives >= majority(live) && shared.certainUpTo(now) > live.seen + 2 * settings.patience();
    }

    // Going on.

    private int majority(Live live) {
        return quorum.of(live.terms.voters());
    }

    private void vote(Live live, int stage, double now) {
        String key = Vote.key(live.id, self);
        Vote before = shared.get(Vote.KIND, key);
        if (before == null || before.stage() < stage) {
            shared.put(Vote.KIND, key, new Vote(stage, live.round.at()), now);
        }
    }

    private void voteToBegin(Live live, double now) {
        if (live.fault != null || !base(live)) {
            return;
        }
        vote(live, 0, now);
        if (now - live.seen >= settings.settle() && !roster.doubtful(now) && live.unread(shared, roster) == null) {
            vote(live, 1, now);
        }
    }

    /** Whoever sees that a majority has voted says so to all. */
    private void certify(Live live, double now) {
        int next = live.stage() + 1;
        if (next <= live.terms.plan().stages().size() + 1 && live.votes(shared, next) >= majority(live)) {
            put(live, live.round.reached(next), now);
        }
    }

    private boolean mayRun(Live live) {
        return live.read() && live.fault == null && live.stage() >= 1 && !live.ended() && !live.done() && base(live);
    }

    private void keepLease(Live live, double now, Outbox out) {
        if (!mayRun(live) || now < live.nextAsk) {
            return;
        }
        double between = live.proposal.lease() / ASKS_IN_A_LEASE;
        live.nextAsk = now + (live.runs ? between : Math.min(between, 1));
        live.lease.asked(now);
        if (grant(live, now)) {
            live.lease.granted(self, now, now);
        }
        List<Peer> voters = new ArrayList<>();
        for (Peer peer : roster.others()) {
            if (live.votes(peer.member())) {
                voters.add(peer);
            }
        }
        Collections.shuffle(voters, chance);
        // Some more than a majority, as some are lost; others the next time.
        int most = majority(live) + Math.max(2, majority(live) / 4);
        voters.subList(0, Math.min(most, voters.size())).forEach(peer -> out.add(peer.address(), new Ask(live.id, now)));
    }

    /** Seconds between figures, so that those of all routers together stay within a bound. */
    private double every(Live live) {
        double bytes = FIGURE_BYTES * live.terms.roster().size() * live.terms.plan().groups().size();
        return Math.max(settings.every(), bytes / FIGURES_BYTES);
    }

    /** Shares what was counted here, and judges what was counted anywhere. */
    private void look(Live live, double now) {
        live.tally.turn(now);
        if (now < live.nextLook) {
            return;
        }
        live.nextLook = now + every(live);
        live.tally.share(shared, live.stage(), now);
        Figures figures = Figures.of(shared, live.id, live.stage());
        var judge = new Judge(live.terms.plan());
        String halt = judge.halts(live.stage(), figures);
        if (halt == null && live.stage() > 1) {
            halt = judge.halts(live.stage() - 1, Figures.of(shared, live.id, live.stage() - 1));
        }
        if (halt != null) {
            end(live, End.What.HALTED, halt, now);
            return;
        }
        see(live, figures, now);
        live.waits = waits(live, judge, figures, now);
        status = status(live, figures);
        if (live.waits.isEmpty()) {
            vote(live, live.stage() + 1, now);
        }
    }

    /** Counts whose figures are fresh, and tells whose have ended. */
    private void see(Live live, Figures figures, double now) {
        double stale = STALE_TIMES * every(live) + NEWS_SECONDS;
        live.heard = 0;
        live.dead = 0;
        figures.at().forEach((member, at) -> {
            boolean lives = member.equals(self) || roster.lives(member);
            double ahead = member.equals(self) ? 0 : roster.ahead(member);
            live.heard += lives && live.votes(member) && at - (Double.isNaN(ahead) ? 0 : ahead) >= now - stale ? 1 : 0;
            live.dead += lives ? 0 : 1;
            if (!lives && live.told.add("dead " + member)) {
                tell(News.What.FIGURES_END, live, member.name() + " is gone; what it shared until "
                        + String.format(Locale.ROOT, "%.1f", at) + " counts, what it counted after that is lost");
            }
        });
        boolean blind = live.heard < majority(live);
        // A stage that has just begun has no figures yet.
        if (blind != live.blind && (!blind || now - live.stageSince > stale)) {
            live.blind = blind;
            tell(blind ? News.What.BLIND : News.What.SEEING, live,
                    "fresh figures of " + live.heard + " routers, " + majority(live) + " needed");
        }
    }

    /** Why this router does not vote to go on; empty when it does. */
    private String waits(Live live, Judge judge, Figures figures, double now) {
        double left = live.terms.plan().stages().get(live.stage() - 1).seconds() - (now - live.stageSince);
        if (!live.votes(self)) {
            return "this router is not in the roster";
        }
        if (!live.runs) {
            return "this router does not run the candidate";
        }
        if (live.heard < majority(live)) {
            return "fresh figures of " + live.heard + " routers only";
        }
        if (roster.doubtful(now)) {
            return "this router stood still";
        }
        if (left > 0) {
            return (long) Math.ceil(left) + " s of the stage are left";
        }
        String waits = judge.waits(live.stage(), figures);
        return waits == null ? "" : waits;
    }

    private Status status(Live live, Figures figures) {
        Stage stage = live.terms.plan().stages().get(live.stage() - 1);
        List<Status.Rate> rates = stage.guards().stream().map(guard -> {
            Figures.Group group = figures.group(guard.group());
            return new Status.Rate(guard.group(), guard.measure(), group.commands(1), group.level(guard.measure(), 1),
                    group.level(guard.measure(), 0), group.evidence(guard.measure()));
        }).toList();
        return new Status(live.proposal.rules(), live.stage(), stage.share(), split.until(), live.heard, live.terms.voters(), live.dead,
                live.waits, rates);
    }

    // The switch.

    private void publish(double now) {
        String stands = stands();
        if (!plain.rules().equals(stands)) {
            plain = new Version(stands, null, 0, false, Map.of());
        }
        Live live = inForce(now);
        double until = live != null && mayRun(live) ? live.lease.until(majority(live), live.proposal.lease())
                : Double.NEGATIVE_INFINITY;
        for (Live other : known.values()) {
            runs(other, other == live && until > now);
        }
        if (live == null) {
            status = null;
        }
        if (!(until > now)) {
            if (!split.is(plain, null, null, Double.NEGATIVE_INFINITY)) {
                split = Split.whole(plain);
            }
            return;
        }
        versions(live);
        double share = live.terms.plan().stages().get(live.stage() - 1).share();
        if (!split.is(plain, live.old, live.candidate, until)) {
            split = Split.two(plain, live.old, live.candidate, share, until);
        }
    }

    private void runs(Live live, boolean runs) {
        if (live.runs != runs) {
            live.runs = runs;
            if (runs) {
                tell(News.What.RUNS, live, "stage " + live.stage());
            } else if (!live.ended() && !live.done()) {
                tell(News.What.CUT_OFF, live, "no contact with a majority; back to the old version");
            }
        }
    }

    /** The same objects as long as nothing changes that is counted by them. */
    private void versions(Live live) {
        Map<String, Double> limits = live.tally.slowFrom(live.stage());
        if (live.old == null || !limits.equals(live.limits)) {
            live.limits = limits;
            live.old = new Version(plain.rules(), live.id, live.stage(), false, limits);
            live.candidate = new Version(live.proposal.rules(), live.id, live.stage(), true, limits);
        }
    }
}
