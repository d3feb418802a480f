package clayhook.scattergather;

import java.math.BigDecimal;
import java.util.Arrays;

/**
 * A parsed value of a row. Values of one column compare in PostgreSQL's order, texts by bytes (collation C); values
 * that compare as equal are equal. {@link #NULL} must not be compared: {@link SortKey} decides the position of nulls.
 */
public sealed interface ColumnValue extends Comparable<ColumnValue> {
    ColumnValue NULL = new NullValue();

    /**
     * A number whose order never contradicts {@link #compareTo}: if two prefixes differ, the value with the smaller
     * prefix is smaller.
     */
    long sortPrefix();

    /** SQL NULL. */
    record NullValue() implements ColumnValue {
        @Override
        public long sortPrefix() {
            return 0;
        }

        @Override
        public int compareTo(ColumnValue other) {
            return 0;
        }
    }

    /** An int2, int4, int8 or oid. */
    record IntegerValue(long value) implements ColumnValue {
        @Override
        public long sortPrefix() {
            return value;
        }

        @Override
        public int compareTo(ColumnValue other) {
            return Long.compare(value, ((IntegerValue) other).value);
        }
    }

    /** A finite numeric; 1.0 equals 1.00. */
    record DecimalValue(BigDecimal value) implements ColumnValue {
        @Override
        public long sortPrefix() {
            return FloatValue.sortPrefix(value.doubleValue());
        }

        @Override
        public int compareTo(ColumnValue other) {
            return other instanceof DecimalValue decimal ? value.compareTo(decimal.value) : -other.compareTo(this);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof DecimalValue decimal && value.compareTo(decimal.value) == 0;
        }

        @Override
        public int hashCode() {
            return value.stripTrailingZeros().hashCode();
        }
    }

    /**
     * A float4 or float8, or a numeric that is infinite or NaN. NaN equals itself and is greater than all others; -0
     * equals 0.
     */
    record FloatValue(double value) implements ColumnValue {
        public FloatValue {
            value += 0.0; // turns -0 into 0
        }

        @Override
        public long sortPrefix() {
            return sortPrefix(value);
        }

        private static long sortPrefix(double value) {
            long bits = Double.doubleToLongBits(value);
            return bits ^ (bits >> 63 & Long.MAX_VALUE); // reverses the order of negative numbers
        }

        @Override
        public int compareTo(ColumnValue other) {
            return other instanceof FloatValue real
                    ? Double.compare(value, real.value)
                    : value == Double.NEGATIVE_INFINITY ? -1 : 1;
        }
    }

    /**
     * A text, uuid or bytea. The accepted text form of the latter two is unique, and its order is that of the bytes it
     * represents.
     */
    record TextValue(byte[] bytes) implements ColumnValue {
        /** The first eight bytes, in unsigned order. */
        @Override
        public long sortPrefix() {
            long head = 0;
            for (int i = 0; i < Long.BYTES; i++) {
                head = head << Byte.SIZE | (i < bytes.length ? bytes[i] & 0xff : 0);
            }
            return head ^ Long.MIN_VALUE;
        }

        @Override
        public int compareTo(ColumnValue other) {
            return Arrays.compareUnsigned(bytes, ((TextValue) other).bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof TextValue text && Arrays.equals(bytes, text.bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }
    }

    /**
     * A date, or a timestamp with or without time zone, in microseconds since 1970. Long.MIN_VALUE and Long.MAX_VALUE
     * are the infinities.
     */
    record TimestampValue(long micros) implements ColumnValue {
        @Override
        public long sortPrefix() {
            return micros;
        }

        @Override
        public int compareTo(ColumnValue other) {
            return Long.compare(micros, ((TimestampValue) other).micros);
        }
    }

    record BooleanValue(boolean value) implements ColumnValue {
        @Override
        public long sortPrefix() {
            return value ? 1 : 0;
        }

        @Override
        public int compareTo(ColumnValue other) {
            return Boolean.compare(value, ((BooleanValue) other).value);
        }
    }
}
