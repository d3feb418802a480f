package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The rollouts that this router knows: what was heard of them, what could be read, which goes on, and which have ended.
 */
final class Known {
    private final MembershipView roster;
    private final ReplicatedStore shared;
    private final RolloutSettings settings;
    private final Checker checker;
    private final Listener listener;
    private final Quorum quorum;
    private final Supplier<Lease> leases;
    /** Called when a rollout has come to a stage or an end. */
    private final DoubleConsumer changed;

    private final Member self;
    /** By id; as many as {@link Round#KIND} keeps, emptied as it is. */
    private final Map<String, Live> rounds = new HashMap<>();
    /** Hash of the rules in this router's own file. */
    private String standing;

    Known(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            Checker checker,
            Listener listener,
            Quorum quorum,
            Supplier<Lease> leases,
            DoubleConsumer changed) {
        this.roster = roster;
        this.shared = shared;
        this.settings = settings;
        this.checker = checker;
        this.listener = listener;
        this.quorum = quorum;
        this.leases = leases;
        this.changed = changed;
        this.self = roster.self().member();
        this.standing = settings.standing();
        shared.addListener(Round.KIND, this::hear);
    }

    /** Null where it is not known. */
    Live get(String id) {
        return rounds.get(id);
    }

    Collection<Live> all() {
        return rounds.values();
    }

    String standing() {
        return standing;
    }

    void standing(String hash) {
        standing = hash;
    }

    /** A halt takes the candidate away at once. */
    private void hear(String id, Round round, double now) {
        Live live = rounds.get(id);
        if (live == null) {
            live = new Live(id, round, now);
            rounds.put(id, live);
            if (live.ended()) {
                told(live);
            } else {
                tell(News.What.PROPOSED, live, "attempt " + round.proposal().attempt());
            }
        } else if (!live.round.equals(round)) {
            int stage = live.stage();
            boolean ended = live.ended();
            live.round = Round.KIND.merge(live.round, round);
            if (live.stage() > stage) {
                reached(live, now);
            }
            if (!ended && live.ended()) {
                told(live);
            }
            changed.accept(now);
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

    void tell(News.What what, Live live, String text) {
        listener.told(new News(what, live.proposal.rules(), live.name() + ": " + text));
    }

    /** Takes in what is known of rollouts, and forgets what is known nowhere any more. */
    void learn(double now) {
        var heard = new HashMap<String, Round>();
        shared.forEach(Round.KIND, heard::put);
        heard.forEach((id, round) -> hear(id, round, now));
        rounds.values().removeIf(live -> !heard.containsKey(live.id) && !live.done());
        for (Live live : new ArrayList<>(rounds.values())) {
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
                shared.merge(Vote.KIND, Vote.key(live.id, self), new Vote(vote.stage(), young), now);
            }
        }
    }

    void put(Live live, Round round, double now) {
        Round joined = shared.merge(Round.KIND, live.id, round, now);
        hear(live.id, joined == null ? round : joined, now);
    }

    /** A rollout of this router's own. */
    void begin(Round round, double now) {
        String id = round.proposal().id();
        Round joined = shared.merge(Round.KIND, id, round, now);
        hear(id, joined == null ? round : joined, now);
        read(rounds.get(id), now);
    }

    /** Says that it is over, and why. */
    void end(Live live, End.What what, String reason, double now) {
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
            live.fault = live.proposal.lease() > settings.lease()
                    ? "its lease is longer than the one set here"
                    : live.terms.fleet() != settings.fleet()
                            ? "it counts with " + live.terms.fleet() + " routers, here are " + settings.fleet() + " set"
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

    /** This router stands on what the rollout began with. */
    boolean base(Live live) {
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
    String stands() {
        String hash = standing;
        for (int i = 0; i < rounds.size(); i++) {
            String from = hash;
            hash = rounds.values().stream()
                    .filter(live -> live.done()
                            && live.read()
                            && live.fault == null
                            && live.proposal.base().equals(from))
                    .min(Comparator.comparing(live -> live.proposal))
                    .map(live -> live.proposal.rules())
                    .orElse(from);
            if (hash.equals(from)) {
                break;
            }
        }
        return hash;
    }

    /** Whether that very rollout goes on, or is done. */
    boolean underway(RuleSet set, Plan plan, double now) {
        return rounds.values().stream()
                .anyMatch(live -> !live.ended()
                        && !live.stale(now, settings.patience())
                        && live.proposal.rules().equals(set.hash())
                        && (live.terms == null || live.terms.plan().equals(plan)));
    }

    /** Why that set cannot be begun now, or null. */
    Fault refusal(RuleSet set, Plan plan, double now) {
        if (set.hash().equals(stands())) {
            return new Fault("rules", "the fleet stands on them already");
        }
        Live other = inForce(now);
        if (other != null) {
            return new Fault("", "another rollout is in force: " + other.name());
        }
        Live before = rounds.values().stream()
                .filter(live -> live.ended() && live.proposal.rules().equals(set.hash()))
                .max(Comparator.comparingInt(live -> live.proposal.attempt()))
                .orElse(null);
        return before == null || before.proposal.attempt() < plan.attempt()
                ? null
                : new Fault(
                        "attempt",
                        "must be " + (before.proposal.attempt() + 1) + " or more: attempt "
                                + before.proposal.attempt() + " was ended by "
                                + before.round.end().by() + ", "
                                + before.round.end().reason());
    }

    private Stream<Live> open(double now) {
        return rounds.values().stream()
                .filter(live -> !live.ended() && !live.done() && !live.stale(now, settings.patience()));
    }

    /** Of those that go on, the one that wins everywhere. */
    Live inForce(double now) {
        return open(now).min(Comparator.comparing(live -> live.proposal)).orElse(null);
    }

    void contest(double now) {
        Live winner = inForce(now);
        for (Live live : open(now).toList()) {
            if (live != winner) {
                end(live, End.What.SUPERSEDED, winner.name() + " was begun first", now);
            }
        }
        for (Live live : new ArrayList<>(rounds.values())) {
            if (!live.ended() && live.stale(now, settings.patience()) && live.votes(self) && neverBegan(live, now)) {
                Member unread = live.unread(shared, roster);
                end(
                        live,
                        End.What.EXPIRED,
                        unread == null
                                ? "no majority voted to begin"
                                : unread.name() + " did not say that it can run it",
                        now);
            }
        }
    }

    /** As far as the majority has come, this router has heard; it votes no more, so nothing can begin any more. */
    private boolean neverBegan(Live live, double now) {
        long lives = live.terms.roster().stream()
                .filter(member -> member.equals(self) || roster.isLive(member))
                .count();
        return lives >= majority(live) && shared.completeUpTo(now) > live.seen + 2 * settings.patience();
    }

    /** How many of its frozen roster must say the same. */
    int majority(Live live) {
        return quorum.of(live.terms.voters());
    }
}
