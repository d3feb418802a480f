package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.rollout.RolloutEnd.EndCause;
import clayhook.rollout.RolloutEvent.EventType;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/**
 * Updates the known rollouts from the replicated store: merges their progress, loads the terms and rules of each,
 * checks whether this router can run the candidate, and renews the retention of the replicated values. Not thread-safe.
 */
final class RolloutLoader {
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final RuleSetValidator validator;
    private final Supplier<Lease> leaseFactory;
    private final Member self;

    /** Creates the loader of a registry's rollouts. */
    RolloutLoader(
            RolloutRegistry registry,
            CurrentRules currentRules,
            ReplicatedStore store,
            RolloutSettings settings,
            RuleSetValidator validator,
            Supplier<Lease> leaseFactory,
            Member self) {
        this.registry = registry;
        this.currentRules = currentRules;
        this.store = store;
        this.settings = settings;
        this.validator = validator;
        this.leaseFactory = leaseFactory;
        this.self = self;
    }

    /** Updates the registry and all of its rollouts that have not ended. */
    void refresh(double now) {
        registry.refresh(now);
        for (LocalRollout rollout : registry.copyOfAll()) {
            if (!rollout.isEnded()) {
                renewRetention(rollout, now);
                load(rollout, now);
            }
        }
    }

    /**
     * Replicates the progress, chunks and own vote of a rollout with a new retention start after half of the retention
     * time.
     */
    private void renewRetention(LocalRollout rollout, double now) {
        double retainedFrom = RolloutProgress.renewedRetention(rollout.proposal.proposedAt(), now);
        boolean due = retainedFrom > rollout.progress.retainedFrom();
        if (!due || rollout.isPastStartDeadline(now, settings.startTimeoutSeconds())) {
            return;
        }
        registry.publish(rollout, rollout.progress.withRetainedFrom(retainedFrom), now);
        if (rollout.isLoaded()) {
            byte[] rules = rollout.rules.text().getBytes(StandardCharsets.UTF_8);
            TextChunk.publish(store, rollout.terms.encode(), retainedFrom, now);
            TextChunk.publish(store, rules, retainedFrom, now);
        }
        String voteKey = StageVote.key(rollout.id, self);
        StageVote vote = store.get(StageVote.TYPE, voteKey);
        if (vote != null) {
            store.merge(StageVote.TYPE, voteKey, new StageVote(vote.stage(), retainedFrom), now);
        }
    }

    /** Loads the missing terms or rules of a rollout, and ends the rollout if this router cannot run it. */
    void load(LocalRollout rollout, double now) {
        boolean justLoaded;
        try {
            justLoaded = rollout.loadChunks(store);
        } catch (IllegalArgumentException e) {
            registry.end(rollout, EndCause.VETOED, "its plan cannot be read: " + e.getMessage(), now);
            return;
        }
        if (justLoaded) {
            onLoaded(rollout, now);
        }
        if (rollout.isLoaded() && !rollout.isCompleted() && !currentRules.areBaseOf(rollout)) {
            onBaseRulesMismatch(rollout, now);
        }
    }

    private void onLoaded(LocalRollout rollout, double now) {
        rollout.problem = findProblem(rollout);
        rollout.counters =
                new LocalCounters(rollout.id, self, rollout.terms.plan().requestClasses());
        rollout.lease = leaseFactory.get();
        if (rollout.isCompleted()) {
            registry.emitCompleted(rollout);
        }
        if (rollout.problem != null && !rollout.isCompleted()) {
            // A halt after the start, because a session must get the same version at every router.
            EndCause cause = rollout.stage() == 0 ? EndCause.VETOED : EndCause.HALTED;
            registry.end(rollout, cause, rollout.problem, now);
        }
    }

    /** The reason why this router cannot run the candidate, or null. The text is replicated to other routers. */
    private String findProblem(LocalRollout rollout) {
        if (rollout.proposal.leaseSeconds() > settings.leaseSeconds()) {
            return "its lease is longer than the one set here";
        }
        int fleetSize = rollout.terms.fleetSize();
        if (fleetSize != settings.fleetSize()) {
            return "it counts with " + fleetSize + " routers, here are " + settings.fleetSize() + " set";
        }
        return validator.validate(rollout.rules.hash(), rollout.rules.text());
    }

    /**
     * Vetoes a rollout that has not started if this router's current rules are still not its base rules after half of
     * the start timeout. The delay gives a router time to receive the preceding rollout. After the start this router
     * does not participate.
     */
    private void onBaseRulesMismatch(LocalRollout rollout, double now) {
        boolean started = rollout.stage() > 0;
        if (!started && rollout.isVoter(self) && now - rollout.firstReceivedAt > settings.startTimeoutSeconds() / 2) {
            registry.end(rollout, EndCause.VETOED, self.name() + " stands on other rules", now);
        } else if (started && rollout.emittedEvents.add("not participating")) {
            registry.emit(
                    EventType.NOT_PARTICIPATING,
                    rollout,
                    "the current rules of this router are not the rollout's base rules");
        }
    }
}
