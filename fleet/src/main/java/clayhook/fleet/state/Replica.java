package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedType;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The tables of all replicated types of this router, and the checks of values received from other members. Not
 * thread-safe.
 */
final class Replica {
    /** Maximum number of replicated types; their root digests fit into one packet. */
    private static final int MAX_TYPES = 32;

    private final MembershipView membership;
    private final StateSettings settings;
    private final StateCounters counters;
    /** The tables by type number; not changed after construction. */
    private final Map<Integer, EntryTable<?>> tables = new TreeMap<>();

    /**
     * Throws {@link IllegalArgumentException} if there are more than 32 types, or if a type number is used twice or not
     * in the range from 0 to 255.
     */
    Replica(MembershipView membership, List<ReplicatedType<?>> types, StateSettings settings, StateCounters counters) {
        this.membership = membership;
        this.settings = settings;
        this.counters = counters;
        types.forEach(this::addTable);
    }

    private void addTable(ReplicatedType<?> type) {
        int number = type.typeNumber();
        boolean fits = number >= 0 && number < StateMessage.REPLICATED_TYPE_LIMIT && tables.size() < MAX_TYPES;
        if (!fits || tables.put(number, new EntryTable<>(type, settings)) != null) {
            throw new IllegalArgumentException("cannot add replicated type " + type.name() + " with number " + number
                    + ": expected at most " + MAX_TYPES + " types with distinct numbers from 0 to 255");
        }
    }

    /** Returns all tables in the order of their type numbers. */
    Collection<EntryTable<?>> tables() {
        return tables.values();
    }

    /** Returns the tables of all urgent types or those of all other types. */
    List<EntryTable<?>> tables(boolean urgent) {
        return tables.values().stream()
                .filter(table -> table.type.urgent() == urgent)
                .toList();
    }

    /** Returns the table of a type number; null if this release does not support the type. */
    EntryTable<?> table(int typeNumber) {
        return tables.get(typeNumber);
    }

    /** Returns the table of a type; throws {@link IllegalArgumentException} if there is none. */
    @SuppressWarnings("unchecked") // a table is stored under the number of its own type
    <V> EntryTable<V> table(ReplicatedType<V> type) {
        EntryTable<?> table = tables.get(type.typeNumber());
        if (table == null || table.type != type) {
            throw new IllegalArgumentException("not a type of this replica: " + type.name());
        }
        return (EntryTable<V>) table;
    }

    /**
     * Whether values of a table are accepted from a member: if the type is clock-dependent, the member's clock must be
     * within the bound.
     */
    boolean accepts(Member from, EntryTable<?> table) {
        return !table.type.clockDependent() || membership.clockWithinBound(from);
    }

    /** Merges a value that was received from another member. */
    ApplyResult applyRemote(
            Member from, EntryTable<?> table, String key, long keyHash, byte[] encodedValue, double now) {
        ApplyResult result =
                accepts(from, table) ? table.mergeEncoded(key, keyHash, encodedValue, now) : ApplyResult.CLOCK_SKEWED;
        return countRejection(result);
    }

    /** Merges a value that was written by this router. */
    <V> ApplyResult applyLocal(EntryTable<V> table, String key, long keyHash, V value, double now) {
        return countRejection(table.merge(key, keyHash, value, now));
    }

    private ApplyResult countRejection(ApplyResult result) {
        if (!result.isAccepted()) {
            counters.rejections.merge(result, 1L, Long::sum);
        }
        return result;
    }

    /**
     * Adopts the digest cut-off and the eviction floor of another replica, each only if it is higher than that of the
     * table and plausible.
     */
    void adoptBounds(Member from, EntryTable<?> table, double digestCutoff, double evictionFloor, double now) {
        if (accepts(from, table)) {
            table.raiseFloor(evictionFloor, now, settings.maxSweptEntries());
            table.raiseCutoff(digestCutoff, now, settings.maxSweptEntries());
        }
    }

    /** Removes expired entries of all types. */
    void sweep(double now) {
        tables.values().forEach(table -> table.sweep(now, settings.maxSweptEntries()));
    }
}
