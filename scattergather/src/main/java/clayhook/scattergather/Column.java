package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A column as PostgreSQL's RowDescription tells it; its values come as text. Which table it is of is not kept: in a
 * merged answer it is of many.
 *
 * @param type number of its type in pg_type
 * @param size bytes of a value, negative where they differ
 * @param modifier of the type, such as the digits of a numeric; -1 for none
 */
public record Column(String name, int type, int size, int modifier) {
    private static final int HEADER = 5;
    /** Table and number within it, type, size, modifier, format. */
    private static final int FIELDS = 18;

    private static final int TABLE = 6;

    /** A column of that type, of any size. */
    public static Column of(String name, int type) {
        return new Column(name, type, -1, -1);
    }

    /**
     * The columns in a whole RowDescription message ('T'), or null where it cannot be read or does not announce texts.
     */
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
                while (in.get() != 0) {} // to the end of the name
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

    /** A whole RowDescription message. */
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

    /** Where the one column of that name is; negative where there is none, or more than one. */
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

    /** Whether values of both may stand in one column. */
    boolean fits(Column other) {
        return name.equals(other.name) && type == other.type;
    }
}
