package clayhook.fleet.state;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All tables of this router, and what may be taken into them from others. */
final class Copy {
    /** Kinds whose roots fit into one part. */
    private static final int MOST_KINDS = 32;

    private final MembershipView roster;
    private final StateSettings settings;
    private final StateCounts counts;
    /** Filled at the start only. */
    private final Map<Integer, Table<?>> tables = new TreeMap<>();

    Copy(MembershipView roster, List<ReplicatedType<?>> kinds, StateSettings settings, StateCounts counts) {
        this.roster = roster;
        this.settings = settings;
        this.counts = counts;
        for (ReplicatedType<?> kind : kinds) {
            boolean fits = kind.typeNumber() >= 0 && kind.typeNumber() < Word.MOST_KINDS && tables.size() < MOST_KINDS;
            if (!fits || tables.put(kind.typeNumber(), new Table<>(kind, settings)) != null) {
                throw new IllegalArgumentException(
                        "no room for the kind " + kind.name() + " with number " + kind.typeNumber());
            }
        }
    }

    Collection<Table<?>> tables() {
        return tables.values();
    }

    List<Table<?>> tables(boolean urgent) {
        var out = new ArrayList<Table<?>>(tables.values());
        out.removeIf(table -> table.kind.urgent() != urgent);
        return out;
    }

    /** Null for a kind that is not known here. */
    Table<?> table(int kind) {
        return tables.get(kind);
    }

    @SuppressWarnings("unchecked") // a table is filed under its own kind
    <V> Table<V> table(ReplicatedType<V> kind) {
        Table<?> table = tables.get(kind.typeNumber());
        if (table == null || table.kind != kind) {
            throw new IllegalArgumentException("not a kind of this copy: " + kind.name());
        }
        return (Table<V>) table;
    }

    /** Whether what that member says on that kind counts. */
    boolean hears(Member from, Table<?> table) {
        return !table.kind.clockDependent() || roster.clockWithinBound(from);
    }

    /** Joins in a value that came from that member. */
    <V> Fate take(Member from, Table<V> table, String key, long hash, byte[] value, double now) {
        Fate fate = !hears(from, table)
                ? Fate.UNTIMELY
                : table.has(key, hash, value) ? Fate.SAME : read(table, key, hash, value, now);
        return counted(fate);
    }

    private <V> Fate read(Table<V> table, String key, long hash, byte[] value, double now) {
        V read;
        try {
            read = table.kind.read(new FieldReader(value));
        } catch (IllegalArgumentException e) {
            return Fate.UNREADABLE;
        }
        return table.merge(key, hash, read, now);
    }

    Fate counted(Fate fate) {
        if (!fate.taken()) {
            counts.refused.merge(fate, 1L, Long::sum);
        }
        return fate;
    }

    /** Takes over what another copy has dropped or left out already. */
    void align(Member from, Table<?> table, double cutoff, double floor, double now) {
        if (hears(from, table)) {
            table.raise(floor, now, settings.sweep());
            table.align(cutoff, now, settings.sweep());
        }
    }

    void sweep(double now) {
        tables.values().forEach(table -> table.sweep(now, settings.sweep()));
    }

    static Word.Root root(Table<?> table) {
        return new Word.Root(table.kind.typeNumber(), table.cutoff(), table.floor(), table.tree.sum(0, 0));
    }
}
