package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.rollout.RolloutEnd.EndCause;
import clayhook.rollout.RolloutEvent.EventType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleConsumer;

/**
 * The rollouts whose progress this router has received. Merges the replicated progress of each, emits events when a
 * stage or an end is reached, and replicates this router's own changes. Not thread-safe.
 */
final class RolloutRegistry {
    private final ReplicatedStore store;
    private final Member self;
    private final RolloutListener listener;
    private final DoubleConsumer onChange;
    /**
     * Rollouts by id. Entries are removed with the replicated ones, whose number is bounded; only completed rollouts
     * are kept.
     */
    private final Map<String, LocalRollout> rollouts = new HashMap<>();

    /**
     * Creates a registry that listens to changes of rollout progress in the store.
     *
     * @param onChange called with the current time when the progress of a known rollout has changed
     */
    RolloutRegistry(ReplicatedStore store, Member self, RolloutListener listener, DoubleConsumer onChange) {
        this.store = store;
        this.self = self;
        this.listener = listener;
        this.onChange = onChange;
        store.addListener(RolloutProgress.TYPE, this::onProgress);
    }

    /** The rollout with the given id; null if this router does not know it. */
    LocalRollout get(String id) {
        return rollouts.get(id);
    }

    /** A view of all known rollouts. */
    Collection<LocalRollout> all() {
        return Collections.unmodifiableCollection(rollouts.values());
    }

    /** A copy of the list of all known rollouts, for loops that may add or remove rollouts. */
    List<LocalRollout> copyOfAll() {
        return new ArrayList<>(rollouts.values());
    }

    /**
     * Merges the progress of all rollouts in the store, and removes rollouts that are no longer in the store, except
     * for completed ones.
     */
    void refresh(double now) {
        var replicated = new HashMap<String, RolloutProgress>();
        store.forEach(RolloutProgress.TYPE, replicated::put);
        replicated.forEach((id, progress) -> onProgress(id, progress, now));
        rollouts.values().removeIf(rollout -> !replicated.containsKey(rollout.id) && !rollout.isCompleted());
    }

    /** Adds or updates a rollout. A halt stops the candidate at once, through {@code onChange}. */
    private void onProgress(String id, RolloutProgress progress, double now) {
        LocalRollout rollout = rollouts.get(id);
        if (rollout == null) {
            addRollout(id, progress, now);
        } else if (!rollout.progress.equals(progress)) {
            mergeProgress(rollout, progress, now);
        }
    }

    private void addRollout(String id, RolloutProgress progress, double now) {
        var rollout = new LocalRollout(id, progress, now);
        rollouts.put(id, rollout);
        if (rollout.isEnded()) {
            emitEnd(rollout);
        } else {
            emit(EventType.PROPOSED, rollout, "attempt " + progress.proposal().attempt());
        }
    }

    private void mergeProgress(LocalRollout rollout, RolloutProgress progress, double now) {
        int stageBefore = rollout.stage();
        boolean endedBefore = rollout.isEnded();
        rollout.progress = RolloutProgress.TYPE.merge(rollout.progress, progress);
        if (rollout.stage() > stageBefore) {
            onStageReached(rollout, now);
        }
        if (!endedBefore && rollout.isEnded()) {
            emitEnd(rollout);
        }
        onChange.accept(now);
    }

    private void onStageReached(LocalRollout rollout, double now) {
        rollout.stageStartedAt = now;
        // The versions contain the number of the stage, so they are created anew.
        rollout.baseline = null;
        if (rollout.isCompleted()) {
            emitCompleted(rollout);
        } else {
            emit(EventType.ADVANCED, rollout, "stage " + rollout.stage());
        }
    }

    /** Replicates a change of a rollout's progress. */
    void publish(LocalRollout rollout, RolloutProgress progress, double now) {
        publish(rollout.id, progress, now);
    }

    /** Replicates a new rollout that this router proposes, and returns it. */
    LocalRollout start(RolloutProgress progress, double now) {
        String id = progress.proposal().id();
        publish(id, progress, now);
        return rollouts.get(id);
    }

    private void publish(String id, RolloutProgress progress, double now) {
        RolloutProgress merged = store.merge(RolloutProgress.TYPE, id, progress, now);
        onProgress(id, merged == null ? progress : merged, now);
    }

    /** Ends a rollout at all routers, unless it has already ended. */
    void end(LocalRollout rollout, EndCause cause, String reason, double now) {
        if (!rollout.isEnded()) {
            publish(rollout, rollout.progress.withEnd(RolloutEnd.of(cause, reason, self.name(), now)), now);
        }
    }

    /** Emits an event about a rollout to the listener. */
    void emit(EventType type, LocalRollout rollout, String message) {
        listener.onEvent(new RolloutEvent(type, rollout.proposal.rulesHash(), rollout.displayName() + ": " + message));
    }

    /** Emits the event that the rollout is completed. */
    void emitCompleted(LocalRollout rollout) {
        emit(
                EventType.COMPLETED,
                rollout,
                "all sessions get the candidate; add its rules to the configuration file of every router");
    }

    private void emitEnd(LocalRollout rollout) {
        RolloutEnd end = rollout.progress.end();
        emit(eventType(end.cause()), rollout, "by " + end.endedBy() + ": " + end.reason());
    }

    private static EventType eventType(EndCause cause) {
        return switch (cause) {
            case HALTED -> EventType.HALTED;
            case VETOED -> EventType.VETOED;
            case WITHDRAWN -> EventType.WITHDRAWN;
            case SUPERSEDED -> EventType.SUPERSEDED;
            case EXPIRED -> EventType.EXPIRED;
        };
    }
}
