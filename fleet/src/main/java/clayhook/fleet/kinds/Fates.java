package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.ReplicatedStore;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The fates of commands as this router's copy has them, for whoever asks about charges in doubt. */
public final class Fates {
    /** Of one command. */
    public record Row(String key, Fate fate) {
        static final Comparator<Row> ORDER =
                Comparator.comparing((Row row) -> row.fate.first()).thenComparing(Row::key);
    }

    /** More conflicts than anyone reads; one beyond is counted and shown, but perhaps told twice. */
    private static final int MOST_TOLD = 1000;

    private final ReplicatedStore shared;
    private final ReplicatedType<Fate> kind;
    /** Conflicts that were told; the first to come are dropped at the bound. */
    private final Set<String> told = new LinkedHashSet<>();
    /** Those not taken yet; emptied by taking them, and never more than told. */
    private final Set<String> untaken = new LinkedHashSet<>();

    /** {@code kind} as this router keeps it: {@link Fate#KIND} or one {@link Fate#kept}. */
    public Fates(ReplicatedStore shared, ReplicatedType<Fate> kind) {
        this.shared = shared;
        this.kind = kind;
        shared.forEach(kind, this::mind);
        shared.addListener(kind, (key, fate, now) -> mind(key, fate));
    }

    private void mind(String key, Fate fate) {
        if (fate.knowledge() != Fate.Knowledge.CONFLICT || !told.add(key)) {
            return;
        }
        untaken.add(key);
        if (told.size() > MOST_TOLD) {
            String first = told.iterator().next();
            told.remove(first);
            untaken.remove(first);
        }
    }

    /** Of what was first sent from then on and before then, seconds since 1970; by that time, then by key. */
    public List<Row> rows(double from, double before) {
        var rows = new ArrayList<Row>();
        shared.forEach(kind, (key, fate) -> {
            if (fate.first().at() >= from && fate.first().at() < before) {
                rows.add(new Row(key, fate));
            }
        });
        rows.sort(Row.ORDER);
        return rows;
    }

    /** Commands with a last word before that, seconds since 1970, may be missing; negative infinity where none are. */
    public double missingBefore(double now) {
        double floor = shared.evictionFloor(kind);
        return Math.max(floor, now - kind.retentionSeconds());
    }

    /** How many there are of each; all of them are in the map. */
    public Map<Fate.Knowledge, Integer> counts() {
        var counts = new EnumMap<Fate.Knowledge, Integer>(Fate.Knowledge.class);
        for (Fate.Knowledge each : Fate.Knowledge.values()) {
            counts.put(each, 0);
        }
        shared.forEach(kind, (key, fate) -> counts.merge(fate.knowledge(), 1, Integer::sum));
        return counts;
    }

    /** Conflicts found since this was last asked, each told once; for the log. */
    public List<Row> newConflicts() {
        var rows = new ArrayList<Row>();
        for (String key : untaken) {
            Fate fate = shared.get(kind, key);
            if (fate != null) {
                rows.add(new Row(key, fate));
            }
        }
        untaken.clear();
        return rows;
    }
}
