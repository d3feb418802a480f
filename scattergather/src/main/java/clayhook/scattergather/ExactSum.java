package clayhook.scattergather;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.MathContext;
import java.math.RoundingMode;

/**
 * An exact sum, of doubles too: each is a finite binary fraction, so their sum is known to the last digit and rounded
 * once. Hence it does not depend on the order; a sum of a node itself, which rounds at each step, may end in other
 * digits.
 */
final class ExactSum {
    /**
     * What PostgreSQL's quotients of numerics have at least (numeric.c describes it as significant digits), and at
     * most.
     */
    private static final int LEAST_DIGITS = 16, MOST_SCALE = 1000;
    /** PostgreSQL reckons the size of a quotient in digits of that many decimal ones. */
    private static final int GROUP = 4;

    private long small;
    /** What went beyond a long, and all that is not whole; null for none. */
    private BigDecimal big;
    /** Sum of infinities and NaNs; 0 for none. */
    private double special;

    private boolean any;

    void add(ColumnValue cell) {
        if (cell instanceof ColumnValue.IntegerValue whole) {
            add(whole.value());
        } else if (cell instanceof ColumnValue.DecimalValue decimal) {
            add(decimal.value());
        } else if (cell instanceof ColumnValue.FloatValue real) {
            if (Double.isFinite(real.value())) {
                add(new BigDecimal(real.value()));
            } else {
                special += real.value();
                any = true;
            }
        }
    }

    void add(long value) {
        long sum = small + value;
        if (((small ^ sum) & (value ^ sum)) < 0) { // beyond a long
            add(BigDecimal.valueOf(small));
            sum = value;
        }
        small = sum;
        any = true;
    }

    private void add(BigDecimal value) {
        big = big == null ? value : big.add(value);
        any = true;
    }

    void join(ExactSum other) {
        if (other.any) {
            add(other.small);
        }
        if (other.big != null) {
            add(other.big);
        }
        special += other.special;
    }

    boolean any() {
        return any;
    }

    BigDecimal exact() {
        BigDecimal whole = BigDecimal.valueOf(small);
        return big == null ? whole : big.add(whole);
    }

    /** Whether the result does not fit its type. */
    boolean overflows(int type) {
        return switch (type) {
            case ColumnType.INT8 -> exact().toBigInteger().bitLength() >= Long.SIZE;
            case ColumnType.FLOAT4 -> special == 0 && Float.isInfinite(exact().floatValue());
            case ColumnType.FLOAT8 -> special == 0 && Double.isInfinite(exact().doubleValue());
            default -> false;
        };
    }

    /** The sum in that type, as PostgreSQL writes it; null for none. */
    byte[] text(int type) {
        if (!any) {
            return null;
        }
        if (special != 0) {
            return Aggregator.bytes(text(special));
        }
        return Aggregator.bytes(
                switch (type) {
                    case ColumnType.FLOAT4 -> text(exact().floatValue());
                    case ColumnType.FLOAT8 -> text(exact().doubleValue());
                    default -> exact().toPlainString();
                });
    }

    /** The mean in that type over that many values. */
    byte[] mean(int type, BigInteger count) {
        if (!any || count.signum() == 0) {
            return null;
        }
        if (special != 0) {
            return Aggregator.bytes(text(special));
        }
        BigDecimal divisor = new BigDecimal(count);
        return Aggregator.bytes(
                type == ColumnType.FLOAT8
                        ? text(exact().divide(divisor, MathContext.DECIMAL128).doubleValue())
                        : exact().divide(divisor, scale(exact(), divisor), RoundingMode.HALF_UP)
                                .toPlainString());
    }

    /** Digits after the point of a quotient, as PostgreSQL chooses them. */
    private static int scale(BigDecimal value, BigDecimal divisor) {
        int size = place(value) - place(divisor) - (first(value) <= first(divisor) ? 1 : 0);
        return Math.min(MOST_SCALE, Math.max(Math.max(0, LEAST_DIGITS - size * GROUP), value.scale()));
    }

    /** Which power of 10,000 the first digit of that base stands for. */
    private static int place(BigDecimal value) {
        return value.signum() == 0 ? 0 : Math.floorDiv(value.precision() - value.scale() - 1, GROUP);
    }

    /** The first digit to base 10,000. */
    private static int first(BigDecimal value) {
        return value.abs().scaleByPowerOfTen(-GROUP * place(value)).intValue();
    }

    /** Without the zeros that Java puts behind whole numbers. */
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
        return Aggregator.OBJECT
                + (big == null ? 0 : Aggregator.OBJECT + big.unscaledValue().bitLength() / 8L);
    }

    /** A sum, or a sum of counts, which is 0 without any. */
    static final class SumAggregator extends Aggregator {
        private final ExactSum sum = new ExactSum();
        private final int type;
        private final boolean counted;

        SumAggregator(int type, boolean counted) {
            this.type = type;
            this.counted = counted;
        }

        @Override
        void add(Row row, AggregateColumn figure) {
            sum.add(row.cell(figure.slot()));
        }

        @Override
        void join(Aggregator other) {
            sum.join(((SumAggregator) other).sum);
        }

        @Override
        byte[] text() {
            return counted && !sum.any ? bytes("0") : sum.text(type);
        }

        @Override
        GatherFault.Kind fault() {
            return sum.overflows(type) ? GatherFault.Kind.OVERFLOW : null;
        }

        @Override
        long weight() {
            return OBJECT + sum.weight();
        }
    }

    /** A mean, of values or of the parts' own sums and counts. */
    static final class MeanAggregator extends Aggregator {
        private final ExactSum sum = new ExactSum();
        private final ExactSum count = new ExactSum();
        private final int type;

        MeanAggregator(int type) {
            this.type = type;
        }

        @Override
        void add(Row row, AggregateColumn figure) {
            ColumnValue value = row.cell(figure.slot());
            ColumnValue times = figure.bySlot() < 0 ? null : row.cell(figure.bySlot());
            if (value != ColumnValue.NULL && times != ColumnValue.NULL) {
                sum.add(value);
                count.add(times == null ? 1 : ((ColumnValue.IntegerValue) times).value());
            }
        }

        @Override
        void join(Aggregator tally) {
            var other = (MeanAggregator) tally;
            sum.join(other.sum);
            count.join(other.count);
        }

        @Override
        byte[] text() {
            return sum.mean(type, count.exact().toBigInteger());
        }

        @Override
        long weight() {
            return OBJECT + sum.weight() + count.weight();
        }
    }
}
