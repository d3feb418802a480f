package clayhook.scattergather;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses the columns that the merge needs, each into a slot of the values of a row; all other columns stay unparsed
 * bytes.
 */
final class ColumnReader {
    private final List<Column> columns;
    private final List<Integer> readColumns = new ArrayList<>();
    private int[] slots;
    /** Column types, by column index like {@code slots}. */
    private ColumnType[] types;

    ColumnReader(List<Column> columns) {
        this.columns = columns;
    }

    /** Returns the slot of the column, which is parsed from now on. */
    int slot(int column) {
        int known = readColumns.indexOf(column);
        if (known < 0) {
            readColumns.add(column);
            slots = null;
            return readColumns.size() - 1;
        }
        return known;
    }

    int column(int slot) {
        return readColumns.get(slot);
    }

    ColumnType type(int slot) {
        return ColumnType.of(columns.get(column(slot)).type());
    }

    int columnCount() {
        return columns.size();
    }

    int slotCount() {
        return readColumns.size();
    }

    /**
     * Results of {@link #read}: success, or a message that is not a complete row with the expected number of columns.
     */
    static final int SUCCESS = -1, MALFORMED = -2;

    /**
     * Parses the row into {@code cells} in one pass. Returns the index of the column whose value is invalid for its
     * type, or one of the constants above.
     */
    int read(byte[] message, ColumnValue[] cells) {
        if (slots == null) {
            prepare();
        }
        int at = Row.firstFieldOffset();
        if (message.length < at
                || message[0] != 'D'
                || Row.readInt(message, 1) != message.length - 1
                || Row.columnCount(message) != columns.size()) {
            return MALFORMED;
        }
        for (int i = 0; i < slots.length; i++) {
            int length = at > message.length - 4 ? Integer.MAX_VALUE : Row.readInt(message, at);
            at += 4;
            if (length < -1 || length > message.length - at) {
                return MALFORMED;
            }
            int slot = slots[i];
            if (slot >= 0) {
                ColumnValue cell = length < 0 ? ColumnValue.NULL : types[i].read(message, at, length);
                if (cell == null) {
                    return i;
                }
                cells[slot] = cell;
            }
            at += length < 0 ? 0 : length;
        }
        return at == message.length ? SUCCESS : MALFORMED;
    }

    /** Computes the slot, or -1, and the type of each column. */
    private void prepare() {
        slots = new int[columns.size()];
        types = new ColumnType[slots.length];
        for (int i = 0; i < slots.length; i++) {
            slots[i] = readColumns.indexOf(i);
            types[i] = ColumnType.of(columns.get(i).type());
        }
    }

    /** Parses a row that the merge itself has built; its values are always valid for their types. */
    Row row(GatherPart part, long number, byte[] message) {
        ColumnValue[] cells = new ColumnValue[slotCount()];
        if (read(message, cells) != SUCCESS) {
            throw new IllegalStateException("a row made here cannot be read");
        }
        return new Row(part, number, message, this, cells);
    }
}
