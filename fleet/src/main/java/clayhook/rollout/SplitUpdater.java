package clayhook.rollout;

import clayhook.rollout.RolloutEvent.EventType;
import java.util.Map;

/**
 * Keeps the split of sessions between versions up to date with the active rollout and this router's lease. Any thread
 * may call {@link #split()}; all other methods are for the thread that owns the {@link RolloutController}.
 */
final class SplitUpdater {
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final RolloutArbiter arbiter;
    private final LeaseManager leases;
    private RuleSetVersion currentVersion;
    private volatile TrafficSplit split;

    /** Creates an updater whose split gives the current rules to all sessions. */
    SplitUpdater(RolloutRegistry registry, CurrentRules currentRules, RolloutArbiter arbiter, LeaseManager leases) {
        this.registry = registry;
        this.currentRules = currentRules;
        this.arbiter = arbiter;
        this.leases = leases;
        this.currentVersion = RuleSetVersion.outsideRollouts(currentRules.configuredHash());
        this.split = TrafficSplit.unsplit(currentVersion);
    }

    /** The current split of sessions between versions; one volatile read. */
    TrafficSplit split() {
        return split;
    }

    /**
     * Updates the split, and emits an event if this router starts or stops running a candidate.
     *
     * @param active the active rollout; null for none
     */
    void update(LocalRollout active, double now) {
        String currentHash = currentRules.hash();
        if (!currentVersion.rulesHash().equals(currentHash)) {
            currentVersion = RuleSetVersion.outsideRollouts(currentHash);
        }
        double leaseExpiresAt =
                active != null && arbiter.mayRunCandidate(active) ? leases.expiresAt(active) : Double.NEGATIVE_INFINITY;
        boolean leaseHeld = leaseExpiresAt > now;
        for (LocalRollout rollout : registry.all()) {
            setRunning(rollout, rollout == active && leaseHeld);
        }
        if (leaseHeld) {
            splitSessions(active, leaseExpiresAt);
        } else if (!split.matches(currentVersion, null, null, Double.NEGATIVE_INFINITY)) {
            split = TrafficSplit.unsplit(currentVersion);
        }
    }

    private void splitSessions(LocalRollout active, double leaseExpiresAt) {
        updateVersions(active);
        if (!split.matches(currentVersion, active.baseline, active.candidate, leaseExpiresAt)) {
            double share = active.currentStage().share();
            split = TrafficSplit.between(currentVersion, active.baseline, active.candidate, share, leaseExpiresAt);
        }
    }

    private void setRunning(LocalRollout rollout, boolean running) {
        if (rollout.running == running) {
            return;
        }
        rollout.running = running;
        if (running) {
            registry.emit(EventType.CANDIDATE_RUNNING, rollout, "stage " + rollout.stage());
        } else if (!rollout.isEnded() && !rollout.isCompleted()) {
            registry.emit(EventType.LEASE_EXPIRED, rollout, "no contact with a majority; back to the baseline");
        }
    }

    /**
     * Creates the version objects of the current stage, or replaces them if a slow threshold has changed. Otherwise
     * keeps them, because outcomes are counted by version object.
     */
    private void updateVersions(LocalRollout rollout) {
        Map<String, Double> thresholds = rollout.counters.slowThresholds(rollout.stage());
        if (rollout.baseline == null || !thresholds.equals(rollout.slowThresholds)) {
            String candidateHash = rollout.proposal.rulesHash();
            rollout.slowThresholds = thresholds;
            rollout.baseline =
                    new RuleSetVersion(currentVersion.rulesHash(), rollout.id, rollout.stage(), false, thresholds);
            rollout.candidate = new RuleSetVersion(candidateHash, rollout.id, rollout.stage(), true, thresholds);
        }
    }
}
