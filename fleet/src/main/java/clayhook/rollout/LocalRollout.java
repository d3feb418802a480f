package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A rollout as this router knows it: the replicated progress, what was loaded of its texts, and this router's own part
 * in it. Not thread-safe. The fields are plain state of the classes named with them; they are not used outside of the
 * package.
 */
final class LocalRollout {
    private static final int DISPLAYED_HASH_DIGITS = 8;

    final String id;
    final Proposal proposal;
    /** When this router first received it, in seconds since 1970. */
    final double firstSeenAt;

    /** Merged progress; changed by {@link RolloutRegistry}. */
    RolloutProgress progress;
    /** When the stage was first known here, in seconds since 1970. */
    double stageStartedAt;
    /** Null until its chunks have arrived. */
    RolloutTerms terms;
    /** The candidate; null until its chunks have arrived. */
    RuleSet rules;
    /**
     * Why this router cannot run the candidate; null while it can, or has not loaded it. Set by {@link RolloutLoader}.
     */
    String problem;
    /** Events of which each is emitted once. */
    final Set<String> announced = new HashSet<>();

    /** Null until loaded; used by {@link LeaseManager}. */
    Lease lease;

    double nextLeaseRequestAt = Double.NEGATIVE_INFINITY;

    /** Null until loaded; used by {@link StageEvaluation}. */
    LocalCounters counters;

    double nextEvaluationAt = Double.NEGATIVE_INFINITY;
    /** Whether fewer than a majority had fresh counters at the last evaluation. */
    boolean lacksCounters;
    /** Voters with fresh counters at the last evaluation. */
    int freshMembers;
    /** Routers that have counters and have departed, at the last evaluation. */
    int departedMembers;
    /** Why the stage goes on; empty when this router votes for the next one. */
    String holdReason = "";

    /** Whether the candidate runs here; used by {@link SplitUpdater}, as are the fields below. */
    boolean running;
    /** The versions of this stage, null until the candidate runs. */
    RuleSetVersion baseline;

    RuleSetVersion candidate;
    Map<String, Double> slowThresholds;

    /** A rollout that was received now. */
    LocalRollout(String id, RolloutProgress progress, double now) {
        this.id = id;
        this.proposal = progress.proposal();
        this.progress = progress;
        this.firstSeenAt = now;
        this.stageStartedAt = now;
    }

    /** Whether the rollout is over without being completed. */
    boolean isEnded() {
        return progress.end() != null;
    }

    /** The current stage: 0 before the start, one past the last when completed. */
    int stage() {
        return progress.stage();
    }

    /** The plan of the current stage, which must be one of the plan's stages. */
    RolloutStage currentStage() {
        return terms.plan().stages().get(stage() - 1);
    }

    /** Whether all sessions have the candidate. */
    boolean isCompleted() {
        return !isEnded() && terms != null && stage() > terms.plan().stages().size();
    }

    /**
     * Whether the time to start is over. A proposal of a router that was away, or whose clock is behind, never starts.
     *
     * @param startTimeoutSeconds see {@link RolloutSettings}
     */
    boolean isPastStartDeadline(double now, double startTimeoutSeconds) {
        return stage() == 0 && now - Math.min(firstSeenAt, proposal.proposedAt()) > startTimeoutSeconds;
    }

    /** Whether both texts that the proposal names are here. */
    boolean isLoaded() {
        return terms != null && rules != null;
    }

    /** Whether that member belongs to the frozen roster; false until the terms are here. */
    boolean isVoter(Member member) {
        return terms != null && terms.roster().contains(member);
    }

    /** How many voters must agree. */
    int majoritySize(Quorum quorum) {
        return quorum.majorityOf(terms.voterCount());
    }

    /**
     * Loads the texts that the proposal names from their chunks. Throws IllegalArgumentException for malformed terms.
     *
     * @return whether the last missing text was loaded by this call
     */
    boolean loadChunks(ReplicatedStore store) {
        if (isLoaded()) {
            return false;
        }
        if (terms == null) {
            byte[] bytes = TextChunk.assemble(store, proposal.termsHash(), proposal.termsLength());
            terms = bytes == null ? null : RolloutTerms.decode(bytes);
        }
        if (rules == null) {
            byte[] bytes = TextChunk.assemble(store, proposal.rulesHash(), proposal.rulesLength());
            rules = bytes == null ? null : RuleSet.of(new String(bytes, StandardCharsets.UTF_8));
        }
        return isLoaded();
    }

    /** How many voters have voted for that stage or a later one. */
    int countVotes(ReplicatedStore store, int stage) {
        int votes = 0;
        for (Member member : terms.roster()) {
            StageVote vote = store.get(StageVote.TYPE, StageVote.key(id, member));
            votes += vote != null && vote.stage() >= stage ? 1 : 0;
        }
        return votes;
    }

    /** The first live voter that has not yet confirmed that it can run the candidate; null for none. */
    Member firstUnreadyMember(ReplicatedStore store, MembershipView membership) {
        for (Member member : terms.roster()) {
            boolean live = member.equals(membership.self().member()) || membership.isLive(member);
            if (live && store.get(StageVote.TYPE, StageVote.key(id, member)) == null) {
                return member;
            }
        }
        return null;
    }

    /** For logs. */
    String displayName() {
        return proposal.rulesHash().substring(0, DISPLAYED_HASH_DIGITS) + " of "
                + proposal.proposer().name();
    }
}
