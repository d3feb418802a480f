package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import clayhook.rollout.RolloutEvent.EventType;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

/**
 * Keeps the rollout that this router's operator has requested until it may be proposed, then proposes it to the fleet.
 * Not thread-safe.
 */
final class RolloutStarter {
    /** A rollout that the operator has requested and that is not proposed yet. */
    private static final class PendingRollout {
        final RolloutPlan plan;
        final RuleSet rules;
        /** The reason for waiting that was last emitted; empty if there was none. */
        String emittedReason = "";

        PendingRollout(RolloutPlan plan, RuleSet rules) {
            this.plan = plan;
            this.rules = rules;
        }
    }

    private final RolloutRegistry registry;
    private final RolloutLoader loader;
    private final RolloutArbiter arbiter;
    private final CurrentRules currentRules;
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final RolloutListener listener;
    private final Quorum quorum;
    private final double startedAt;
    private PendingRollout pending;

    /**
     * Creates a starter that adds its rollouts to a registry.
     *
     * @param startedAt time at which this router started, in seconds since 1970
     */
    RolloutStarter(
            RolloutRegistry registry,
            RolloutLoader loader,
            RolloutArbiter arbiter,
            CurrentRules currentRules,
            MembershipView membership,
            ReplicatedStore store,
            RolloutSettings settings,
            RolloutListener listener,
            Quorum quorum,
            double startedAt) {
        this.registry = registry;
        this.loader = loader;
        this.arbiter = arbiter;
        this.currentRules = currentRules;
        this.membership = membership;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.quorum = quorum;
        this.startedAt = startedAt;
    }

    /** Whether a requested rollout waits to be proposed. */
    boolean hasPending() {
        return pending != null;
    }

    /** Whether the given rollout waits to be proposed. */
    boolean isPending(RuleSet rules, RolloutPlan plan) {
        return pending != null && pending.rules.equals(rules) && pending.plan.equals(plan);
    }

    /** Requests a rollout, replacing one that is waiting. */
    void request(RolloutPlan plan, RuleSet rules) {
        pending = new PendingRollout(plan, rules);
    }

    /** Cancels the waiting rollout; returns whether there was one. */
    boolean cancel() {
        boolean canceled = pending != null;
        pending = null;
        return canceled;
    }

    /** Proposes the waiting rollout if that is possible now; otherwise emits the reason for waiting when it changes. */
    void tick(double now) {
        if (pending == null) {
            return;
        }
        String holdReason = holdReason(now);
        if (holdReason == null) {
            PendingRollout requested = pending;
            pending = null;
            start(requested, now);
        } else if (!holdReason.equals(pending.emittedReason)) {
            pending.emittedReason = holdReason;
            listener.onEvent(new RolloutEvent(EventType.WAITING, pending.rules.hash(), holdReason));
        }
    }

    /** The reason why no rollout may be proposed now, or null. */
    private String holdReason(double now) {
        int members = membership.livePeers().size() + 1;
        if (now < startedAt + settings.settleSeconds()) {
            return "this router has just started";
        }
        if (store.completeUpTo(now) == Double.NEGATIVE_INFINITY) {
            return "this router has not yet received the replicated state";
        }
        if (membership.recentlyStalled(now)) {
            return "this router stalled";
        }
        if (members < quorum.majorityOf(settings.fleetSize())) {
            return members + " routers are visible, of " + settings.fleetSize();
        }
        return null;
    }

    private void start(PendingRollout requested, double now) {
        if (arbiter.isUnderway(requested.rules, requested.plan, now)) {
            return;
        }
        RolloutProblem problem = arbiter.startProblem(requested.rules, requested.plan, now);
        if (problem != null) {
            listener.onEvent(new RolloutEvent(EventType.REJECTED, requested.rules.hash(), problem.toString()));
        } else {
            propose(requested, now);
        }
    }

    private void propose(PendingRollout requested, double now) {
        Member self = membership.self().member();
        List<Member> roster = Stream.concat(
                        Stream.of(self), membership.livePeers().stream().map(Peer::member))
                .sorted()
                .toList();
        byte[] terms = new RolloutTerms(requested.plan, settings.fleetSize(), roster).encode();
        byte[] rules = requested.rules.text().getBytes(StandardCharsets.UTF_8);
        var proposal = new Proposal(
                self,
                now,
                currentRules.hash(),
                requested.rules.hash(),
                rules.length,
                TextChunk.contentHash(terms),
                terms.length,
                settings.leaseSeconds(),
                requested.plan.attempt());
        TextChunk.publish(store, terms, now, now);
        TextChunk.publish(store, rules, now, now);
        LocalRollout rollout = registry.start(new RolloutProgress(proposal, 0, null, now), now);
        loader.load(rollout, now);
    }
}
