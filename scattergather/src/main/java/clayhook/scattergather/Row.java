package clayhook.scattergather;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A row of a part: the received bytes and the parsed values of the columns that the merge needs. */
final class Row {
    /** Bytes of the message type 'D' and the length. */
    private static final int HEADER_BYTES = 5;
    /** Approximate bytes of the objects of a row on a 64-bit JVM, and of each parsed value. */
    private static final int OBJECT_BYTES = 72, CELL_BYTES = 48;

    final GatherPart part;
    /** Row number within its part, from 1. */
    final long number;
    /** The complete DataRow message. */
    final byte[] bytes;

    private final ColumnReader reader;
    private final ColumnValue[] cells;
    /** Stored because the message has left the processor caches by the time the weight is needed. */
    private final long weight;
    /** Order-preserving prefix of the first sort key; set by {@link RowComparator#setSortPrefix}. */
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

    /** The text of the value in a slot; null is SQL NULL. */
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

    /** Approximate bytes of memory. */
    long weight() {
        return weight;
    }

    /** Approximate bytes of a row. The parsed keys are copies and may be as large as the whole message. */
    static long weight(int length, int cells) {
        return (cells == 0 ? 1L : 2L) * length + OBJECT_BYTES + (long) cells * CELL_BYTES;
    }

    /** Number of columns of a message; -1 if it is not a complete DataRow message. */
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

    /** Offset of the length of the first field. */
    static int firstFieldOffset() {
        return HEADER_BYTES + 2;
    }

    /** Encodes a complete DataRow message; null is SQL NULL. */
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
