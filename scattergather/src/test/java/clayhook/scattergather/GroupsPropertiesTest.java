package clayhook.scattergather;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.scattergather.Aggregate.Function;
import clayhook.scattergather.RandomParts.Line;
import clayhook.scattergather.RandomParts.Value;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Aggregates of groups match the reference for any order of merges, and sketches stay within their reported errors. */
class GroupsPropertiesTest {
    private static final List<Aggregate> AGGREGATES = List.of(
            Aggregate.count("rows"),
            Aggregate.of(Function.COUNT, "n", "counted"),
            Aggregate.of(Function.SUM, "l", "sum"),
            Aggregate.of(Function.SUM, "n", "sum of decimals"),
            Aggregate.of(Function.LEAST, "at", "least"),
            Aggregate.of(Function.MOST, "t", "most"),
            Aggregate.of(Function.MEAN, "i", "mean"),
            Aggregate.of(Function.DISTINCT, "n", "distinct"),
            Aggregate.quantile("d", 0.5, "median"));

    private static List<Value> present(List<Line> lines, String column) {
        return lines.stream()
                .map(line -> line.values().get(RandomParts.column(column)))
                .filter(value -> value.parsed() != null)
                .toList();
    }

    private static Object sum(List<Value> values) {
        if (values.isEmpty() || values.stream().anyMatch(value -> value.text().equals("NaN"))) {
            return values.isEmpty() ? null : "NaN";
        }
        return values.stream()
                .map(value -> new BigDecimal(value.text()))
                .reduce(BigDecimal.ZERO, BigDecimal::add)
                .toPlainString();
    }

    /** Reference values of the aggregates; a mean is in millionths. */
    private static List<Object> referenceAggregates(List<Line> lines) {
        Comparator<Value> order = RandomParts::compare;
        List<Value> doubles = present(lines, "d").stream().sorted(order).toList();
        var out = new ArrayList<Object>();
        out.add(lines.size());
        out.add(present(lines, "n").size());
        out.add(sum(present(lines, "l")));
        out.add(sum(present(lines, "n")));
        out.add(present(lines, "at").stream().min(order).map(Value::parsed).orElse(null));
        out.add(present(lines, "t").stream().max(order).map(Value::text).orElse(null));
        List<Value> whole = present(lines, "i");
        out.add(
                whole.isEmpty()
                        ? null
                        : whole.stream()
                                        .mapToLong(value -> (Long) value.parsed())
                                        .sum()
                                * 1_000_000
                                / whole.size());
        out.add(present(lines, "n").stream().map(Value::parsed).distinct().count());
        out.add(
                doubles.isEmpty()
                        ? null
                        : doubles.get((doubles.size() + 1) / 2 - 1).parsed());
        return out;
    }

    private static long micros(String text) {
        return ((ColumnValue.TimestampValue) TimestampParser.read(text)).micros();
    }

    private static Object read(int aggregate, String text) {
        return text == null
                ? null
                : switch (aggregate) {
                    case 0, 1 -> Integer.valueOf(text);
                    case 4 -> (micros(text) - micros("2026-03-01 12:00:00.25+00")) / 3_600_000_000L; // hours
                    case 6 -> new BigDecimal(text).movePointRight(6).longValue(); // truncates like integer division
                    case 7 -> Long.valueOf(text);
                    case 8 -> Double.valueOf(text) + 0.0;
                    default -> text;
                };
    }

    @Property(tries = 600, seed = "42")
    void aggregatesMatchReference(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int parts, @ForAll boolean distinct) {
        RandomParts sample = new RandomParts(seed, parts, 20).numberRows(false);
        Duplicates duplicates = distinct ? sample.duplicates(false) : null;
        var spec = new MergeSpec(
                List.of(SortKey.descending("b")),
                false,
                duplicates,
                new Grouping(List.of("b"), AGGREGATES),
                Limit.NONE);
        GatherDriver driver =
                new GatherDriver(seed, GatherPlan.of(spec), RandomParts.COLUMNS, GatherDriver.texts(sample));
        List<Line> lines = distinct ? sample.distinct(duplicates, part -> driver.positions[part]) : sample.all();
        // rows sent before the failure must not count twice
        driver.behaviors.set(0, GatherDriver.PartBehavior.FAILS_ONCE);
        assertEquals(GatherResult.Outcome.COMPLETE, driver.run().outcome());
        var expected = new ArrayList<List<Object>>();
        for (Boolean flag : new Boolean[] {null, true, false}) {
            List<Line> group = RandomParts.groupBy(List.of("b"), lines)
                    .getOrDefault(Collections.singletonList((Object) flag), List.of());
            if (!group.isEmpty()) {
                List<Object> row = referenceAggregates(group);
                row.add(0, flag == null ? null : flag ? "t" : "f");
                expected.add(row);
            }
        }
        var actual = new ArrayList<List<Object>>();
        for (List<String> row : driver.rows) {
            List<Object> read = new ArrayList<>(List.of());
            read.add(row.get(0));
            for (int i = 1; i < row.size(); i++) {
                read.add(read(i - 1, row.get(i)));
            }
            actual.add(read);
        }
        assertEquals(expected, actual);
    }

    private static Row row(ColumnLayout layout, String... values) {
        return layout.reader().row(new GatherPart("p", 0), 1, RowSet.message(Arrays.asList(values)));
    }

    /** Distributes the rows at random over aggregators and merges these in random order. */
    private static Aggregator mergeRandomly(AggregateColumn column, List<Row> rows, Random random) {
        List<Aggregator> aggregators = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            aggregators.add(column.newAggregator());
        }
        List<Row> shuffled = new ArrayList<>(rows);
        Collections.shuffle(shuffled, random);
        shuffled.forEach(row -> aggregators.get(random.nextInt(5)).add(row, column));
        while (aggregators.size() > 1) {
            Aggregator one = aggregators.remove(random.nextInt(aggregators.size()));
            aggregators.get(random.nextInt(aggregators.size())).merge(one);
        }
        return aggregators.get(0);
    }

    /**
     * Numbers of values below and above the limits for exact results: every merge order gives the same bytes, within
     * the reported error.
     */
    @Property(tries = 60, seed = "42")
    void aggregatesDoNotDependOnMergeOrder(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 3000) int count,
            @ForAll @IntRange(max = 40) int spread) {
        var random = new Random(seed);
        List<Column> columns = List.of(Column.of("x", 701), Column.of("n", 1700));
        var grouping = new Grouping(
                List.of(),
                List.of(
                        Aggregate.of(Function.SUM, "x", "sum"),
                        Aggregate.of(Function.MEAN, "x", "mean"),
                        Aggregate.of(Function.DISTINCT, "x", "distinct"),
                        Aggregate.quantile("x", 0.9, "quantile"),
                        Aggregate.of(Function.MEAN, "n", "mean of n"),
                        Aggregate.of(Function.LEAST, "n", "least")));
        ColumnLayout layout = new ColumnLayout(MergeSpec.by().grouped(grouping), columns, part -> 0);
        var rows = new ArrayList<Row>();
        double[] values = random.doubles(count)
                .map(x -> (x - 0.3) * Math.pow(10, random.nextInt(spread + 1) - spread / 2))
                .toArray();
        for (double value : values) {
            rows.add(row(
                    layout, Double.toString(value), List.of("1.0", "1.00", "1").get(random.nextInt(3))));
        }
        for (AggregateColumn column : layout.aggregates()) {
            Aggregator one = mergeRandomly(column, rows, random);
            assertArrayEquals(
                    one.text(),
                    mergeRandomly(column, rows, random).text(),
                    column.aggregate().name());
        }
        Arrays.sort(values);
        Aggregator quantile = mergeRandomly(layout.aggregates().get(3), rows, random);
        double exact = values[(int) QuantileAggregator.rank(0.9, count)];
        double error = Math.abs(Double.parseDouble(new String(quantile.text(), StandardCharsets.UTF_8)) - exact);
        assertTrue(error <= quantile.error() * Math.abs(exact) * (1 + 1e-9) + 1e-300, error + " of " + exact);
        assertEquals(count <= QuantileAggregator.EXACT, quantile.error() == 0);
        Aggregator distinct = mergeRandomly(layout.aggregates().get(2), rows, random);
        assertTrue(Math.abs(Double.parseDouble(new String(distinct.text(), StandardCharsets.UTF_8)) - count)
                <= 6 * distinct.error() * count);
        BigDecimal sum = Arrays.stream(values).mapToObj(BigDecimal::new).reduce(BigDecimal.ZERO, BigDecimal::add);
        assertEquals(
                sum.doubleValue(),
                Double.parseDouble(new String(
                        mergeRandomly(layout.aggregates().get(0), rows, random).text(), StandardCharsets.UTF_8)));
    }

    /** Expected texts are those of PostgreSQL 16. */
    @ParameterizedTest
    @CsvSource(
            nullValues = "null",
            value = {
                "MEAN, 23, 1 2, 1.5000000000000000",
                "MEAN, 23, 0 0, 0.00000000000000000000",
                "MEAN, 23, 1 0 0, 0.33333333333333333333",
                "MEAN, 23, 100000 0 0, 33333.333333333333",
                "MEAN, 1700, 1.25 2, 1.6250000000000000",
                "MEAN, 20, 1 2 2, 1.6666666666666667",
                "MEAN, 701, 1 2, 1.5",
                "MEAN, 23, null, null",
                "SUM, 20, 9223372036854775807 1, 9223372036854775808",
                "SUM, 20, -9223372036854775808 -1 1, -9223372036854775808",
                "SUM, 23, 2147483647 1, 2147483648",
                "SUM, 1700, 1.5 2.25, 3.75",
                "SUM, 1700, NaN 1, NaN",
                "SUM, 701, Infinity -Infinity, NaN",
                "SUM, 701, 0.1 0.2 0.3, 0.6",
                "SUM, 20, null, null",
                "COUNTED, 20, null, 0",
                "COUNTED, 20, 3 4, 7",
                "COUNT, 20, null 4, 1",
                "MOST, 17, \\x0a \\x0b, \\x0b",
                "SUM, 700, 0.5 0.25, 0.75"
            })
    void aggregatesMatchPostgresTextFormat(Function function, int type, String values, String expected) {
        var grouping = new Grouping(List.of(), List.of(Aggregate.of(function, "x", "y")));
        var table = RowSet.table(
                List.of(Column.of("x", type)),
                (values == null ? List.of("null") : List.of(values.split(" ")))
                        .stream()
                                .map(value -> Collections.singletonList(value.equals("null") ? null : value))
                                .toList());
        RowSet.Answer answer = RowSet.gather(
                GatherPlan.of(MergeSpec.by().grouped(grouping)),
                List.of(new RowSet.PartRows(new GatherPart("p", 0), table, "", 1)),
                MemoryPool.of(1 << 20));
        assertEquals(
                Collections.singletonList(expected), RowSet.values(answer.rows().get(0)));
    }

    /**
     * A mean is computed from sums and counts of parts. Results out of range, and quantiles of too many texts, are
     * reported as faults.
     */
    @Test
    void computesMeanFromPartSumsAndReportsOverflow() {
        Supplier<List<Column>> columns =
                () -> List.of(Column.of("s", 1700), Column.of("c", 20), Column.of("x", 700), Column.of("t", 25));
        var rows =
                new ArrayList<List<String>>(List.of(List.of("10", "4", "3e38", "a"), List.of("2", "4", "3e38", "b")));
        assertEquals(
                List.of("1.5000000000000000"),
                RowSet.values(answer(Aggregate.mean("s", "c", "m"), columns.get(), rows)
                        .rows()
                        .get(0)));
        RowSet.Answer beyond = answer(Aggregate.of(Function.SUM, "x", "sum"), columns.get(), rows);
        assertEquals(GatherFault.Kind.OVERFLOW, beyond.result().fault().kind());
        assertEquals(GatherResult.Outcome.FAILED, beyond.result().outcome());
        assertTrue(beyond.rows().isEmpty());
        for (int i = 0; i < QuantileAggregator.EXACT; i++) {
            rows.add(List.of("1", "1", "1", "t" + i));
        }
        assertEquals(
                GatherFault.Kind.FULL,
                answer(Aggregate.quantile("t", 0.5, "q"), columns.get(), rows)
                        .result()
                        .fault()
                        .kind());
        GatherResult sketched = answer(Aggregate.of(Function.DISTINCT, "t", "d"), columns.get(), rows)
                .result();
        assertNull(sketched.fault());
        assertEquals(
                DistinctAggregator.ERROR,
                Objects.requireNonNull(sketched.errors().get("d")));
    }

    private static RowSet.Answer answer(Aggregate aggregate, List<Column> columns, List<List<String>> rows) {
        return RowSet.gather(
                GatherPlan.of(MergeSpec.by().grouped(new Grouping(List.of(), List.of(aggregate)))),
                List.of(new RowSet.PartRows(new GatherPart("p", 0), RowSet.table(columns, rows), "", 1)),
                MemoryPool.of(1 << 20));
    }
}
