package clayhook.scattergather;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Pins the bytes that sketches hash for a value: another format would change estimates and could not be merged with
 * older sketches.
 */
class DistinctAggregatorTest {
    static Stream<Arguments> recordedForms() {
        return Stream.of(
                Arguments.of(new ColumnValue.IntegerValue(-5), "Whole[value=-5]"),
                Arguments.of(new ColumnValue.DecimalValue(new BigDecimal("10.50")), "10.5"),
                Arguments.of(new ColumnValue.FloatValue(1.5), "Real[value=1.5]"),
                Arguments.of(new ColumnValue.TextValue("a".getBytes(StandardCharsets.UTF_8)), "a"),
                Arguments.of(new ColumnValue.TimestampValue(7), "Time[micros=7]"),
                Arguments.of(new ColumnValue.BooleanValue(true), "Flag[value=true]"));
    }

    @ParameterizedTest
    @MethodSource("recordedForms")
    void hashesTheRecordedFormOfEachValue(ColumnValue value, String recorded) {
        assertEquals(recorded, new String(DistinctAggregator.hashedBytes(value), StandardCharsets.UTF_8));
    }
}
