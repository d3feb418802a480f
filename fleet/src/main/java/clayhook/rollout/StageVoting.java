package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;

/**
 * Casts this router's votes, and advances a rollout to the next stage when a majority has voted for it. Not
 * thread-safe.
 */
final class StageVoting {
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final Quorum quorum;
    private final Member self;

    /** Creates the voting on a registry's rollouts. */
    StageVoting(
            RolloutRegistry registry,
            CurrentRules currentRules,
            MembershipView membership,
            ReplicatedStore store,
            RolloutSettings settings,
            Quorum quorum) {
        this.registry = registry;
        this.currentRules = currentRules;
        this.membership = membership;
        this.store = store;
        this.settings = settings;
        this.quorum = quorum;
        this.self = membership.self().member();
    }

    /** Votes for a stage, unless this router has already voted for it or for a later one. */
    void vote(LocalRollout rollout, int stage, double now) {
        String key = StageVote.key(rollout.id, self);
        StageVote previous = store.get(StageVote.TYPE, key);
        if (previous == null || previous.stage() < stage) {
            store.merge(StageVote.TYPE, key, new StageVote(stage, rollout.progress.retainedFrom()), now);
        }
    }

    /**
     * Confirms that this router can run the candidate. Votes to start the rollout after the settling time, once all
     * live voters have confirmed the same and if this router has not stalled recently.
     */
    void voteToStart(LocalRollout rollout, double now) {
        if (rollout.problem != null || !currentRules.areBaseOf(rollout)) {
            return;
        }
        vote(rollout, 0, now);
        if (now - rollout.firstReceivedAt >= settings.settleSeconds()
                && !membership.recentlyStalled(now)
                && rollout.firstUnreadyMember(store, membership) == null) {
            vote(rollout, 1, now);
        }
    }

    /** Advances the rollout to the next stage, or to completion, if a majority has voted for it. */
    void advanceOnMajority(LocalRollout rollout, double now) {
        int next = rollout.stage() + 1;
        int completed = rollout.terms.plan().stages().size() + 1;
        if (next <= completed && rollout.countVotes(store, next) >= rollout.majoritySize(quorum)) {
            registry.publish(rollout, rollout.progress.withStage(next), now);
        }
    }
}
