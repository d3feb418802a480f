package clayhook.scattergather;

import java.util.ArrayList;
import java.util.List;

/** The columns that merging looks at, each with its slot among the values read; all others are left as bytes. */
final class ColumnReader {
    private final List<Column> columns;
    private final List<Integer> readColumns = new ArrayList<>();
    private int[] slots;
    /** By column like the slots. */
    private ColumnType[] types;

    ColumnReader(List<Column> columns) {
        this.columns = columns;
    }

    /** The slot of that column, which is read from now on. */
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

    int width() {
        return columns.size();
    }

    int size() {
        return readColumns.size();
    }

    /** What {@link #read} returns where all is well, and where the message is no whole row of that width. */
    static final int SUCCESS = -1, MALFORMED = -2;

    /** Reads into {@code cells} in one walk; returns the column that is no value of its type, or one of the above. */
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

    /** By column: its slot, or -1, and its type. */
    private void prepare() {
        slots = new int[columns.size()];
        types = new ColumnType[slots.length];
        for (int i = 0; i < slots.length; i++) {
            slots[i] = readColumns.indexOf(i);
            types[i] = ColumnType.of(columns.get(i).type());
        }
    }

    /** A row made here; what it shows was read before or is of its type. */
    Row row(GatherPart part, long number, byte[] message) {
        ColumnValue[] cells = new ColumnValue[size()];
        if (read(message, cells) != SUCCESS) {
            throw new IllegalStateException("a row made here cannot be read");
        }
        return new Row(part, number, message, this, cells);
    }
}
