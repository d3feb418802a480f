package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A rollout as this router knows it. */
final class LocalRollout {
    final String id;
    final Proposal proposal;
    /** When it was first heard of here. */
    final double firstSeenAt;

    RolloutProgress progress;
    /** Null until its pieces are here. */
    RolloutTerms terms;

    RuleSet rules;
    /** Why this router cannot run the candidate; null while it can, or has not read it. */
    String problem;
    /** When the stage was first known here. */
    double stageStartedAt;

    Lease lease;
    LocalCounters counters;
    /** The versions of this stage here, null until the candidate runs. */
    RuleSetVersion baseline;

    RuleSetVersion candidate;
    Map<String, Double> slowThresholds;
    double nextLeaseRequestAt = Double.NEGATIVE_INFINITY;
    double nextEvaluationAt = Double.NEGATIVE_INFINITY;
    boolean running;
    boolean lacksCounters;
    /** Routers of the roster whose figures were fresh at the last look. */
    int freshMembers;

    int departedMembers;
    String holdReason = "";
    /** What operators were told already, so that each is told once. */
    final Set<String> announced = new HashSet<>();

    LocalRollout(String id, RolloutProgress round, double now) {
        this.id = id;
        this.proposal = round.proposal();
        this.progress = round;
        this.firstSeenAt = now;
        this.stageStartedAt = now;
    }

    boolean isEnded() {
        return progress.end() != null;
    }

    int stage() {
        return progress.stage();
    }

    /** All sessions have the candidate. */
    boolean isCompleted() {
        return !isEnded() && terms != null && stage() > terms.plan().stages().size();
    }

    /** Its time to begin is over; a proposal from a router that was away, or whose clock is behind, never begins. */
    boolean isPastStartDeadline(double now, double patience) {
        return stage() == 0 && now - Math.min(firstSeenAt, proposal.proposedAt()) > patience;
    }

    boolean isLoaded() {
        return terms != null && rules != null;
    }

    boolean votes(Member member) {
        return terms != null && terms.roster().contains(member);
    }

    /** Gathers what the proposal names from its pieces; true when the last of it came. */
    boolean loadChunks(ReplicatedStore shared) {
        if (isLoaded()) {
            return false;
        }
        if (terms == null) {
            byte[] bytes = TextChunk.assemble(shared, proposal.termsHash(), proposal.termsLength());
            terms = bytes == null ? null : RolloutTerms.decode(bytes);
        }
        if (rules == null) {
            byte[] bytes = TextChunk.assemble(shared, proposal.rulesHash(), proposal.rulesLength());
            rules = bytes == null ? null : RuleSet.of(new String(bytes, StandardCharsets.UTF_8));
        }
        return isLoaded();
    }

    /** Routers of the frozen roster that have voted for that stage. */
    int votes(ReplicatedStore shared, int stage) {
        int votes = 0;
        for (Member member : terms.roster()) {
            StageVote vote = shared.get(StageVote.TYPE, StageVote.key(id, member));
            votes += vote != null && vote.stage() >= stage ? 1 : 0;
        }
        return votes;
    }

    /** A member that lives and has not said that it can run the candidate; null for none. */
    Member firstUnreadyMember(ReplicatedStore shared, MembershipView roster) {
        for (Member member : terms.roster()) {
            if ((member.equals(roster.self().member()) || roster.isLive(member))
                    && shared.get(StageVote.TYPE, StageVote.key(id, member)) == null) {
                return member;
            }
        }
        return null;
    }

    /** For the log. */
    String displayName() {
        return proposal.rulesHash().substring(0, 8) + " of "
                + proposal.proposer().name();
    }
}
