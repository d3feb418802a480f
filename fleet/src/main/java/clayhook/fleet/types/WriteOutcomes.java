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

/** The fates of commands as this router's copy has them, for whoever asks about charges in doubt. */
public final class WriteOutcomes {
    /** Of one command. */
    public record WriteOutcomeEntry(String key, WriteOutcome outcome) {
        static final Comparator<WriteOutcomeEntry> ORDER = Comparator.comparing(
                        (WriteOutcomeEntry row) -> row.outcome.firstSent())
                .thenComparing(WriteOutcomeEntry::key);
    }

    /** More conflicts than anyone reads; one beyond is counted and shown, but perhaps told twice. */
    private static final int MAX_REPORTED_CONFLICTS = 1000;

    private final ReplicatedStore store;
    private final ReplicatedType<WriteOutcome> type;
    /** Conflicts that were told; the first to come are dropped at the bound. */
    private final Set<String> reportedConflicts = new LinkedHashSet<>();
    /** Those not taken yet; emptied by taking them, and never more than told. */
    private final Set<String> newConflictKeys = new LinkedHashSet<>();

    /**
     * {@code kind} as this router keeps it: {@link WriteOutcome#TYPE} or one {@link WriteOutcome#typeWithRetention}.
     */
    public WriteOutcomes(ReplicatedStore shared, ReplicatedType<WriteOutcome> kind) {
        this.store = shared;
        this.type = kind;
        shared.forEach(kind, this::noteConflict);
        shared.addListener(kind, (key, fate, now) -> noteConflict(key, fate));
    }

    private void noteConflict(String key, WriteOutcome fate) {
        if (fate.status() != WriteOutcome.OutcomeStatus.CONFLICT || !reportedConflicts.add(key)) {
            return;
        }
        newConflictKeys.add(key);
        if (reportedConflicts.size() > MAX_REPORTED_CONFLICTS) {
            String first = reportedConflicts.iterator().next();
            reportedConflicts.remove(first);
            newConflictKeys.remove(first);
        }
    }

    /** Of what was first sent from then on and before then, seconds since 1970; by that time, then by key. */
    public List<WriteOutcomeEntry> entriesSentBetween(double from, double before) {
        var rows = new ArrayList<WriteOutcomeEntry>();
        store.forEach(type, (key, fate) -> {
            if (fate.firstSent().sentAt() >= from && fate.firstSent().sentAt() < before) {
                rows.add(new WriteOutcomeEntry(key, fate));
            }
        });
        rows.sort(WriteOutcomeEntry.ORDER);
        return rows;
    }

    /** Commands with a last word before that, seconds since 1970, may be missing; negative infinity where none are. */
    public double missingBefore(double now) {
        double floor = store.evictionFloor(type);
        return Math.max(floor, now - type.retentionSeconds());
    }

    /** How many there are of each; all of them are in the map. */
    public Map<WriteOutcome.OutcomeStatus, Integer> counts() {
        var counts = new EnumMap<WriteOutcome.OutcomeStatus, Integer>(WriteOutcome.OutcomeStatus.class);
        for (WriteOutcome.OutcomeStatus each : WriteOutcome.OutcomeStatus.values()) {
            counts.put(each, 0);
        }
        store.forEach(type, (key, fate) -> counts.merge(fate.status(), 1, Integer::sum));
        return counts;
    }

    /** Conflicts found since this was last asked, each told once; for the log. */
    public List<WriteOutcomeEntry> takeNewConflicts() {
        var rows = new ArrayList<WriteOutcomeEntry>();
        for (String key : newConflictKeys) {
            WriteOutcome fate = store.get(type, key);
            if (fate != null) {
                rows.add(new WriteOutcomeEntry(key, fate));
            }
        }
        newConflictKeys.clear();
        return rows;
    }
}
