package clayhook.scattergather;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rows held whole, one a key where duplicates are sorted out. */
final class RowTable implements RowStore {
    /** Of an entry of the map, its key and the copies around the row, about. */
    private static final int ENTRY = 200;

    private final ColumnLayout layout;
    private final MemoryReservation account;
    /** Emptied by {@link #join} into another, or {@link #drop}; bounded by rows and by the account. */
    private final Map<Object, DuplicateGroup> byKey = new HashMap<>();

    private final long mostRows;
    private long held;

    RowTable(ColumnLayout layout, MemoryReservation account, long mostRows) {
        this.layout = layout;
        this.account = account;
        this.mostRows = mostRows;
    }

    @Override
    public GatherFault add(Row row) {
        Object key = layout.ranks() == null ? row : layout.ranks().key(row);
        return put(key, new DuplicateGroup(layout.ranks(), row), true) ? null : full(row);
    }

    private boolean put(Object key, DuplicateGroup copies, boolean fresh) {
        DuplicateGroup known = byKey.get(key);
        if (known == null) {
            if (byKey.size() >= mostRows || (fresh && !take(copies.weight() + ENTRY))) {
                return false;
            }
            byKey.put(key, copies);
            return true;
        }
        long before = known.weight() + (fresh ? 0 : copies.weight() + ENTRY);
        known.join(copies);
        return take(known.weight() - before);
    }

    private boolean take(long bytes) {
        if (bytes < 0) {
            account.give(-bytes);
        } else if (!account.take(bytes)) {
            return false;
        }
        held += bytes;
        return true;
    }

    private GatherFault full(Row row) {
        return new GatherFault(
                GatherFault.Kind.FULL,
                row.part,
                row.number,
                byKey.size() + " rows of " + held + " bytes have to be held for the answer, and that is the bound");
    }

    @Override
    public GatherFault join(RowStore pool) {
        var other = (RowTable) pool;
        held += other.held;
        other.held = 0;
        for (var entry : other.byKey.entrySet()) {
            if (!put(entry.getKey(), entry.getValue(), false)) {
                return full(entry.getValue().best());
            }
        }
        other.byKey.clear();
        return null;
    }

    @Override
    public List<Row> rows() {
        var rows = new ArrayList<Row>(byKey.size());
        byKey.values().forEach(copies -> rows.add(copies.row(layout.reading())));
        return rows;
    }

    /** Keys of which copies contradict each other. */
    long conflicts() {
        return byKey.values().stream().filter(DuplicateGroup::conflict).count();
    }

    @Override
    public GatherFault fault() {
        return null;
    }

    @Override
    public void drop() {
        byKey.clear();
        account.give(held);
        held = 0;
    }
}
