package clayhook.scattergather;

import java.util.Comparator;
import java.util.List;

/**
 * Orders rows by their sort keys, and rows with equal keys by part and row number. No two rows are equal, so the order
 * of ties is stable.
 */
final class RowComparator implements Comparator<Row> {
    private final int[] slots;
    private final SortKey[] keys;
    /** Whether the sort prefix determines the order of the first key completely. */
    private final boolean prefixIsExact;

    private RowComparator(List<SortKey> keys, int[] slots, ColumnReader reader) {
        this.keys = keys.toArray(SortKey[]::new);
        this.slots = slots;
        ColumnType first = slots.length == 0 ? ColumnType.OPAQUE : reader.type(slots[0]);
        prefixIsExact = first == ColumnType.INTEGER
                || first == ColumnType.TIMESTAMP
                || first == ColumnType.BOOLEAN
                || first.isFloating();
    }

    /** Creates a comparator; returns null if one of the keys is not a column that can be ordered. */
    static RowComparator of(List<SortKey> keys, List<Column> columns, ColumnReader reader) {
        int[] slots = new int[keys.size()];
        for (int i = 0; i < slots.length; i++) {
            int column = Column.find(columns, keys.get(i).column());
            if (column < 0 || ColumnType.of(columns.get(column).type()) == ColumnType.OPAQUE) {
                return null;
            }
            slots[i] = reader.slot(column);
        }
        return new RowComparator(keys, slots, reader);
    }

    @Override
    public int compare(Row a, Row b) {
        int comparison = compareKeys(a, b);
        if (comparison != 0) {
            return comparison;
        }
        return a.part != b.part ? Integer.compare(a.part.number(), b.part.number()) : Long.compare(a.number, b.number);
    }

    /**
     * Sets the sort prefix of a row, which all compared rows must have. Most comparisons are decided by the prefix
     * alone.
     */
    void setSortPrefix(Row row) {
        if (slots.length > 0) {
            ColumnValue cell = row.cell(slots[0]);
            row.sortPrefix = cell == ColumnValue.NULL
                    ? keys[0].nullsFirst() ? Long.MIN_VALUE : Long.MAX_VALUE
                    : keys[0].descending() ? ~cell.sortPrefix() : cell.sortPrefix();
        }
    }

    /** Compares by the sort keys only. */
    int compareKeys(Row a, Row b) {
        if (a.sortPrefix != b.sortPrefix) {
            return a.sortPrefix < b.sortPrefix ? -1 : 1;
        }
        boolean prefixDecides = prefixIsExact
                && a.sortPrefix != Long.MIN_VALUE
                && a.sortPrefix != Long.MAX_VALUE; // nulls share the extreme values
        for (int i = prefixDecides ? 1 : 0; i < slots.length; i++) {
            int comparison = compare(keys[i], a.cell(slots[i]), b.cell(slots[i]));
            if (comparison != 0) {
                return comparison;
            }
        }
        return 0;
    }

    private static int compare(SortKey key, ColumnValue a, ColumnValue b) {
        if (a == ColumnValue.NULL || b == ColumnValue.NULL) {
            return a == b ? 0 : (a == ColumnValue.NULL) == key.nullsFirst() ? -1 : 1;
        }
        int compared = a.compareTo(b);
        return key.descending() ? -compared : compared;
    }
}
