package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.Arrays;

/**
 * The partial state of one figure of one group: takes values in any order, joins in any tree, and comes to the same.
 */
abstract class Aggregator {
    /** Of an object and its fields, about. */
    static final int OBJECT_BYTES = 64;

    abstract void add(Row row, AggregateColumn column);

    /** The other one is of the same figure, and is not used afterwards. */
    abstract void merge(Aggregator other);

    /** The result as PostgreSQL writes it; null for no value. */
    abstract byte[] text();

    /** Bytes of memory, about. */
    abstract long weight();

    /** Why there is no result, or null. */
    GatherFault.Kind fault() {
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
    static final class CountAggregator extends Aggregator {
        private long count;

        @Override
        void add(Row row, AggregateColumn column) {
            count += column.slot() < 0 || row.cell(column.slot()) != ColumnValue.NULL ? 1 : 0;
        }

        @Override
        void merge(Aggregator other) {
            count += ((CountAggregator) other).count;
        }

        @Override
        byte[] text() {
            return bytes(Long.toString(count));
        }

        @Override
        long weight() {
            return OBJECT_BYTES;
        }
    }

    /** The least or the most, as its part wrote it. */
    static final class ExtremeAggregator extends Aggregator {
        private final int sign;
        private ColumnValue cell = ColumnValue.NULL;
        private byte[] raw;

        ExtremeAggregator(boolean most) {
            sign = most ? -1 : 1;
        }

        @Override
        void add(Row row, AggregateColumn column) {
            ColumnValue other = row.cell(column.slot());
            if (other != ColumnValue.NULL) {
                int compared = cell == ColumnValue.NULL ? -1 : sign * other.compareTo(cell);
                if (compared <= 0) {
                    take(compared, other, row.raw(column.slot()));
                }
            }
        }

        /**
         * Of values that are equal and yet written in two ways, as 1.0 and 1.00, the same one is taken in any order.
         */
        private void take(int compared, ColumnValue other, byte[] bytes) {
            if (compared < 0 || (compared == 0 && Arrays.compareUnsigned(bytes, raw) < 0)) {
                cell = other;
                raw = bytes;
            }
        }

        @Override
        void merge(Aggregator aggregator) {
            var other = (ExtremeAggregator) aggregator;
            if (other.cell != ColumnValue.NULL) {
                take(cell == ColumnValue.NULL ? -1 : sign * other.cell.compareTo(cell), other.cell, other.raw);
            }
        }

        @Override
        byte[] text() {
            return raw;
        }

        @Override
        long weight() {
            return 2 * OBJECT_BYTES + (raw == null ? 0 : 2L * raw.length);
        }
    }
}
