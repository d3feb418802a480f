package clayhook.gather;

import java.math.BigDecimal;
import java.util.Arrays;

/**
 * One value of a row, as merging needs it. Cells of one column compare as PostgreSQL orders them, texts by bytes
 * (collation C); those that compare as equal are equal. {@link #NULL} compares with nothing: where nulls go is
 * {@link Key}'s.
 */
public sealed interface Cell extends Comparable<Cell> {
    Cell NULL = new Null();

    /** A number that never contradicts {@link #compareTo}: of unlike ones the lesser has the lesser cell. */
    long rough();

    /** No value. */
    record Null() implements Cell {
        @Override
        public long rough() {
            return 0;
        }

        @Override
        public int compareTo(Cell other) {
            return 0;
        }
    }

    /** Of int2, int4, int8 and oid. */
    record Whole(long value) implements Cell {
        @Override
        public long rough() {
            return value;
        }

        @Override
        public int compareTo(Cell other) {
            return Long.compare(value, ((Whole) other).value);
        }
    }

    /** A finite numeric; 1.0 equals 1.00. */
    record Decimal(BigDecimal value) implements Cell {
        @Override
        public long rough() {
            return Real.rough(value.doubleValue());
        }

        @Override
        public int compareTo(Cell other) {
            return other instanceof Decimal decimal ? value.compareTo(decimal.value) : -other.compareTo(this);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Decimal decimal && value.compareTo(decimal.value) == 0;
        }

        @Override
        public int hashCode() {
            return value.stripTrailingZeros().hashCode();
        }
    }

    /** A double, or a numeric that is infinite or NaN. NaN equals itself and is above all others, -0 equals 0. */
    record Real(double value) implements Cell {
        public Real {
            value += 0.0; // no -0
        }

        @Override
        public long rough() {
            return rough(value);
        }

        private static long rough(double value) {
            long bits = Double.doubleToLongBits(value);
            return bits ^ bits >> 63 & Long.MAX_VALUE; // negative ones the other way round
        }

        @Override
        public int compareTo(Cell other) {
            return other instanceof Real real
                    ? Double.compare(value, real.value)
                    : value == Double.NEGATIVE_INFINITY ? -1 : 1;
        }
    }

    /** Text, uuid and bytea, the latter two in their one form of digits, whose order is that of the bytes meant. */
    record Text(byte[] bytes) implements Cell {
        /** The first eight bytes. */
        @Override
        public long rough() {
            long head = 0;
            for (int i = 0; i < Long.BYTES; i++) {
                head = head << Byte.SIZE | (i < bytes.length ? bytes[i] & 0xff : 0);
            }
            return head ^ Long.MIN_VALUE;
        }

        @Override
        public int compareTo(Cell other) {
            return Arrays.compareUnsigned(bytes, ((Text) other).bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Text text && Arrays.equals(bytes, text.bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }
    }

    /**
     * Microseconds since 1970 of a date, or of a time with its zone or without; the ends of long are the infinite ones.
     */
    record Time(long micros) implements Cell {
        @Override
        public long rough() {
            return micros;
        }

        @Override
        public int compareTo(Cell other) {
            return Long.compare(micros, ((Time) other).micros);
        }
    }

    record Flag(boolean value) implements Cell {
        @Override
        public long rough() {
            return value ? 1 : 0;
        }

        @Override
        public int compareTo(Cell other) {
            return Boolean.compare(value, ((Flag) other).value);
        }
    }
}
