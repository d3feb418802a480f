package clayhook.scattergather;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Buffers whole rows; with duplicate removal, one group of copies for each key. */
final class RowTable implements RowStore {
    /** Approximate bytes of a map entry, its key and the group of copies around the row. */
    private static final int ENTRY_BYTES = 200;

    private final ColumnLayout layout;
    private final MemoryReservation reservation;
    /**
     * Rows by key. Bounded by the maximum number of rows and by the reservation; emptied by {@link #merge} into another
     * table and by {@link #release}.
     */
    private final Map<Object, DuplicateGroup> byKey = new HashMap<>();

    private final long maxRows;
    private long heldBytes;

    RowTable(ColumnLayout layout, MemoryReservation reservation, long maxRows) {
        this.layout = layout;
        this.reservation = reservation;
        this.maxRows = maxRows;
    }

    @Override
    public GatherFault add(Row row) {
        Object key = layout.ranking() == null ? row : layout.ranking().key(row);
        return put(key, new DuplicateGroup(layout.ranking(), row), true) ? null : limitFault(row);
    }

    private boolean put(Object key, DuplicateGroup copies, boolean fresh) {
        DuplicateGroup known = byKey.get(key);
        if (known == null) {
            if (byKey.size() >= maxRows || (fresh && !reserve(copies.weight() + ENTRY_BYTES))) {
                return false;
            }
            byKey.put(key, copies);
            return true;
        }
        long before = known.weight() + (fresh ? 0 : copies.weight() + ENTRY_BYTES);
        known.merge(copies);
        return reserve(known.weight() - before);
    }

    private boolean reserve(long bytes) {
        if (bytes < 0) {
            reservation.release(-bytes);
        } else if (!reservation.tryReserve(bytes)) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    private GatherFault limitFault(Row row) {
        return new GatherFault(
                GatherFault.Kind.FULL,
                row.part,
                row.number,
                byKey.size() + " rows of " + heldBytes + " bytes are buffered, and the next one exceeds the limit");
    }

    @Override
    public GatherFault merge(RowStore store) {
        var other = (RowTable) store;
        heldBytes += other.heldBytes;
        other.heldBytes = 0;
        for (var entry : other.byKey.entrySet()) {
            if (!put(entry.getKey(), entry.getValue(), false)) {
                return limitFault(entry.getValue().best());
            }
        }
        other.byKey.clear();
        return null;
    }

    @Override
    public List<Row> rows() {
        var rows = new ArrayList<Row>(byKey.size());
        byKey.values().forEach(copies -> rows.add(copies.row(layout.reader())));
        return rows;
    }

    /** Number of keys whose copies contradict each other. */
    long conflicts() {
        return byKey.values().stream().filter(DuplicateGroup::conflict).count();
    }

    @Override
    public GatherFault fault() {
        return null;
    }

    @Override
    public void release() {
        byKey.clear();
        reservation.release(heldBytes);
        heldBytes = 0;
    }
}
