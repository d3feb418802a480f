package clayhook.scattergather;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * A quantile with the semantics of percentile_disc. Up to a limit the values themselves are held; beyond it, numbers
 * are counted in buckets.
 */
public final class QuantileAggregator extends Aggregator {
    /**
     * Maximum number of values, and of their bytes together, for an exact quantile. Beyond either limit the result has
     * the error of {@link QuantileBuckets}; for values that are not numbers it fails.
     */
    public static final int EXACT = 1024, EXACT_BYTES = 1 << 15;
    /** Approximate bytes of a list entry and its array. */
    private static final int ENTRY_BYTES = 120;

    private record Value(ColumnValue cell, byte[] raw) {
        private static final Comparator<Value> ORDER =
                Comparator.comparing(Value::cell).thenComparing((a, b) -> Arrays.compareUnsigned(a.raw, b.raw));
    }

    private final ColumnType type;
    private final double share;
    /** The exact values; null once the buckets are used. */
    private List<Value> values = new ArrayList<>();

    private long length;
    private QuantileBuckets buckets;

    QuantileAggregator(ColumnType type, double share) {
        this.type = type;
        this.share = share;
    }

    @Override
    void add(Row row, AggregateColumn column) {
        ColumnValue cell = row.cell(column.slot());
        if (cell == ColumnValue.NULL) {
            return;
        }
        if (values != null) {
            add(new Value(cell, row.raw(column.slot())));
        } else {
            count(cell);
        }
    }

    private void add(Value value) {
        values.add(value);
        length += value.raw.length;
        if (values.size() > EXACT || length > EXACT_BYTES) {
            sketch();
        }
    }

    private void sketch() {
        buckets = new QuantileBuckets();
        values.forEach(value -> count(value.cell));
        values = null;
    }

    private void count(ColumnValue cell) {
        if (type.isNumeric()) {
            buckets.add(
                    cell instanceof ColumnValue.IntegerValue whole
                            ? whole.value()
                            : cell instanceof ColumnValue.FloatValue real
                                    ? real.value()
                                    : ((ColumnValue.DecimalValue) cell).value().doubleValue());
        }
    }

    @Override
    void merge(Aggregator aggregator) {
        var other = (QuantileAggregator) aggregator;
        if (other.values != null) {
            for (Value value : other.values) {
                if (values != null) {
                    add(value);
                } else {
                    count(value.cell);
                }
            }
        } else {
            if (values != null) {
                sketch();
            }
            buckets.merge(other.buckets);
        }
    }

    @Override
    byte[] text() {
        if (values == null) {
            return number(buckets.quantile(share));
        }
        if (values.isEmpty()) {
            return null;
        }
        values.sort(Value.ORDER);
        return values.get((int) rank(share, values.size())).raw;
    }

    /** Index, from 0, of the quantile among that many sorted values. */
    static long rank(double share, long count) {
        return Math.max(0, Math.min(count, (long) Math.ceil(share * count)) - 1);
    }

    private byte[] number(double value) {
        return bytes(
                type.isFloating() || !Double.isFinite(value)
                        ? ExactSum.text(value)
                        : type == ColumnType.INTEGER
                                ? Long.toString(Math.round(value))
                                : BigDecimal.valueOf(value).toPlainString());
    }

    /** Buckets only support numbers, and no numeric beyond the range of a double. */
    @Override
    GatherFault.Kind fault() {
        return values != null
                ? null
                : !type.isNumeric()
                        ? GatherFault.Kind.FULL
                        : !type.isFloating() && Double.isInfinite(buckets.quantile(share))
                                ? GatherFault.Kind.OVERFLOW
                                : null;
    }

    @Override
    double error() {
        return values != null ? 0 : buckets.error();
    }

    @Override
    long weight() {
        return 2 * OBJECT_BYTES + (values != null ? (long) values.size() * ENTRY_BYTES + length : buckets.weight());
    }
}
