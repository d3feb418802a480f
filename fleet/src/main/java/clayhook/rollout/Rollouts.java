package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Takes candidates through their stages, together with the other routers and without a leader: each votes by what it
 * sees, and a stage is whatever a majority of the frozen roster has voted for. For one thread; {@link #split()} alone
 * is for all.
 */
public final class Rollouts implements ProtocolHandler {
    /** Seconds between turns while a rollout is under way, and while there is none. */
    private static final double TURN = 0.25;

    private static final double IDLE = 1;
    /** Asks in the time of a lease, so that a few may get lost. */
    private static final int ASKS_IN_A_LEASE = 4;
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

    private final MembershipView roster;
    private final ReplicatedStore shared;
    private final RolloutSettings settings;
    private final Checker checker;
    private final Random chance;
    private final Listener listener;
    private final Quorum quorum;
    private final Grants grants;
    private final double started;
    private final Member self;
    private final Known known;
    private final Look look;
    private Waiting waiting;
    /** The set that this router's file had last; null for none in this life. */
    private String asked;

    private Version plain;
    private volatile Split split;
    private volatile Status status;

    public Rollouts(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            Checker checker,
            long seed,
            double now,
            Listener listener) {
        this(roster, shared, settings, checker, seed, now, listener, new Quorum(), Lease::new);
    }

    /** For tests that break the majority or the lease. */
    Rollouts(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            Checker checker,
            long seed,
            double now,
            Listener listener,
            Quorum quorum,
            Supplier<Lease> leases) {
        this.roster = roster;
        this.shared = shared;
        this.settings = settings;
        this.checker = checker;
        this.chance = new Random(seed);
        this.listener = listener;
        this.quorum = quorum;
        this.grants = new Grants(now + settings.lease() * Grants.DRIFT);
        this.started = now;
        this.self = roster.self().member();
        if (self.name().getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
            throw new IllegalArgumentException(
                    "a router's name may have " + LONGEST_NAME + " bytes where rollouts are on");
        }
        plain = new Version(settings.standing(), null, 0, false, Map.of());
        split = Split.whole(plain);
        known = new Known(roster, shared, settings, checker, listener, quorum, leases, this::publish);
        look = new Look(roster, known, settings);
    }

    /** The kinds of values that it shares. */
    public static List<ReplicatedType<?>> kinds() {
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
        return known.all();
    }

    // What the operator says.

    /**
     * Asks for a rollout, at a start or a SIGHUP whose file has one. Asking for the one that is in force changes
     * nothing. It begins when enough members are in sight and this router's copy is whole; until then it waits.
     *
     * @param rules a canonical text, see {@link RuleSet}
     * @return what is wrong; empty when it was taken
     */
    public List<Fault> propose(Plan plan, String rules, double now) {
        known.learn(now);
        List<Fault> faults = plan.faults();
        int bytes = rules.getBytes(StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > RuleSet.LONGEST) {
            faults.add(new Fault("rules", "must have 1 to " + RuleSet.LONGEST + " bytes"));
        }
        RuleSet set = RuleSet.of(rules);
        asked = set.hash();
        if (faults.isEmpty() && !waits(set, plan) && !known.underway(set, plan, now)) {
            Fault refusal = known.refusal(set, plan, now);
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

    private boolean waits(RuleSet set, Plan plan) {
        return waiting != null && waiting.rules.equals(set) && waiting.plan.equals(plan);
    }

    /**
     * Takes back what was asked for, where this router's file had a candidate and has none any more. It goes back to
     * the old version everywhere, also where all is done but not yet in this router's own file. A router that never
     * asked for one takes back whatever is in force; one whose set has lost to another leaves that other alone.
     *
     * @return null, or why there is nothing to take back
     */
    public Fault withdraw(double now) {
        known.learn(now);
        boolean waited = waiting != null;
        waiting = null;
        Live last = known.all().stream()
                .filter(live -> !live.ended() && !live.stale(now, settings.patience()))
                .filter(live -> !live.proposal.rules().equals(known.standing()))
                .filter(live -> asked == null || live.proposal.rules().equals(asked))
                .min(Comparator.comparing((Live live) -> live.done()).thenComparing(live -> live.proposal))
                .orElse(null);
        if (last != null) {
            known.end(last, End.What.WITHDRAWN, "by its operator", now);
        }
        return waited || last != null ? null : new Fault("", "no rollout is in force");
    }

    /**
     * Begins the newest rollout that has ended anew: another attempt, from the first stage, with the roster of now.
     *
     * @return null, or why there is none
     */
    public Fault resume(double now) {
        known.learn(now);
        Live last = known.all().stream()
                .filter(live -> live.ended() && live.read())
                .max(Comparator.comparing(live -> live.proposal))
                .orElse(null);
        if (last == null) {
            return new Fault("", "no rollout that has ended is known here");
        }
        List<Fault> faults = propose(last.terms.plan().again(last.proposal.attempt() + 1), last.rules.text(), now);
        return faults.isEmpty() ? null : faults.get(0);
    }

    /**
     * The rules of this router's own file have that hash now. No candidate is compared with rules that changed
     * meanwhile.
     */
    public void standing(String hash, double now) {
        known.learn(now);
        Live live = known.inForce(now);
        if (!hash.equals(known.standing()) && live != null && live.votes(self) && !hash.equals(live.proposal.base())) {
            known.end(live, End.What.HALTED, self.name() + " was given other rules to stand on", now);
        }
        known.standing(hash);
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
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of(Ask.NUMBER, Ask::read, Answer.NUMBER, Answer::read);
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
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

    /** Also where all is done, which the asker may not have heard yet. */
    private boolean grant(Live live, double now) {
        return live.votes(self)
                && (live == known.inForce(now) || live.done())
                && grants.grant(live.id, now, live.proposal.lease());
    }

    // What is due.

    @Override
    public double tick(double now, Outbox out) {
        known.learn(now);
        if (waiting != null) {
            begin(now);
        }
        known.contest(now);
        Live live = known.inForce(now);
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
            judge(live, now);
        }
    }

    // Beginning.

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
        if (known.underway(asked.rules, asked.plan, now)) {
            return;
        }
        Fault refusal = known.refusal(asked.rules, asked.plan, now);
        if (refusal != null) {
            listener.told(new News(News.What.REFUSED, asked.rules.hash(), refusal.toString()));
        } else {
            spread(asked, now);
        }
    }

    /** Why nothing may begin now, or null. */
    private String hold(double now) {
        int members = roster.livePeers().size() + 1;
        return now < started + settings.settle()
                ? "this router has only begun"
                : shared.completeUpTo(now) == Double.NEGATIVE_INFINITY
                        ? "this router is being brought up"
                        : roster.recentlyStalled(now)
                                ? "this router stood still"
                                : members < quorum.of(settings.fleet())
                                        ? members + " routers are in sight, of " + settings.fleet()
                                        : null;
    }

    private void spread(Waiting asked, double now) {
        List<Member> frozen = Stream.concat(
                        Stream.of(self), roster.livePeers().stream().map(Peer::member))
                .sorted()
                .toList();
        byte[] terms = new Terms(asked.plan, settings.fleet(), frozen).bytes();
        byte[] rules = asked.rules.text().getBytes(StandardCharsets.UTF_8);
        var proposal = new Proposal(
                self,
                now,
                known.stands(),
                asked.rules.hash(),
                rules.length,
                Piece.hash(terms),
                terms.length,
                settings.lease(),
                asked.plan.attempt());
        Piece.put(shared, terms, now, now);
        Piece.put(shared, rules, now, now);
        known.begin(new Round(proposal, 0, null, now), now);
    }

    // Going on.

    private void vote(Live live, int stage, double now) {
        String key = Vote.key(live.id, self);
        Vote before = shared.get(Vote.KIND, key);
        if (before == null || before.stage() < stage) {
            shared.merge(Vote.KIND, key, new Vote(stage, live.round.at()), now);
        }
    }

    private void voteToBegin(Live live, double now) {
        if (live.fault != null || !known.base(live)) {
            return;
        }
        vote(live, 0, now);
        if (now - live.seen >= settings.settle() && !roster.recentlyStalled(now) && live.unread(shared, roster) == null) {
            vote(live, 1, now);
        }
    }

    /** Whoever sees that a majority has voted says so to all. */
    private void certify(Live live, double now) {
        int next = live.stage() + 1;
        if (next <= live.terms.plan().stages().size() + 1 && live.votes(shared, next) >= known.majority(live)) {
            known.put(live, live.round.reached(next), now);
        }
    }

    private boolean mayRun(Live live) {
        return live.read()
                && live.fault == null
                && live.stage() >= 1
                && !live.ended()
                && !live.done()
                && known.base(live);
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
        for (Peer peer : roster.livePeers()) {
            if (live.votes(peer.member())) {
                voters.add(peer);
            }
        }
        Collections.shuffle(voters, chance);
        // Some more than a majority, as some are lost; others the next time.
        int most = known.majority(live) + Math.max(2, known.majority(live) / 4);
        voters.subList(0, Math.min(most, voters.size()))
                .forEach(peer -> out.add(peer.address(), new Ask(live.id, now)));
    }

    /** Shares what was counted here, and judges what was counted anywhere. */
    private void judge(Live live, double now) {
        live.tally.turn(now);
        if (now < live.nextLook) {
            return;
        }
        live.nextLook = now + look.every(live);
        live.tally.share(shared, live.stage(), now);
        Figures figures = Figures.of(shared, live.id, live.stage());
        var judge = new Judge(live.terms.plan());
        String halt = judge.halts(live.stage(), figures);
        if (halt == null && live.stage() > 1) {
            halt = judge.halts(live.stage() - 1, Figures.of(shared, live.id, live.stage() - 1));
        }
        if (halt != null) {
            known.end(live, End.What.HALTED, halt, now);
            return;
        }
        look.see(live, figures, now);
        live.waits = look.waits(live, judge, figures, now);
        status = look.status(live, figures, split.until());
        if (live.waits.isEmpty()) {
            vote(live, live.stage() + 1, now);
        }
    }

    // The switch.

    private void publish(double now) {
        String stands = known.stands();
        if (!plain.rules().equals(stands)) {
            plain = new Version(stands, null, 0, false, Map.of());
        }
        Live live = known.inForce(now);
        double until = live != null && mayRun(live)
                ? live.lease.until(known.majority(live), live.proposal.lease())
                : Double.NEGATIVE_INFINITY;
        for (Live other : known.all()) {
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
                known.tell(News.What.RUNS, live, "stage " + live.stage());
            } else if (!live.ended() && !live.done()) {
                known.tell(News.What.CUT_OFF, live, "no contact with a majority; back to the old version");
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
