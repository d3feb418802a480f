package clayhook.gather;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rows held whole, one a key where duplicates are sorted out. */
final class Table implements Pool {
    /** Of an entry of the map, its key and the copies around the row, about. */
    private static final int ENTRY = 200;

    private final Layout layout;
    private final Account account;
    /** Emptied by {@link #join} into another, or {@link #drop}; bounded by rows and by the account. */
    private final Map<Object, Copies> byKey = new HashMap<>();

    private final long mostRows;
    private long held;

    Table(Layout layout, Account account, long mostRows) {
        this.layout = layout;
        this.account = account;
        this.mostRows = mostRows;
    }

    @Override
    public Fault add(Row row) {
        Object key = layout.ranks() == null ? row : layout.ranks().key(row);
        return put(key, new Copies(layout.ranks(), row), true) ? null : full(row);
    }

    private boolean put(Object key, Copies copies, boolean fresh) {
        Copies known = byKey.get(key);
        if (known == null) {
            if (byKey.size() >= mostRows || fresh && !take(copies.weight() + ENTRY)) {
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

    private Fault full(Row row) {
        return new Fault(
                Fault.Kind.FULL,
                row.part,
                row.number,
                byKey.size() + " rows of " + held + " bytes have to be held for the answer, and that is the bound");
    }

    @Override
    public Fault join(Pool pool) {
        var other = (Table) pool;
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
        return byKey.values().stream().filter(Copies::conflict).count();
    }

    @Override
    public Fault fault() {
        return null;
    }

    @Override
    public void drop() {
        byKey.clear();
        account.give(held);
        held = 0;
    }
}
