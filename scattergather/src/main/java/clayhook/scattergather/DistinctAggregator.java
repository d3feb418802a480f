package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.dynatrace.hash4j.distinctcount.UltraLogLog;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashSet;
import java.util.Set;

/**
 * Number of distinct values. Up to a limit the values themselves are held. Beyond it they are replaced by a sketch
 * whose merge takes the larger of two registers, so that the result does not depend on the order of rows or merges.
 * Whether a sketch is used depends only on the set of all values.
 */
public final class DistinctAggregator extends Aggregator {
    /** Maximum number of values, and of their bytes together, that are counted exactly. */
    public static final int EXACT = 1024, EXACT_BYTES = 1 << 15;
    /** Precision of the sketch, which takes 4 KiB. */
    private static final int PRECISION = 12;
    /**
     * Standard error of the sketch as a fraction of the count: 0.782 divided by the square root of the number of
     * registers (Ertl 2024, UltraLogLog).
     */
    public static final double ERROR = 0.782 / 64;
    /** Approximate bytes of a set entry. */
    private static final int ENTRY_BYTES = 80;

    /** The exact values; null once the sketch is used. */
    private Set<ColumnValue> values = new HashSet<>();

    private long length;
    private UltraLogLog sketch;

    DistinctAggregator() {}

    @Override
    void add(Row row, AggregateColumn column) {
        ColumnValue cell = row.cell(column.slot());
        if (cell != ColumnValue.NULL) {
            add(cell);
        }
    }

    private void add(ColumnValue cell) {
        if (values == null) {
            sketch.add(hash(cell));
        } else if (values.add(cell)) {
            length += length(cell);
            if (values.size() > EXACT || length > EXACT_BYTES) {
                sketch = UltraLogLog.create(PRECISION);
                values.forEach(value -> sketch.add(hash(value)));
                values = null;
            }
        }
    }

    private static int length(ColumnValue cell) {
        return cell instanceof ColumnValue.TextValue text
                ? text.bytes().length
                : cell instanceof ColumnValue.DecimalValue decimal
                        ? decimal.value().unscaledValue().bitLength() / 8
                        : 0;
    }

    private static long hash(ColumnValue value) {
        return Hashing.komihash5_0().hashBytesToLong(hashedBytes(value));
    }

    /**
     * The bytes of a value that are hashed. Their format is fixed because sketches are merged and their estimates
     * depend on it.
     */
    static byte[] hashedBytes(ColumnValue value) {
        return value instanceof ColumnValue.TextValue text
                ? text.bytes()
                : hashedText(value).getBytes(US_ASCII);
    }

    private static String hashedText(ColumnValue value) {
        if (value instanceof ColumnValue.DecimalValue decimal) {
            return decimal.value().stripTrailingZeros().toString();
        } else if (value instanceof ColumnValue.IntegerValue integer) {
            return "Whole[value=" + integer.value() + "]";
        } else if (value instanceof ColumnValue.FloatValue number) {
            return "Real[value=" + number.value() + "]";
        } else if (value instanceof ColumnValue.TimestampValue timestamp) {
            return "Time[micros=" + timestamp.micros() + "]";
        } else if (value instanceof ColumnValue.BooleanValue flag) {
            return "Flag[value=" + flag.value() + "]";
        }
        return "Null[]";
    }

    @Override
    void merge(Aggregator aggregator) {
        var other = (DistinctAggregator) aggregator;
        if (other.values != null) {
            other.values.forEach(this::add);
        } else if (values != null) {
            sketch = other.sketch;
            values.forEach(value -> sketch.add(hash(value)));
            values = null;
        } else {
            sketch.add(other.sketch);
        }
    }

    @Override
    byte[] text() {
        return bytes(Long.toString(values != null ? values.size() : Math.round(sketch.getDistinctCountEstimate())));
    }

    @Override
    double error() {
        return values != null ? 0 : ERROR;
    }

    @Override
    long weight() {
        return 2 * OBJECT_BYTES + (values != null ? (long) values.size() * ENTRY_BYTES + length : 1 << PRECISION);
    }
}
