package clayhook.scattergather;

import java.math.BigDecimal;
import java.util.Arrays;

/**
 * One value of a row, as merging needs it. Cells of one column compare as PostgreSQL orders them, texts by bytes
 * (collation C); those that compare as equal are equal. {@link #NULL} compares with nothing: where nulls go is
 * {@link SortKey}'s.
 */
public sealed interface ColumnValue extends Comparable<ColumnValue> {
    ColumnValue NULL = new NullValue();

    /** A number that never contradicts {@link #compareTo}: of unlike ones the lesser has the lesser cell. */
    long sortPrefix();

    /** No value. */
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

    /** Of int2, int4, int8 and oid. */
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

    /** A double, or a numeric that is infinite or NaN. NaN equals itself and is above all others, -0 equals 0. */
    record FloatValue(double value) implements ColumnValue {
        public FloatValue {
            value += 0.0; // no -0
        }

        @Override
        public long sortPrefix() {
            return sortPrefix(value);
        }

        private static long sortPrefix(double value) {
            long bits = Double.doubleToLongBits(value);
            return bits ^ (bits >> 63 & Long.MAX_VALUE); // negative ones the other way round
        }

        @Override
        public int compareTo(ColumnValue other) {
            return other instanceof FloatValue real
                    ? Double.compare(value, real.value)
                    : value == Double.NEGATIVE_INFINITY ? -1 : 1;
        }
    }

    /** Text, uuid and bytea, the latter two in their one form of digits, whose order is that of the bytes meant. */
    record TextValue(byte[] bytes) implements ColumnValue {
        /** The first eight bytes. */
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
     * Microseconds since 1970 of a date, or of a time with its zone or without; the ends of long are the infinite ones.
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
