package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing and comparison of values in PostgreSQL's text format. */
class ValuesTest {
    private static ColumnValue read(int type, String text) {
        byte[] bytes = ("xx" + text + "9").getBytes(UTF_8); // surrounding bytes that must not be read
        return ColumnType.of(type).read(bytes, 2, bytes.length - 3);
    }

    /** Each list is in PostgreSQL's order; equal values are joined by an equals sign. */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '"',
            value = {
                "20, -9223372036854775808 -100 -1 0 7 1000000000000000000 9223372036854775807",
                "1700, -Infinity -12345678901234567890.5 -1.5=-1.50 0=0.00 .5 1 12345678901234567890.25 Infinity NaN",
                "701, -Infinity -1e300 -0=0 5e-324 0.1 1e300 Infinity NaN=NaN",
                "700, -3.4e38 0.1 0.2 NaN",
                "25, A B a ab é \uFF5E \uD83D\uDE00",
                "16, f t",
                "17, \\x \\x00 \\x0a \\x0a00 \\xff",
                "2950, 00000000-0000-0000-0000-00000000000a f0000000-0000-0000-0000-000000000000",
                "1082, -infinity 0044-03-15_BC 0001-01-01 1970-01-01 2024-02-29 10000-01-01 infinity",
                "1114, -infinity 1969-12-31_23:59:59.999999 1970-01-01_00:00:00 1970-01-01_00:00:00.1=1970-01-01_00:00:00.100000 infinity",
                "1184, 2026-03-01_12:00:00+05:30 2026-03-01_12:00:00+00=2026-03-01_13:00:00+01=2026-03-01_06:30:00-05:30 2026-03-01_12:00:00.5+00"
            })
    void ordersValuesLikePostgres(int type, String texts) {
        String[] ranks = texts.split(" ");
        for (int i = 0; i < ranks.length; i++) {
            for (int j = 0; j < ranks.length; j++) {
                for (String one : ranks[i].split("=")) {
                    for (String other : ranks[j].split("=")) {
                        ColumnValue a = read(type, one.replace('_', ' '));
                        ColumnValue b = read(type, other.replace('_', ' '));
                        assertNotNull(a, one);
                        assertEquals(Integer.signum(i - j), Integer.signum(a.compareTo(b)), one + " and " + other);
                        assertEquals(i == j, a.equals(b));
                        assertTrue(i != j || a.hashCode() == b.hashCode());
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "null",
            value = {
                "20, ''",
                "20, -",
                "20, 1x",
                "20, 9223372036854775808",
                "20, +1",
                "1700, ''",
                "1700, 1e5",
                "1700, 1.2.3",
                "1700, -",
                "701, 1d",
                "701, 0x1p3",
                "701, ' 1'",
                "701, ''",
                "16, true",
                "17, abc",
                "17, \\xAB",
                "2950, abc",
                "1184, 2026-02-30 00:00:00+00",
                "1184, 2026-13-01",
                "1114, 2026-01-01T00:00:00",
                "1114, 2026-01-01 23:60:00",
                "1114, 01/02/2026",
                "1082, 999999-01-01",
                "114, {}"
            })
    void rejectsInvalidText(int type, String text) {
        assertNull(read(type, text));
    }

    @Test
    void ignoresTrailingBlanksOfChar() {
        assertEquals(read(1042, "a"), read(1042, "a   "));
    }

    /**
     * Garbled messages are either read as a row or rejected, without an exception; complete rows are reproduced
     * unchanged.
     */
    @Property(tries = 2000, seed = "42")
    void toleratesGarbledMessages(@ForAll long seed) {
        var random = new Random(seed);
        byte[] message = RowSet.message(Arrays.asList("abc", null, "", "x".repeat(random.nextInt(300))));
        assertEquals(4, Row.width(message));
        assertEquals(Arrays.asList("abc", null, ""), RowSet.values(message).subList(0, 3));
        message[random.nextInt(message.length)] ^= (byte) (1 << random.nextInt(8));
        if (random.nextBoolean()) {
            message = Arrays.copyOf(message, random.nextInt(message.length + 3));
        }
        if (Row.width(message) >= 0) {
            assertArrayEquals(message, Row.message(new Row(null, 0, message, null, new ColumnValue[0]).fields()));
        }
        byte[] columns = Column.write(RandomParts.COLUMNS);
        assertEquals(RandomParts.COLUMNS, Column.read(columns));
        columns[random.nextInt(columns.length)] ^= (byte) (1 << random.nextInt(8));
        columns = random.nextBoolean() ? columns : Arrays.copyOf(columns, random.nextInt(columns.length));
        assertEquals(
                columns.length == Column.write(RandomParts.COLUMNS).length || Column.read(columns) != null,
                columns.length == Column.write(RandomParts.COLUMNS).length); // read completely or rejected
    }
}
