package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;

/** Casts this router's votes, and advances a rollout to the stage that a majority has voted for. Not thread-safe. */
final class StageVoting {
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final Quorum quorum;
    private final Member self;

    /** Votes on the rollouts of a registry. */
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

    /** Votes for a stage, unless this router has voted for it already. */
    void vote(LocalRollout rollout, int stage, double now) {
        String key = StageVote.key(rollout.id, self);
        StageVote previous = store.get(StageVote.TYPE, key);
        if (previous == null || previous.stage() < stage) {
            store.merge(StageVote.TYPE, key, new StageVote(stage, rollout.progress.retainedFrom()), now);
        }
    }

    /** Confirms that this router can run the candidate; votes to start once all live voters have confirmed it. */
    void voteToStart(LocalRollout rollout, double now) {
        if (rollout.problem != null || !currentRules.areBaseOf(rollout)) {
            return;
        }
        vote(rollout, 0, now);
        if (now - rollout.firstSeenAt >= settings.settleSeconds()
                && !membership.recentlyStalled(now)
                && rollout.firstUnreadyMember(store, membership) == null) {
            vote(rollout, 1, now);
        }
    }

    /** Replicates the next stage once a majority has voted for it. */
    void advanceOnMajority(LocalRollout rollout, double now) {
        int next = rollout.stage() + 1;
        int completed = rollout.terms.plan().stages().size() + 1;
        if (next <= completed && rollout.countVotes(store, next) >= rollout.majoritySize(quorum)) {
            registry.publish(rollout, rollout.progress.withStage(next), now);
        }
    }
}
