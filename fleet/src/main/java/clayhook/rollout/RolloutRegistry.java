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
final class RolloutRegistry {
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final RuleSetValidator validator;
    private final RolloutListener listener;
    private final Quorum quorum;
    private final Supplier<Lease> leaseFactory;
    /** Called when a rollout has come to a stage or an end. */
    private final DoubleConsumer onChange;

    private final Member self;
    /** By id; as many as {@link RolloutProgress#TYPE} keeps, emptied as it is. */
    private final Map<String, LocalRollout> rollouts = new HashMap<>();
    /** Hash of the rules in this router's own file. */
    private String configuredRulesHash;

    RolloutRegistry(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            RuleSetValidator checker,
            RolloutListener listener,
            Quorum quorum,
            Supplier<Lease> leases,
            DoubleConsumer changed) {
        this.membership = roster;
        this.store = shared;
        this.settings = settings;
        this.validator = checker;
        this.listener = listener;
        this.quorum = quorum;
        this.leaseFactory = leases;
        this.onChange = changed;
        this.self = roster.self().member();
        this.configuredRulesHash = settings.configuredRulesHash();
        shared.addListener(RolloutProgress.TYPE, this::onProgress);
    }

    /** Null where it is not known. */
    LocalRollout get(String id) {
        return rollouts.get(id);
    }

    Collection<LocalRollout> all() {
        return rollouts.values();
    }

    String configuredRulesHash() {
        return configuredRulesHash;
    }

    void configuredRulesHash(String hash) {
        configuredRulesHash = hash;
    }

    /** A halt takes the candidate away at once. */
    private void onProgress(String id, RolloutProgress round, double now) {
        LocalRollout live = rollouts.get(id);
        if (live == null) {
            live = new LocalRollout(id, round, now);
            rollouts.put(id, live);
            if (live.isEnded()) {
                emitEnd(live);
            } else {
                emit(
                        RolloutEvent.EventType.PROPOSED,
                        live,
                        "attempt " + round.proposal().attempt());
            }
        } else if (!live.progress.equals(round)) {
            int stage = live.stage();
            boolean ended = live.isEnded();
            live.progress = RolloutProgress.TYPE.merge(live.progress, round);
            if (live.stage() > stage) {
                onStageReached(live, now);
            }
            if (!ended && live.isEnded()) {
                emitEnd(live);
            }
            onChange.accept(now);
        }
    }

    private void emitEnd(LocalRollout live) {
        RolloutEnd end = live.progress.end();
        emit(RolloutEvent.EventType.valueOf(end.cause().name()), live, "by " + end.endedBy() + ": " + end.reason());
    }

    private void onStageReached(LocalRollout live, double now) {
        live.stageStartedAt = now;
        live.baseline = null;
        if (live.isCompleted()) {
            emit(RolloutEvent.EventType.COMPLETED, live, "put it into the file of every router");
        } else {
            emit(RolloutEvent.EventType.ADVANCED, live, "stage " + live.stage());
        }
    }

    void emit(RolloutEvent.EventType what, LocalRollout live, String text) {
        listener.onEvent(new RolloutEvent(what, live.proposal.rulesHash(), live.displayName() + ": " + text));
    }

    /** Takes in what is known of rollouts, and forgets what is known nowhere any more. */
    void refresh(double now) {
        var heard = new HashMap<String, RolloutProgress>();
        store.forEach(RolloutProgress.TYPE, heard::put);
        heard.forEach((id, round) -> onProgress(id, round, now));
        rollouts.values().removeIf(live -> !heard.containsKey(live.id) && !live.isCompleted());
        for (LocalRollout live : new ArrayList<>(rollouts.values())) {
            if (!live.isEnded()) {
                renewRetention(live, now);
                load(live, now);
            }
        }
    }

    private void renewRetention(LocalRollout live, double now) {
        double young = RolloutProgress.renewedRetention(live.proposal.proposedAt(), now);
        if (young > live.progress.retainedFrom() && !live.isPastStartDeadline(now, settings.startTimeoutSeconds())) {
            publish(live, live.progress.at(young), now);
            if (live.isLoaded()) {
                TextChunk.publish(store, live.terms.encode(), young, now);
                TextChunk.publish(store, live.rules.text().getBytes(StandardCharsets.UTF_8), young, now);
            }
            StageVote vote = store.get(StageVote.TYPE, StageVote.key(live.id, self));
            if (vote != null) {
                store.merge(StageVote.TYPE, StageVote.key(live.id, self), new StageVote(vote.stage(), young), now);
            }
        }
    }

    void publish(LocalRollout live, RolloutProgress round, double now) {
        RolloutProgress joined = store.merge(RolloutProgress.TYPE, live.id, round, now);
        onProgress(live.id, joined == null ? round : joined, now);
    }

    /** A rollout of this router's own. */
    void start(RolloutProgress round, double now) {
        String id = round.proposal().id();
        RolloutProgress joined = store.merge(RolloutProgress.TYPE, id, round, now);
        onProgress(id, joined == null ? round : joined, now);
        load(rollouts.get(id), now);
    }

    /** Says that it is over, and why. */
    void end(LocalRollout live, RolloutEnd.EndCause what, String reason, double now) {
        if (!live.isEnded()) {
            publish(live, live.progress.withEnd(RolloutEnd.of(what, reason, self.name(), now)), now);
        }
    }

    private void load(LocalRollout live, double now) {
        boolean complete;
        try {
            complete = live.loadChunks(store);
        } catch (IllegalArgumentException e) {
            end(live, RolloutEnd.EndCause.VETOED, "its plan cannot be read: " + e.getMessage(), now);
            return;
        }
        if (complete) {
            live.problem = live.proposal.leaseSeconds() > settings.leaseSeconds()
                    ? "its lease is longer than the one set here"
                    : live.terms.fleetSize() != settings.fleetSize()
                            ? "it counts with " + live.terms.fleetSize() + " routers, here are " + settings.fleetSize()
                                    + " set"
                            : validator.validate(live.rules.hash(), live.rules.text());
            live.counters = new LocalCounters(live.id, self, live.terms.plan().requestClasses());
            live.lease = leaseFactory.get();
            if (live.isCompleted()) {
                emit(RolloutEvent.EventType.COMPLETED, live, "put it into the file of every router");
            }
            if (live.problem != null && !live.isCompleted()) {
                // Before it begins a veto, after that a halt: a session must not get another version here.
                end(
                        live,
                        live.stage() == 0 ? RolloutEnd.EndCause.VETOED : RolloutEnd.EndCause.HALTED,
                        live.problem,
                        now);
            }
        }
        if (live.isLoaded() && !live.isCompleted() && !isOnBaseRules(live)) {
            handleOtherBaseRules(live, now);
        }
    }

    /** This router stands on what the rollout began with. */
    boolean isOnBaseRules(LocalRollout live) {
        return currentRulesHash().equals(live.proposal.baseRulesHash());
    }

    /** A router that has not heard yet of the rollout before is given time. */
    private void handleOtherBaseRules(LocalRollout live, double now) {
        if (live.stage() == 0 && live.votes(self) && now - live.firstSeenAt > settings.startTimeoutSeconds() / 2) {
            end(live, RolloutEnd.EndCause.VETOED, self.name() + " stands on other rules", now);
        } else if (live.stage() > 0 && live.announced.add("sits out")) {
            emit(
                    RolloutEvent.EventType.NOT_PARTICIPATING,
                    live,
                    "this router stands on other rules than those that the rollout began with");
        }
    }

    /** The rules without any candidate: those of the file, or what was rolled out from there. */
    String currentRulesHash() {
        String hash = configuredRulesHash;
        for (int i = 0; i < rollouts.size(); i++) {
            String from = hash;
            hash = rollouts.values().stream()
                    .filter(live -> live.isCompleted()
                            && live.isLoaded()
                            && live.problem == null
                            && live.proposal.baseRulesHash().equals(from))
                    .min(Comparator.comparing(live -> live.proposal))
                    .map(live -> live.proposal.rulesHash())
                    .orElse(from);
            if (hash.equals(from)) {
                break;
            }
        }
        return hash;
    }

    /** Whether that very rollout goes on, or is done. */
    boolean isUnderway(RuleSet set, RolloutPlan plan, double now) {
        return rollouts.values().stream()
                .anyMatch(live -> !live.isEnded()
                        && !live.isPastStartDeadline(now, settings.startTimeoutSeconds())
                        && live.proposal.rulesHash().equals(set.hash())
                        && (live.terms == null || live.terms.plan().equals(plan)));
    }

    /** Why that set cannot be begun now, or null. */
    RolloutProblem startProblem(RuleSet set, RolloutPlan plan, double now) {
        if (set.hash().equals(currentRulesHash())) {
            return new RolloutProblem("rules", "the fleet stands on them already");
        }
        LocalRollout other = activeRollout(now);
        if (other != null) {
            return new RolloutProblem("", "another rollout is in force: " + other.displayName());
        }
        LocalRollout before = rollouts.values().stream()
                .filter(live -> live.isEnded() && live.proposal.rulesHash().equals(set.hash()))
                .max(Comparator.comparingInt(live -> live.proposal.attempt()))
                .orElse(null);
        return before == null || before.proposal.attempt() < plan.attempt()
                ? null
                : new RolloutProblem(
                        "attempt",
                        "must be " + (before.proposal.attempt() + 1) + " or more: attempt "
                                + before.proposal.attempt() + " was ended by "
                                + before.progress.end().endedBy() + ", "
                                + before.progress.end().reason());
    }

    private Stream<LocalRollout> openRollouts(double now) {
        return rollouts.values().stream()
                .filter(live -> !live.isEnded()
                        && !live.isCompleted()
                        && !live.isPastStartDeadline(now, settings.startTimeoutSeconds()));
    }

    /** Of those that go on, the one that wins everywhere. */
    LocalRollout activeRollout(double now) {
        return openRollouts(now)
                .min(Comparator.comparing(live -> live.proposal))
                .orElse(null);
    }

    void resolveConflicts(double now) {
        LocalRollout winner = activeRollout(now);
        for (LocalRollout live : openRollouts(now).toList()) {
            if (live != winner) {
                end(live, RolloutEnd.EndCause.SUPERSEDED, winner.displayName() + " was begun first", now);
            }
        }
        for (LocalRollout live : new ArrayList<>(rollouts.values())) {
            if (!live.isEnded()
                    && live.isPastStartDeadline(now, settings.startTimeoutSeconds())
                    && live.votes(self)
                    && canNeverStart(live, now)) {
                Member unread = live.firstUnreadyMember(store, membership);
                end(
                        live,
                        RolloutEnd.EndCause.EXPIRED,
                        unread == null
                                ? "no majority voted to begin"
                                : unread.name() + " did not say that it can run it",
                        now);
            }
        }
    }

    /** As far as the majority has come, this router has heard; it votes no more, so nothing can begin any more. */
    private boolean canNeverStart(LocalRollout live, double now) {
        long lives = live.terms.roster().stream()
                .filter(member -> member.equals(self) || membership.isLive(member))
                .count();
        return lives >= majoritySize(live)
                && store.completeUpTo(now) > live.firstSeenAt + 2 * settings.startTimeoutSeconds();
    }

    /** How many of its frozen roster must say the same. */
    int majoritySize(LocalRollout live) {
        return quorum.majorityOf(live.terms.voterCount());
    }
}
