package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the outcomes of writes from this router's replica, for operators who investigate in-doubt writes. Not
 * thread-safe.
 */
public final class WriteOutcomes {
    /**
     * The outcome of one write. Ordered by the time at which the write was first sent, then by key.
     *
     * @param key the key of the outcome, from {@link WriteOutcome#key}
     */
    public record WriteOutcomeEntry(String key, WriteOutcome outcome) {
        static final Comparator<WriteOutcomeEntry> ORDER = Comparator.comparing(
                        (WriteOutcomeEntry entry) -> entry.outcome.firstSent())
                .thenComparing(WriteOutcomeEntry::key);
    }

    /**
     * Bound of the conflict keys that are kept to report each conflict once; more than an operator can read. Beyond it,
     * conflicts are still counted and listed, but may be reported twice.
     */
    private static final int MAX_KNOWN_CONFLICTS = 1000;

    private final ReplicatedStore store;
    private final ReplicatedType<WriteOutcome> type;
    /** Keys of the conflicts found so far, oldest first; at the bound the oldest are dropped. */
    private final Set<String> knownConflictKeys = new LinkedHashSet<>();
    /** Keys of the found conflicts that have not been returned by {@link #takeNewConflicts()} yet. */
    private final Set<String> newConflictKeys = new LinkedHashSet<>();

    /**
     * Loads the outcomes that the store holds, and subscribes to its changes.
     *
     * @param type the type that this router stores outcomes as: {@link WriteOutcome#TYPE} or a
     *     {@link WriteOutcome#typeWithRetention}
     */
    public WriteOutcomes(ReplicatedStore store, ReplicatedType<WriteOutcome> type) {
        this.store = store;
        this.type = type;
        store.forEach(type, this::recordConflict);
        store.addListener(type, (key, outcome, now) -> recordConflict(key, outcome));
    }

    private void recordConflict(String key, WriteOutcome outcome) {
        if (outcome.status() != WriteOutcome.OutcomeStatus.CONFLICT || !knownConflictKeys.add(key)) {
            return;
        }
        newConflictKeys.add(key);
        if (knownConflictKeys.size() > MAX_KNOWN_CONFLICTS) {
            String oldest = knownConflictKeys.iterator().next();
            knownConflictKeys.remove(oldest);
            newConflictKeys.remove(oldest);
        }
    }

    /**
     * Returns the outcomes of writes first sent at {@code from} or later and before {@code before}, in seconds since
     * 1970, in the order in which the writes were first sent.
     */
    public List<WriteOutcomeEntry> entriesSentBetween(double from, double before) {
        var entries = new ArrayList<WriteOutcomeEntry>();
        store.forEach(type, (key, outcome) -> {
            double sentAt = outcome.firstSent().sentAt();
            if (sentAt >= from && sentAt < before) {
                entries.add(new WriteOutcomeEntry(key, outcome));
            }
        });
        entries.sort(WriteOutcomeEntry.ORDER);
        return entries;
    }

    /** Returns the time before which outcomes may be missing, in seconds since 1970. */
    public double missingBefore(double now) {
        return Math.max(store.evictionFloor(type), now - type.retentionSeconds());
    }

    /** Returns the number of outcomes of each status, including statuses without outcomes. */
    public Map<WriteOutcome.OutcomeStatus, Integer> counts() {
        var counts = new EnumMap<WriteOutcome.OutcomeStatus, Integer>(WriteOutcome.OutcomeStatus.class);
        for (WriteOutcome.OutcomeStatus status : WriteOutcome.OutcomeStatus.values()) {
            counts.put(status, 0);
        }
        store.forEach(type, (key, outcome) -> counts.merge(outcome.status(), 1, Integer::sum));
        return counts;
    }

    /** Returns the conflicts found since the last call. */
    public List<WriteOutcomeEntry> takeNewConflicts() {
        var entries = new ArrayList<WriteOutcomeEntry>();
        for (String key : newConflictKeys) {
            WriteOutcome outcome = store.get(type, key);
            if (outcome != null) {
                entries.add(new WriteOutcomeEntry(key, outcome));
            }
        }
        newConflictKeys.clear();
        return entries;
    }
}
