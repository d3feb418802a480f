package clayhook.scattergather;

import java.util.ArrayList;
import java.util.List;

/** The columns that merging looks at, each with its slot among the values read; all others are left as bytes. */
final class ColumnReader {
    private final List<Column> columns;
    private final List<Integer> wanted = new ArrayList<>();
    private int[] slots;
    /** By column like the slots. */
    private ColumnType[] types;

    ColumnReader(List<Column> columns) {
        this.columns = columns;
    }

    /** The slot of that column, which is read from now on. */
    int slot(int column) {
        int known = wanted.indexOf(column);
        if (known < 0) {
            wanted.add(column);
            slots = null;
            return wanted.size() - 1;
        }
        return known;
    }

    int column(int slot) {
        return wanted.get(slot);
    }

    ColumnType type(int slot) {
        return ColumnType.of(columns.get(column(slot)).type());
    }

    int width() {
        return columns.size();
    }

    int size() {
        return wanted.size();
    }

    /** What {@link #read} returns where all is well, and where the message is no whole row of that width. */
    static final int READ = -1, MISSHAPEN = -2;

    /** Reads into {@code cells} in one walk; returns the column that is no value of its type, or one of the above. */
    int read(byte[] message, ColumnValue[] cells) {
        if (slots == null) {
            prepare();
        }
        int at = Row.start();
        if (message.length < at
                || message[0] != 'D'
                || Row.number(message, 1) != message.length - 1
                || Row.count(message) != columns.size()) {
            return MISSHAPEN;
        }
        for (int i = 0; i < slots.length; i++) {
            int length = at > message.length - 4 ? Integer.MAX_VALUE : Row.number(message, at);
            at += 4;
            if (length < -1 || length > message.length - at) {
                return MISSHAPEN;
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
        return at == message.length ? READ : MISSHAPEN;
    }

    /** By column: its slot, or -1, and its type. */
    private void prepare() {
        slots = new int[columns.size()];
        types = new ColumnType[slots.length];
        for (int i = 0; i < slots.length; i++) {
            slots[i] = wanted.indexOf(i);
            types[i] = ColumnType.of(columns.get(i).type());
        }
    }

    /** A row made here; what it shows was read before or is of its type. */
    Row row(GatherPart part, long number, byte[] message) {
        ColumnValue[] cells = new ColumnValue[size()];
        if (read(message, cells) != READ) {
            throw new IllegalStateException("a row made here cannot be read");
        }
        return new Row(part, number, message, this, cells);
    }
}
