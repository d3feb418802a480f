package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The state of one rollout at this router: the replicated progress, the loaded terms and rules, and this router's own
 * participation. Not thread-safe. Each mutable field is owned by the class that its comment names; nothing outside of
 * this package uses them.
 */
final class LocalRollout {
    private static final int DISPLAYED_HASH_DIGITS = 8;

    final String id;
    final Proposal proposal;
    /** Time at which this router first received the rollout, in seconds since 1970. */
    final double firstReceivedAt;

    /** The merged progress. Set by {@link RolloutRegistry}. */
    RolloutProgress progress;
    /** Time at which this router first received the current stage, in seconds since 1970. */
    double stageStartedAt;
    /** The terms; null until all of their chunks have been received. */
    RolloutTerms terms;
    /** The candidate; null until all of its chunks have been received. */
    RuleSet rules;
    /**
     * The reason why this router cannot run the candidate; null if it can or if the candidate is not loaded yet. Set by
     * {@link RolloutLoader}.
     */
    String problem;
    /** Keys of the events that have been emitted and must not be emitted again. */
    final Set<String> emittedEvents = new HashSet<>();

    /** This router's lease; null until terms and rules are loaded. Used by {@link LeaseManager}. */
    Lease lease;

    /** Time of the next lease request, in seconds since 1970. */
    double nextLeaseRequestAt = Double.NEGATIVE_INFINITY;

    /** This router's counters; null until terms and rules are loaded. Used by {@link StageEvaluation}. */
    LocalCounters counters;

    /** Time of the next evaluation, in seconds since 1970. */
    double nextEvaluationAt = Double.NEGATIVE_INFINITY;
    /** Whether fewer than a majority of the voters had fresh counters at the last evaluation. */
    boolean lacksCounters;
    /** Number of voters with fresh counters at the last evaluation. */
    int freshMembers;
    /** Number of routers with counters that had departed by the last evaluation. */
    int departedMembers;
    /** The reason why this router holds the stage; empty if it votes for the next one. */
    String holdReason = "";

    /** Whether this router runs the candidate. Set by {@link SplitUpdater}, as are the fields below. */
    boolean running;
    /** The versions of the current stage; null until the candidate runs at this router. */
    RuleSetVersion baseline;

    RuleSetVersion candidate;
    /** Slow thresholds of both versions by request class, see {@link RuleSetVersion}. */
    Map<String, Double> slowThresholds;

    /** Creates the state of a rollout that this router has just received. */
    LocalRollout(String id, RolloutProgress progress, double now) {
        this.id = id;
        this.proposal = progress.proposal();
        this.progress = progress;
        this.firstReceivedAt = now;
        this.stageStartedAt = now;
    }

    /**
     * Whether the rollout has an end, for example by a halt. A completed rollout has none unless it is withdrawn later.
     */
    boolean isEnded() {
        return progress.end() != null;
    }

    /** Number of the current stage, from 1: 0 before the start, one more than the number of stages after completion. */
    int stage() {
        return progress.stage();
    }

    /** The current stage of the plan. The terms must be loaded and the rollout started but not completed. */
    RolloutStage currentStage() {
        return terms.plan().stages().get(stage() - 1);
    }

    /** Whether the rollout is completed: all sessions get the candidate. False until the terms are loaded. */
    boolean isCompleted() {
        return !isEnded() && terms != null && stage() > terms.plan().stages().size();
    }

    /**
     * Whether the rollout has not started in time. The time counts from the proposal or its first receipt, whichever is
     * earlier, so a proposal from a router that was disconnected or whose clock is behind never starts.
     *
     * @param startTimeoutSeconds see {@link RolloutSettings#startTimeoutSeconds()}
     */
    boolean isPastStartDeadline(double now, double startTimeoutSeconds) {
        return stage() == 0 && now - Math.min(firstReceivedAt, proposal.proposedAt()) > startTimeoutSeconds;
    }

    /** Whether both the terms and the rules that the proposal identifies are loaded. */
    boolean isLoaded() {
        return terms != null && rules != null;
    }

    /** Whether a member belongs to the roster; false until the terms are loaded. */
    boolean isVoter(Member member) {
        return terms != null && terms.roster().contains(member);
    }

    /** The number of voters that form a majority. */
    int majoritySize(Quorum quorum) {
        return quorum.majorityOf(terms.voterCount());
    }

    /**
     * Loads the terms and the rules that the proposal identifies from their chunks, as far as these have been received.
     * Throws IllegalArgumentException for malformed terms.
     *
     * @return whether this call has completed the loading
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

    /** The number of voters that have voted for the given stage or a later one. */
    int countVotes(ReplicatedStore store, int stage) {
        int votes = 0;
        for (Member member : terms.roster()) {
            StageVote vote = store.get(StageVote.TYPE, StageVote.key(id, member));
            votes += vote != null && vote.stage() >= stage ? 1 : 0;
        }
        return votes;
    }

    /** The first live voter that has not yet confirmed that it can run the candidate; null if there is none. */
    Member firstUnreadyMember(ReplicatedStore store, MembershipView membership) {
        for (Member member : terms.roster()) {
            boolean live = member.equals(membership.self().member()) || membership.isLive(member);
            if (live && store.get(StageVote.TYPE, StageVote.key(id, member)) == null) {
                return member;
            }
        }
        return null;
    }

    /** A short name of the rollout for logs and messages: the start of the candidate's hash and the proposer. */
    String displayName() {
        return proposal.rulesHash().substring(0, DISPLAYED_HASH_DIGITS) + " of "
                + proposal.proposer().name();
    }
}
