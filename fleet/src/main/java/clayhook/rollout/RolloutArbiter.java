package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.rollout.RolloutEnd.EndCause;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Decides which of several rollouts is active, and ends those that are superseded or can no longer start. Not
 * thread-safe.
 */
final class RolloutArbiter {
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final Quorum quorum;
    private final Member self;

    /** Creates the arbiter of a registry's rollouts. */
    RolloutArbiter(
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

    private boolean isPastStartDeadline(LocalRollout rollout, double now) {
        return rollout.isPastStartDeadline(now, settings.startTimeoutSeconds());
    }

    /** The open rollouts: those that are neither ended nor completed and have not missed the time to start. */
    private Stream<LocalRollout> openRollouts(double now) {
        return registry.all().stream()
                .filter(rollout -> !rollout.isEnded() && !rollout.isCompleted() && !isPastStartDeadline(rollout, now));
    }

    /**
     * The active rollout: the open one with the smallest proposal, which is the same at all routers that have received
     * the same proposals. Null if no rollout is open.
     */
    LocalRollout active(double now) {
        return openRollouts(now)
                .min(Comparator.comparing(rollout -> rollout.proposal))
                .orElse(null);
    }

    /** Whether this router may run the rollout's candidate while it has a lease. */
    boolean mayRunCandidate(LocalRollout rollout) {
        return rollout.isLoaded()
                && rollout.problem == null
                && rollout.stage() >= 1
                && !rollout.isEnded()
                && !rollout.isCompleted()
                && currentRules.areBaseOf(rollout);
    }

    /**
     * Whether a rollout of the given rule set with the given plan is open or completed. A rollout whose terms are not
     * loaded matches any plan.
     */
    boolean isUnderway(RuleSet rules, RolloutPlan plan, double now) {
        return registry.all().stream()
                .filter(rollout -> !rollout.isEnded() && !isPastStartDeadline(rollout, now))
                .filter(rollout -> rollout.proposal.rulesHash().equals(rules.hash()))
                .anyMatch(
                        rollout -> rollout.terms == null || rollout.terms.plan().equals(plan));
    }

    /** The reason why a rollout of the given rule set cannot start now, or null. */
    RolloutProblem startProblem(RuleSet rules, RolloutPlan plan, double now) {
        if (rules.hash().equals(currentRules.hash())) {
            return new RolloutProblem("rules", "the fleet already uses these rules");
        }
        LocalRollout active = active(now);
        if (active != null) {
            return new RolloutProblem("", "another rollout is active: " + active.displayName());
        }
        LocalRollout last = registry.all().stream()
                .filter(rollout ->
                        rollout.isEnded() && rollout.proposal.rulesHash().equals(rules.hash()))
                .max(Comparator.comparingInt(rollout -> rollout.proposal.attempt()))
                .orElse(null);
        if (last == null || last.proposal.attempt() < plan.attempt()) {
            return null;
        }
        RolloutEnd end = last.progress.end();
        int lastAttempt = last.proposal.attempt();
        return new RolloutProblem(
                "attempt",
                "must be " + (lastAttempt + 1) + " or more: attempt " + lastAttempt + " was ended by " + end.endedBy()
                        + ", " + end.reason());
    }

    /**
     * Ends the open rollouts that the active one supersedes, and those that did not start in time and can never start.
     */
    void resolveConflicts(double now) {
        LocalRollout winner = active(now);
        for (LocalRollout rollout : openRollouts(now).toList()) {
            if (rollout != winner) {
                String reason = winner.displayName() + " was begun first";
                registry.end(rollout, EndCause.SUPERSEDED, reason, now);
            }
        }
        for (LocalRollout rollout : registry.copyOfAll()) {
            if (!rollout.isEnded()
                    && isPastStartDeadline(rollout, now)
                    && rollout.isVoter(self)
                    && canNeverStart(rollout, now)) {
                expire(rollout, now);
            }
        }
    }

    private void expire(LocalRollout rollout, double now) {
        Member unready = rollout.firstUnreadyMember(store, membership);
        String reason =
                unready == null ? "no majority voted to begin" : unready.name() + " did not say that it can run it";
        registry.end(rollout, EndCause.EXPIRED, reason, now);
    }

    /**
     * Whether a majority of the voters is live and this router has received all of its votes up to twice the start
     * timeout. No router votes to start a rollout after its start timeout, so no later vote can start it.
     */
    private boolean canNeverStart(LocalRollout rollout, double now) {
        long liveVoters = rollout.terms.roster().stream()
                .filter(member -> member.equals(self) || membership.isLive(member))
                .count();
        double votesEndAt = rollout.firstReceivedAt + 2 * settings.startTimeoutSeconds();
        return liveVoters >= rollout.majoritySize(quorum) && store.completeUpTo(now) > votesEndAt;
    }
}
