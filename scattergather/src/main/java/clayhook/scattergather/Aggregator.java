package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.Arrays;

/** Partial state of one aggregate of one group. The result does not depend on the order of rows and merges. */
abstract class Aggregator {
    /** Approximate bytes of an object and its fields. */
    static final int OBJECT_BYTES = 64;

    abstract void add(Row row, AggregateColumn column);

    /** Merges the state of the same aggregate, which must not be used afterwards. */
    abstract void merge(Aggregator other);

    /** The result in PostgreSQL's text format; null is SQL NULL. */
    abstract byte[] text();

    /** Approximate bytes of memory. */
    abstract long weight();

    /** The kind of fault that prevents a result; null if there is none. */
    GatherFault.Kind fault() {
        return null;
    }

    /** Error of the result as a fraction of its value; 0 if it is exact. */
    double error() {
        return 0;
    }

    static byte[] bytes(String text) {
        return text.getBytes(US_ASCII);
    }

    /** Counts rows, or rows with a value. */
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

    /** Minimum or maximum, in the text that its part sent. */
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
                    keepIfBetter(compared, other, row.raw(column.slot()));
                }
            }
        }

        /**
         * Keeps the better value. Of equal values with different texts, such as 1.0 and 1.00, the choice does not
         * depend on the order.
         */
        private void keepIfBetter(int compared, ColumnValue other, byte[] bytes) {
            if (compared < 0 || (compared == 0 && Arrays.compareUnsigned(bytes, raw) < 0)) {
                cell = other;
                raw = bytes;
            }
        }

        @Override
        void merge(Aggregator aggregator) {
            var other = (ExtremeAggregator) aggregator;
            if (other.cell != ColumnValue.NULL) {
                keepIfBetter(cell == ColumnValue.NULL ? -1 : sign * other.cell.compareTo(cell), other.cell, other.raw);
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
