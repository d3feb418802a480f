package clayhook.scattergather;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.MathContext;
import java.math.RoundingMode;

/**
 * An exact sum, also of doubles. Each double is a finite binary fraction, so the sum is computed exactly and rounded
 * once. It does not depend on the order, whereas a sum computed by a node, which rounds at each step, may differ in the
 * last digits.
 */
final class ExactSum {
    /**
     * Minimum significant digits (as numeric.c describes them) and maximum scale of a quotient of numerics in
     * PostgreSQL.
     */
    private static final int MIN_SIGNIFICANT_DIGITS = 16, MAX_SCALE = 1000;
    /** Decimal digits in one base-10,000 digit, the unit in which PostgreSQL estimates the size of a quotient. */
    private static final int DIGITS_PER_GROUP = 4;

    private long longSum;
    /** Sum of everything that overflowed {@code longSum} or is not an integer; null if there is nothing. */
    private BigDecimal decimalSum;
    /** Sum of infinities and NaNs; 0 if there are none. */
    private double nonFinite;

    private boolean hasValues;

    void add(ColumnValue cell) {
        if (cell instanceof ColumnValue.IntegerValue whole) {
            add(whole.value());
        } else if (cell instanceof ColumnValue.DecimalValue decimal) {
            add(decimal.value());
        } else if (cell instanceof ColumnValue.FloatValue real) {
            if (Double.isFinite(real.value())) {
                add(new BigDecimal(real.value()));
            } else {
                nonFinite += real.value();
                hasValues = true;
            }
        }
    }

    void add(long value) {
        long sum = longSum + value;
        if (((longSum ^ sum) & (value ^ sum)) < 0) { // overflow
            add(BigDecimal.valueOf(longSum));
            sum = value;
        }
        longSum = sum;
        hasValues = true;
    }

    private void add(BigDecimal value) {
        decimalSum = decimalSum == null ? value : decimalSum.add(value);
        hasValues = true;
    }

    void merge(ExactSum other) {
        if (other.hasValues) {
            add(other.longSum);
        }
        if (other.decimalSum != null) {
            add(other.decimalSum);
        }
        nonFinite += other.nonFinite;
    }

    boolean hasValues() {
        return hasValues;
    }

    BigDecimal exact() {
        BigDecimal whole = BigDecimal.valueOf(longSum);
        return decimalSum == null ? whole : decimalSum.add(whole);
    }

    /** Whether the result exceeds the range of its type. */
    boolean overflows(int type) {
        return switch (type) {
            case ColumnType.INT8 -> exact().toBigInteger().bitLength() >= Long.SIZE;
            case ColumnType.FLOAT4 -> nonFinite == 0 && Float.isInfinite(exact().floatValue());
            case ColumnType.FLOAT8 -> nonFinite == 0 && Double.isInfinite(exact().doubleValue());
            default -> false;
        };
    }

    /** The sum in the given type, in PostgreSQL's text format; null if there are no values. */
    byte[] text(int type) {
        if (!hasValues) {
            return null;
        }
        if (nonFinite != 0) {
            return Aggregator.bytes(text(nonFinite));
        }
        return Aggregator.bytes(
                switch (type) {
                    case ColumnType.FLOAT4 -> text(exact().floatValue());
                    case ColumnType.FLOAT8 -> text(exact().doubleValue());
                    default -> exact().toPlainString();
                });
    }

    /** The mean in the given type over the given number of values; null if there are no values. */
    byte[] mean(int type, BigInteger count) {
        if (!hasValues || count.signum() == 0) {
            return null;
        }
        if (nonFinite != 0) {
            return Aggregator.bytes(text(nonFinite));
        }
        BigDecimal divisor = new BigDecimal(count);
        return Aggregator.bytes(
                type == ColumnType.FLOAT8
                        ? text(exact().divide(divisor, MathContext.DECIMAL128).doubleValue())
                        : exact().divide(divisor, scale(exact(), divisor), RoundingMode.HALF_UP)
                                .toPlainString());
    }

    /** Scale of a quotient, chosen as in PostgreSQL. */
    private static int scale(BigDecimal value, BigDecimal divisor) {
        int size =
                groupExponent(value) - groupExponent(divisor) - (leadingGroup(value) <= leadingGroup(divisor) ? 1 : 0);
        return Math.min(
                MAX_SCALE, Math.max(Math.max(0, MIN_SIGNIFICANT_DIGITS - size * DIGITS_PER_GROUP), value.scale()));
    }

    /** Exponent, to the base 10,000, of the first base-10,000 digit. */
    private static int groupExponent(BigDecimal value) {
        return value.signum() == 0 ? 0 : Math.floorDiv(value.precision() - value.scale() - 1, DIGITS_PER_GROUP);
    }

    /** The first base-10,000 digit. */
    private static int leadingGroup(BigDecimal value) {
        return value.abs()
                .scaleByPowerOfTen(-DIGITS_PER_GROUP * groupExponent(value))
                .intValue();
    }

    /** Formats a number without the ".0" that Java appends to integral values. */
    static String text(double value) {
        return trimmed(Double.toString(value));
    }

    static String text(float value) {
        return trimmed(Float.toString(value));
    }

    private static String trimmed(String text) {
        return text.endsWith(".0") ? text.substring(0, text.length() - 2) : text;
    }

    long weight() {
        return Aggregator.OBJECT_BYTES
                + (decimalSum == null
                        ? 0
                        : Aggregator.OBJECT_BYTES + decimalSum.unscaledValue().bitLength() / 8L);
    }

    /** A sum, or a sum of counts, which is 0 without values. */
    static final class SumAggregator extends Aggregator {
        private final ExactSum sum = new ExactSum();
        private final int type;
        private final boolean isCount;

        SumAggregator(int type, boolean isCount) {
            this.type = type;
            this.isCount = isCount;
        }

        @Override
        void add(Row row, AggregateColumn column) {
            sum.add(row.cell(column.slot()));
        }

        @Override
        void merge(Aggregator other) {
            sum.merge(((SumAggregator) other).sum);
        }

        @Override
        byte[] text() {
            return isCount && !sum.hasValues ? bytes("0") : sum.text(type);
        }

        @Override
        GatherFault.Kind fault() {
            return sum.overflows(type) ? GatherFault.Kind.OVERFLOW : null;
        }

        @Override
        long weight() {
            return OBJECT_BYTES + sum.weight();
        }
    }

    /** A mean of values, or of sums and counts computed by the parts. */
    static final class MeanAggregator extends Aggregator {
        private final ExactSum sum = new ExactSum();
        private final ExactSum count = new ExactSum();
        private final int type;

        MeanAggregator(int type) {
            this.type = type;
        }

        @Override
        void add(Row row, AggregateColumn column) {
            ColumnValue value = row.cell(column.slot());
            ColumnValue valueCount = column.countSlot() < 0 ? null : row.cell(column.countSlot());
            if (value != ColumnValue.NULL && valueCount != ColumnValue.NULL) {
                sum.add(value);
                count.add(valueCount == null ? 1 : ((ColumnValue.IntegerValue) valueCount).value());
            }
        }

        @Override
        void merge(Aggregator aggregator) {
            var other = (MeanAggregator) aggregator;
            sum.merge(other.sum);
            count.merge(other.count);
        }

        @Override
        byte[] text() {
            return sum.mean(type, count.exact().toBigInteger());
        }

        @Override
        long weight() {
            return OBJECT_BYTES + sum.weight() + count.weight();
        }
    }
}
