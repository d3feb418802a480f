package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All tables of this router, and what may be taken into them from others. */
final class Replica {
    /** Kinds whose roots fit into one part. */
    private static final int MAX_TYPES = 32;

    private final MembershipView roster;
    private final StateSettings settings;
    private final StateCounters counters;
    /** Filled at the start only. */
    private final Map<Integer, EntryTable<?>> tables = new TreeMap<>();

    Replica(MembershipView roster, List<ReplicatedType<?>> kinds, StateSettings settings, StateCounters counts) {
        this.roster = roster;
        this.settings = settings;
        this.counters = counts;
        for (ReplicatedType<?> kind : kinds) {
            boolean fits = kind.typeNumber() >= 0
                    && kind.typeNumber() < StateMessage.REPLICATED_TYPE_LIMIT
                    && tables.size() < MAX_TYPES;
            if (!fits || tables.put(kind.typeNumber(), new EntryTable<>(kind, settings)) != null) {
                throw new IllegalArgumentException(
                        "no room for the kind " + kind.name() + " with number " + kind.typeNumber());
            }
        }
    }

    Collection<EntryTable<?>> tables() {
        return tables.values();
    }

    List<EntryTable<?>> tables(boolean urgent) {
        var out = new ArrayList<EntryTable<?>>(tables.values());
        out.removeIf(table -> table.type.urgent() != urgent);
        return out;
    }

    /** Null for a kind that is not known here. */
    EntryTable<?> table(int kind) {
        return tables.get(kind);
    }

    @SuppressWarnings("unchecked") // a table is filed under its own kind
    <V> EntryTable<V> table(ReplicatedType<V> kind) {
        EntryTable<?> table = tables.get(kind.typeNumber());
        if (table == null || table.type != kind) {
            throw new IllegalArgumentException("not a kind of this copy: " + kind.name());
        }
        return (EntryTable<V>) table;
    }

    /** Whether what that member says on that kind counts. */
    boolean accepts(Member from, EntryTable<?> table) {
        return !table.type.clockDependent() || roster.clockWithinBound(from);
    }

    /** Joins in a value that came from that member. */
    <V> ApplyResult applyRemote(Member from, EntryTable<V> table, String key, long hash, byte[] value, double now) {
        ApplyResult fate = !accepts(from, table)
                ? ApplyResult.CLOCK_SKEWED
                : table.containsValue(key, hash, value)
                        ? ApplyResult.UNCHANGED
                        : decodeAndMerge(table, key, hash, value, now);
        return countRejection(fate);
    }

    private <V> ApplyResult decodeAndMerge(EntryTable<V> table, String key, long hash, byte[] value, double now) {
        V read;
        try {
            read = table.type.read(new FieldReader(value));
        } catch (IllegalArgumentException e) {
            return ApplyResult.MALFORMED;
        }
        return table.merge(key, hash, read, now);
    }

    ApplyResult countRejection(ApplyResult fate) {
        if (!fate.isAccepted()) {
            counters.rejections.merge(fate, 1L, Long::sum);
        }
        return fate;
    }

    /** Takes over what another copy has dropped or left out already. */
    void adoptBounds(Member from, EntryTable<?> table, double cutoff, double floor, double now) {
        if (accepts(from, table)) {
            table.raiseFloor(floor, now, settings.maxSweptEntries());
            table.raiseCutoff(cutoff, now, settings.maxSweptEntries());
        }
    }

    void sweep(double now) {
        tables.values().forEach(table -> table.sweep(now, settings.maxSweptEntries()));
    }

    static StateMessage.RootDigest rootDigest(EntryTable<?> table) {
        return new StateMessage.RootDigest(
                table.type.typeNumber(), table.digestCutoff(), table.evictionFloor(), table.hashTree.hashSum(0, 0));
    }
}
