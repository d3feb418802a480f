package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.math.BigDecimal;
import java.util.Arrays;

/**
 * Parser for the text format of a column, chosen by the OID of its PostgreSQL type (pg_type.dat; these OIDs never
 * change).
 */
enum ColumnType {
    INTEGER,
    DECIMAL,
    FLOAT,
    DOUBLE,
    TEXT,
    PADDED_TEXT,
    TIMESTAMP,
    BOOLEAN,
    BYTES,
    UUID,
    /** Passed through unread; cannot be used as a key because its order is unknown. */
    OPAQUE;
    static final int INT2 = 21, INT4 = 23, INT8 = 20, NUMERIC = 1700, FLOAT4 = 700, FLOAT8 = 701;
    /**
     * Maximum length of a number. PostgreSQL allows longer ones, but the time to parse one grows with the square of its
     * digits.
     */
    private static final int MAX_NUMBER_DIGITS = 1024;
    /** Number of decimal digits that always fit into a long. */
    private static final int LONG_SAFE_DIGITS = 18;

    private static final int UUID_LENGTH = 36;

    static ColumnType of(int oid) {
        return switch (oid) {
            case INT2, INT4, INT8, 26 -> INTEGER;
            case NUMERIC -> DECIMAL;
            case FLOAT4 -> FLOAT;
            case FLOAT8 -> DOUBLE;
            case 25, 1043, 18, 19 -> TEXT;
            case 1042 -> PADDED_TEXT;
            case 1082, 1114, 1184 -> TIMESTAMP;
            case 16 -> BOOLEAN;
            case 17 -> BYTES;
            case 2950 -> UUID;
            default -> OPAQUE;
        };
    }

    boolean isNumeric() {
        return this == INTEGER || this == DECIMAL || isFloating();
    }

    boolean isFloating() {
        return this == FLOAT || this == DOUBLE;
    }

    /** Parses the bytes; returns null if they are not a valid value of this type. */
    ColumnValue read(byte[] in, int from, int length) {
        return switch (this) {
            case INTEGER -> whole(in, from, length);
            case DECIMAL -> decimal(in, from, length);
            case FLOAT, DOUBLE -> real(in, from, length);
            case TEXT -> new ColumnValue.TextValue(Arrays.copyOfRange(in, from, from + length));
            case PADDED_TEXT -> padded(in, from, length);
            case TIMESTAMP -> TimestampParser.read(new String(in, from, length, ISO_8859_1));
            case BOOLEAN ->
                length == 1 && (in[from] == 't' || in[from] == 'f')
                        ? new ColumnValue.BooleanValue(in[from] == 't')
                        : null;
            case BYTES ->
                length >= 2 && in[from] == '\\' && in[from + 1] == 'x' && isHexOrDash(in, from + 2, length - 2)
                        ? new ColumnValue.TextValue(Arrays.copyOfRange(in, from, from + length))
                        : null;
            case UUID ->
                length == UUID_LENGTH && isHexOrDash(in, from, length)
                        ? new ColumnValue.TextValue(Arrays.copyOfRange(in, from, from + length))
                        : null;
            case OPAQUE -> null;
        };
    }

    private static ColumnValue whole(byte[] in, int from, int length) {
        if (length > LONG_SAFE_DIGITS) { // rare; parseLong checks for overflow
            try {
                return new ColumnValue.IntegerValue(Long.parseLong(new String(in, from, length, ISO_8859_1)));
            } catch (NumberFormatException e) {
                return null;
            }
        }
        boolean negative = length > 0 && in[from] == '-';
        long value = 0;
        for (int i = from + (negative ? 1 : 0); i < from + length; i++) {
            int digit = in[i] - '0';
            if (digit < 0 || digit > 9) {
                return null;
            }
            value = 10 * value + digit;
        }
        return length > (negative ? 1 : 0) ? new ColumnValue.IntegerValue(negative ? -value : value) : null;
    }

    private static ColumnValue decimal(byte[] in, int from, int length) {
        boolean negative = length > 0 && in[from] == '-';
        int start = from + (negative ? 1 : 0);
        int pointIndex = -1;
        long value = 0;
        for (int i = start; i < from + length; i++) {
            int digit = in[i] - '0';
            if (in[i] == '.' && pointIndex < 0) {
                pointIndex = i;
            } else if (digit < 0
                    || digit > 9) { // exponents are rejected too: PostgreSQL writes none, and expanding "1e999999999"
                // would not terminate
                return special(new String(in, from, length, ISO_8859_1));
            } else {
                value = 10 * value + digit;
            }
        }
        int digits = from + length - start - (pointIndex < 0 ? 0 : 1);
        if (digits < 1 || digits > MAX_NUMBER_DIGITS) {
            return null;
        }
        return digits > LONG_SAFE_DIGITS
                ? new ColumnValue.DecimalValue(new BigDecimal(new String(in, from, length, ISO_8859_1)))
                : new ColumnValue.DecimalValue(BigDecimal.valueOf(
                        negative ? -value : value, pointIndex < 0 ? 0 : from + length - pointIndex - 1));
    }

    private ColumnValue real(byte[] in, int from, int length) {
        String text = new String(in, from, length, ISO_8859_1);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if ((c < '0' || c > '9')
                    && "+-.eE".indexOf(c) < 0) { // rejects what only Java accepts, such as "1d" or " 1"
                return special(text);
            }
        }
        if (length > MAX_NUMBER_DIGITS) {
            return null;
        }
        try {
            return new ColumnValue.FloatValue(this == FLOAT ? Float.parseFloat(text) : Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static ColumnValue special(String text) {
        return switch (text) {
            case "NaN" -> new ColumnValue.FloatValue(Double.NaN);
            case "Infinity" -> new ColumnValue.FloatValue(Double.POSITIVE_INFINITY);
            case "-Infinity" -> new ColumnValue.FloatValue(Double.NEGATIVE_INFINITY);
            default -> null;
        };
    }

    /** Parses a char(n), whose trailing blanks are insignificant. */
    private static ColumnValue padded(byte[] in, int from, int length) {
        int end = from + length;
        while (end > from && in[end - 1] == ' ') {
            end--;
        }
        return new ColumnValue.TextValue(Arrays.copyOfRange(in, from, end));
    }

    /**
     * Whether there are only lower-case hexadecimal digits and dashes; otherwise the order of the texts differs from
     * the order of the values.
     */
    private static boolean isHexOrDash(byte[] in, int from, int length) {
        for (int i = from; i < from + length; i++) {
            if ((in[i] < '0' || in[i] > '9') && (in[i] < 'a' || in[i] > 'f') && in[i] != '-') {
                return false;
            }
        }
        return true;
    }
}
