package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A column as described by PostgreSQL's RowDescription, with values in text format. The source table is not kept
 * because a merged answer has several.
 *
 * @param type OID of the type in pg_type
 * @param size bytes of a value; negative if the size varies
 * @param modifier type modifier, such as the precision of a numeric; -1 if there is none
 */
public record Column(String name, int type, int size, int modifier) {
    private static final int HEADER = 5;
    /** Bytes after the name: table, column number, type, size, modifier, format. */
    private static final int FIELDS = 18;

    private static final int TABLE = 6;

    /** A column of the type, without a size or modifier. */
    public static Column of(String name, int type) {
        return new Column(name, type, -1, -1);
    }

    /** Decodes a complete RowDescription message ('T'); returns null if it is malformed or announces binary values. */
    public static List<Column> read(byte[] message) {
        try {
            ByteBuffer in = ByteBuffer.wrap(message);
            if (in.get() != 'T' || in.getInt() != message.length - 1) {
                return null;
            }
            int count = in.getShort() & 0xffff;
            var columns = new ArrayList<Column>();
            boolean texts = true;
            for (int i = 0; i < count; i++) {
                int from = in.position();
                while (in.get() != 0) {} // skips to the end of the name
                String name = new String(message, from, in.position() - 1 - from, UTF_8);
                in.position(in.position() + TABLE);
                columns.add(new Column(name, in.getInt(), in.getShort(), in.getInt()));
                texts &= in.getShort() == 0;
            }
            return texts && !in.hasRemaining() ? List.copyOf(columns) : null;
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Encodes a complete RowDescription message. */
    public static byte[] write(List<Column> columns) {
        List<byte[]> names =
                columns.stream().map(column -> column.name.getBytes(UTF_8)).toList();
        int length = HEADER
                + 2
                + names.stream().mapToInt(name -> name.length + 1 + FIELDS).sum();
        ByteBuffer out =
                ByteBuffer.allocate(length).put((byte) 'T').putInt(length - 1).putShort((short) columns.size());
        for (int i = 0; i < columns.size(); i++) {
            Column column = columns.get(i);
            out.put(names.get(i)).put((byte) 0).putInt(0).putShort((short) 0);
            out.putInt(column.type)
                    .putShort((short) column.size)
                    .putInt(column.modifier)
                    .putShort((short) 0);
        }
        return out.array();
    }

    /** Index of the only column with that name; negative if there is none or more than one. */
    static int find(List<Column> columns, String name) {
        int found = -1;
        for (int i = 0; i < columns.size(); i++) {
            if (columns.get(i).name.equals(name)) {
                if (found >= 0) {
                    return -1;
                }
                found = i;
            }
        }
        return found;
    }

    /** Whether the values of both columns can be merged into one column. */
    boolean isCompatibleWith(Column other) {
        return name.equals(other.name) && type == other.type;
    }
}
