package clayhook.scattergather;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** A quantile as percentile_disc has it. Values up to a bound are held; beyond it numbers go into buckets. */
public final class QuantileAggregator extends Aggregator {
    /**
     * So many values give an exact quantile; more are told with {@link QuantileBuckets}' error, or not at all where
     * they are no numbers.
     */
    public static final int EXACT = 1024, EXACT_BYTES = 1 << 15;
    /** Of an entry and its bytes, about. */
    private static final int ENTRY_BYTES = 120;

    private record Value(ColumnValue cell, byte[] raw) {
        private static final Comparator<Value> ORDER =
                Comparator.comparing(Value::cell).thenComparing((a, b) -> Arrays.compareUnsigned(a.raw, b.raw));
    }

    private final ColumnType type;
    private final double share;
    /** Null once there are too many. */
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

    /** Which of that many sorted values it is, from 0. */
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

    /** Buckets hold numbers only, and no numeric that is beyond a double. */
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
