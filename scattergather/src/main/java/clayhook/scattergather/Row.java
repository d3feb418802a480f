package clayhook.scattergather;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A row of a part: the bytes as they came, and the values of the columns that merging looks at. */
final class Row {
    /** 'D' and the length. */
    private static final int HEADER_BYTES = 5;
    /** Of the objects that make a row on a 64-bit machine, and of each value read from it, about. */
    private static final int OBJECT_BYTES = 72, CELL_BYTES = 48;

    final GatherPart part;
    /** Within its part, from 1. */
    final long number;
    /** A whole DataRow message. */
    final byte[] bytes;

    private final ColumnReader reader;
    private final ColumnValue[] cells;
    /** Kept, as by the time that it is asked for the bytes are out of the processor's caches. */
    private final long weight;
    /** Where it stands by the first key, about; set by {@link RowComparator#setSortPrefix}. */
    long sortPrefix;

    Row(GatherPart part, long number, byte[] bytes, ColumnReader reader, ColumnValue[] cells) {
        this.part = part;
        this.number = number;
        this.bytes = bytes;
        this.reader = reader;
        this.cells = cells;
        weight = weight(bytes.length, cells.length);
    }

    ColumnValue cell(int slot) {
        return cells[slot];
    }

    /** The bytes of what {@link #cell} gives; null for no value. */
    byte[] raw(int slot) {
        return field(reader.column(slot));
    }

    byte[] field(int column) {
        int at = HEADER_BYTES + 2;
        for (int i = 0; i < column; i++) {
            at += 4 + Math.max(0, readInt(bytes, at));
        }
        int length = readInt(bytes, at);
        return length < 0 ? null : Arrays.copyOfRange(bytes, at + 4, at + 4 + length);
    }

    byte[][] fields() {
        byte[][] fields = new byte[width(bytes)][];
        int at = HEADER_BYTES + 2;
        for (int i = 0; i < fields.length; i++) {
            int length = readInt(bytes, at);
            fields[i] = length < 0 ? null : Arrays.copyOfRange(bytes, at + 4, at + 4 + length);
            at += 4 + Math.max(0, length);
        }
        return fields;
    }

    /** Bytes of memory, about. */
    long weight() {
        return weight;
    }

    /** Keys may be all of the row, and are read into bytes of their own. */
    static long weight(int length, int cells) {
        return (cells == 0 ? 1L : 2L) * length + OBJECT_BYTES + (long) cells * CELL_BYTES;
    }

    /** How many columns a message has; -1 where it is no whole DataRow. */
    static int width(byte[] message) {
        if (message.length < HEADER_BYTES + 2 || message[0] != 'D' || readInt(message, 1) != message.length - 1) {
            return -1;
        }
        int width = columnCount(message);
        int at = HEADER_BYTES + 2;
        for (int i = 0; i < width; i++) {
            if (at > message.length - 4) {
                return -1;
            }
            int length = readInt(message, at);
            if (length < -1 || length > message.length - at - 4) {
                return -1;
            }
            at += 4 + Math.max(0, length);
        }
        return at == message.length ? width : -1;
    }

    static int columnCount(byte[] message) {
        return (message[HEADER_BYTES] & 0xff) << 8 | (message[HEADER_BYTES + 1] & 0xff);
    }

    static int readInt(byte[] in, int at) {
        return in[at] << 24 | (in[at + 1] & 0xff) << 16 | (in[at + 2] & 0xff) << 8 | (in[at + 3] & 0xff);
    }

    /** Where the first field's length is. */
    static int firstFieldOffset() {
        return HEADER_BYTES + 2;
    }

    /** A whole DataRow message; null is no value. */
    static byte[] message(byte[]... fields) {
        int length = HEADER_BYTES + 2;
        for (byte[] field : fields) {
            length += 4 + (field == null ? 0 : field.length);
        }
        ByteBuffer out =
                ByteBuffer.allocate(length).put((byte) 'D').putInt(length - 1).putShort((short) fields.length);
        for (byte[] field : fields) {
            out.putInt(field == null ? -1 : field.length);
            if (field != null) {
                out.put(field);
            }
        }
        return out.array();
    }
}
