package clayhook.gather;

import java.util.ArrayList;
import java.util.List;

/** The columns that merging looks at, each with its slot among the values read; all others are left as bytes. */
final class Reading {
    private final List<Column> columns;
    private final List<Integer> wanted = new ArrayList<>();
    private int[] slots;

    Reading(List<Column> columns) {
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

    Type type(int slot) {
        return Type.of(columns.get(column(slot)).type());
    }

    int width() {
        return columns.size();
    }

    int size() {
        return wanted.size();
    }

    /** Reads into {@code cells} in one walk; returns the first column that cannot be read, or -1. The message was found whole. */
    int read(byte[] message, Cell[] cells) {
        if (slots == null) {
            prepare();
        }
        int at = Row.start();
        for (int i = 0; i < slots.length; i++) {
            int length = Row.number(message, at);
            int slot = slots[i];
            if (slot >= 0) {
                Cell cell = length < 0 ? Cell.NULL : type(slot).read(message, at + 4, length);
                if (cell == null) {
                    return i;
                }
                cells[slot] = cell;
            }
            at += 4 + Math.max(0, length);
        }
        return -1;
    }

    /** By column up to the last one wanted: its slot, or -1. */
    private void prepare() {
        slots = new int[wanted.stream().mapToInt(column -> column + 1).max().orElse(0)];
        for (int i = 0; i < slots.length; i++) {
            slots[i] = wanted.indexOf(i);
        }
    }

    /** A row made here; what it shows was read before or is of its type. */
    Row row(Part part, long number, byte[] message) {
        Cell[] cells = new Cell[size()];
        if (read(message, cells) >= 0) {
            throw new IllegalStateException("a row made here cannot be read");
        }
        return new Row(part, number, message, this, cells);
    }
}
