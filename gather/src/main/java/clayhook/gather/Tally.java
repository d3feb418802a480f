package clayhook.gather;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.Arrays;

/**
 * The partial state of one figure of one group: takes values in any order, joins in any tree, and comes to the same.
 */
abstract class Tally {
    /** Of an object and its fields, about. */
    static final int OBJECT = 64;

    abstract void add(Row row, Figure figure);

    /** The other one is of the same figure, and is not used afterwards. */
    abstract void join(Tally other);

    /** The result as PostgreSQL writes it; null for no value. */
    abstract byte[] text();

    /** Bytes of memory, about. */
    abstract long weight();

    /** Why there is no result, or null. */
    Fault.Kind fault() {
        return null;
    }

    /** By how much the result may be off, as a share of it; 0 while it is exact. */
    double error() {
        return 0;
    }

    static byte[] bytes(String text) {
        return text.getBytes(US_ASCII);
    }

    /** Rows, or rows with a value. */
    static final class Count extends Tally {
        private long count;

        @Override
        void add(Row row, Figure figure) {
            count += figure.slot() < 0 || row.cell(figure.slot()) != Cell.NULL ? 1 : 0;
        }

        @Override
        void join(Tally other) {
            count += ((Count) other).count;
        }

        @Override
        byte[] text() {
            return bytes(Long.toString(count));
        }

        @Override
        long weight() {
            return OBJECT;
        }
    }

    /** The least or the most, as its part wrote it. */
    static final class Extreme extends Tally {
        private final int sign;
        private Cell cell = Cell.NULL;
        private byte[] raw;

        Extreme(boolean most) {
            sign = most ? -1 : 1;
        }

        @Override
        void add(Row row, Figure figure) {
            Cell other = row.cell(figure.slot());
            if (other != Cell.NULL) {
                int compared = cell == Cell.NULL ? -1 : sign * other.compareTo(cell);
                if (compared <= 0) {
                    take(compared, other, row.raw(figure.slot()));
                }
            }
        }

        /**
         * Of values that are equal and yet written in two ways, as 1.0 and 1.00, the same one is taken in any order.
         */
        private void take(int compared, Cell other, byte[] bytes) {
            if (compared < 0 || compared == 0 && Arrays.compareUnsigned(bytes, raw) < 0) {
                cell = other;
                raw = bytes;
            }
        }

        @Override
        void join(Tally tally) {
            var other = (Extreme) tally;
            if (other.cell != Cell.NULL) {
                take(cell == Cell.NULL ? -1 : sign * other.cell.compareTo(cell), other.cell, other.raw);
            }
        }

        @Override
        byte[] text() {
            return raw;
        }

        @Override
        long weight() {
            return 2 * OBJECT + (raw == null ? 0 : 2L * raw.length);
        }
    }
}
