package clayhook.scattergather;

import java.math.BigDecimal;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Random parts with rows of all types, drawn from a seed, and a reference implementation of merging with lists, a sort
 * and a map.
 */
final class RandomParts {
    /** A value and its text; both are null for SQL NULL. */
    record Value(Comparable<?> parsed, String text) {}

    /** A row with its part and its row number. */
    record Line(int part, int number, List<Value> values) {
        List<String> texts() {
            return values.stream().map(Value::text).toList();
        }
    }

    static final List<Column> COLUMNS = List.of(
            Column.of("i", 23),
            Column.of("l", 20),
            Column.of("n", 1700),
            Column.of("d", 701),
            Column.of("t", 25),
            Column.of("at", 1184),
            Column.of("b", 16),
            Column.of("outcome", 25),
            Column.of("rest", 114));
    private static final int OPAQUE = 8;
    private static final List<Set<String>> LEVELS = List.of(Set.of("run", "not run"), Set.of("unknown", "?"));
    private static final List<String> OUTCOMES = List.of("run", "not run", "unknown", "?", "other");

    final Random random;
    final List<List<Line>> parts = new ArrayList<>();
    final List<SortKey> keys = new ArrayList<>();

    RandomParts(long seed, int parts, int rows) {
        random = new Random(seed);
        List<String> names = new ArrayList<>(
                COLUMNS.subList(0, OPAQUE).stream().map(Column::name).toList());
        Collections.shuffle(names, random);
        for (String name : names.subList(0, 1 + random.nextInt(3))) {
            keys.add(new SortKey(name, random.nextBoolean(), random.nextBoolean()));
        }
        for (int part = 0; part < parts; part++) {
            var lines = new ArrayList<Line>();
            for (int i = random.nextInt(rows + 1); i > 0; i--) {
                lines.add(line(part, 0));
            }
            this.parts.add(lines);
        }
    }

    Line line(int part, int number) {
        var values = new ArrayList<Value>();
        for (int column = 0; column < COLUMNS.size(); column++) {
            values.add(random.nextInt(6) == 0 ? new Value(null, null) : value(column));
        }
        return new Line(part, number, values);
    }

    /** Draws from few distinct values, so that ties and duplicates occur. */
    private Value value(int column) {
        int small = random.nextInt(5) - 2;
        return switch (column) {
            case 0 -> new Value((long) small, "" + small);
            case 1 -> {
                long value = random.nextInt(4) == 0 ? Long.MAX_VALUE - random.nextInt(2) : small;
                yield new Value(value, "" + value);
            }
            case 2 -> random.nextInt(12) == 0 ? new Value(Decimal.NAN, "NaN") : decimal(small);
            case 3 -> {
                double value = List.of(-1e300, -0.0, 0.0, 0.1, 3e-5, Double.NaN, Double.POSITIVE_INFINITY)
                        .get(random.nextInt(7));
                yield new Value(value + 0.0, Double.isInfinite(value) ? "Infinity" : "" + value);
            }
            case 4 -> {
                String text = List.of("", "a", "a b", "B", "é", "\uD83D\uDE00", "\uFF5E")
                        .get(random.nextInt(7));
                yield new Value(
                        text.codePoints()
                                .mapToObj(c -> String.format("%08x", c))
                                .reduce("", String::concat),
                        text);
            }
            case 5 -> time(small);
            case 6 -> new Value(small > 0, small > 0 ? "t" : "f");
            case 7 -> {
                String outcome = OUTCOMES.get(random.nextInt(5));
                yield new Value(outcome, outcome);
            }
            default -> new Value("", "{\"x\":" + random.nextInt(100) + "}");
        };
    }

    private Value decimal(int small) {
        BigDecimal value =
                BigDecimal.valueOf(small).movePointLeft(random.nextInt(2)).setScale(1 + random.nextInt(2));
        return new Value(new Decimal(value), value.toPlainString());
    }

    /** A numeric that may be NaN, which is greater than all others. */
    record Decimal(BigDecimal value) implements Comparable<Decimal> {
        static final Decimal NAN = new Decimal(null);

        Decimal {
            value = value == null ? null : value.stripTrailingZeros();
        }

        @Override
        public int compareTo(Decimal other) {
            return value == null || other.value == null
                    ? Boolean.compare(value == null, other.value == null)
                    : value.compareTo(other.value);
        }
    }

    private Value time(int hours) {
        int zone = random.nextInt(3) - 1;
        return new Value(
                (long) hours,
                OffsetDateTime.of(2026, 3, 1, 12, 0, 0, 250_000_000, ZoneOffset.UTC)
                                .plusHours(hours + zone)
                                .format(DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SS"))
                        + (zone < 0 ? "-0" + -zone : "+0" + zone));
    }

    static int column(String name) {
        return Column.find(COLUMNS, name);
    }

    @SuppressWarnings("unchecked")
    static int compare(Value a, Value b) {
        return ((Comparable<Object>) a.parsed).compareTo(b.parsed);
    }

    /** Compares by the sort keys only. */
    Comparator<Line> byKeys() {
        return (a, b) -> {
            for (SortKey key : keys) {
                Value left = a.values.get(column(key.column()));
                Value right = b.values.get(column(key.column()));
                int comparison = left.parsed == null || right.parsed == null
                        ? left.parsed == right.parsed ? 0 : (left.parsed == null) == key.nullsFirst() ? -1 : 1
                        : compare(left, right) * (key.descending() ? -1 : 1);
                if (comparison != 0) {
                    return comparison;
                }
            }
            return 0;
        };
    }

    /** Numbers the rows of each part after sorting them, or in their existing order. */
    RandomParts numberRows(boolean sorted) {
        parts.replaceAll(lines -> {
            var copy = new ArrayList<>(lines);
            if (sorted) {
                copy.sort(byKeys());
            }
            return numbered(copy);
        });
        return this;
    }

    static List<Line> numbered(List<Line> lines) {
        var out = new ArrayList<Line>();
        lines.forEach(line -> out.add(new Line(line.part, out.size() + 1, line.values)));
        return out;
    }

    List<Line> all() {
        return parts.stream().flatMap(List::stream).toList();
    }

    List<Line> sorted(List<Line> lines) {
        return lines.stream()
                .sorted(byKeys().thenComparingInt(Line::part).thenComparingInt(Line::number))
                .toList();
    }

    /** Groups lines by the values of the given columns, in order of first occurrence. */
    static Map<List<Object>, List<Line>> groupBy(List<String> columns, List<Line> lines) {
        var groups = new LinkedHashMap<List<Object>, List<Line>>();
        for (Line line : lines) {
            List<Object> key = new ArrayList<>();
            columns.forEach(name -> key.add(line.values.get(column(name)).parsed));
            groups.computeIfAbsent(key, any -> new ArrayList<>()).add(line);
        }
        return groups;
    }

    /**
     * Reference for the removal of duplicates: the best line for each key, with nulls filled from the next best lines
     * if requested, and conflicts shown.
     */
    List<Line> distinct(Duplicates duplicates, Function<Integer, Double> positions) {
        var out = new ArrayList<Line>();
        for (List<Line> copies : groupBy(duplicates.key(), all()).values()) {
            Comparator<Line> ranking = Comparator.comparingInt(unused -> 0);
            for (Duplicates.Rule rule : duplicates.rules()) {
                ranking = ranking.thenComparing(ranking(rule, positions));
            }
            List<Line> ranked = copies.stream()
                    .sorted(ranking.thenComparingInt(Line::part).thenComparingInt(Line::number))
                    .toList();
            var values = new ArrayList<>(ranked.get(0).values);
            for (Line line : duplicates.fillNulls() ? ranked : List.<Line>of()) {
                for (int i = 0; i < values.size(); i++) {
                    values.set(i, values.get(i).text == null ? line.values.get(i) : values.get(i));
                }
            }
            int level = level(ranked.get(0));
            boolean shows =
                    !duplicates.rules().isEmpty() && duplicates.rules().get(0) instanceof Duplicates.Rule.Ranking;
            if (shows
                    && level < 2
                    && ranked.stream()
                                    .filter(line -> level(line) == level)
                                    .map(line -> line.values.get(7))
                                    .distinct()
                                    .count()
                            > 1) {
                values.set(7, new Value("conflict", "conflict"));
            }
            out.add(new Line(ranked.get(0).part, ranked.get(0).number, values));
        }
        return out;
    }

    private static int level(Line line) {
        String outcome = line.values.get(7).text;
        return outcome != null && LEVELS.get(0).contains(outcome)
                ? 0
                : outcome != null && LEVELS.get(1).contains(outcome) ? 1 : 2;
    }

    private static Comparator<Line> ranking(Duplicates.Rule rule, Function<Integer, Double> positions) {
        if (rule instanceof Duplicates.Rule.Ranking) {
            return Comparator.comparingInt(RandomParts::level);
        } else if (rule instanceof Duplicates.Rule.Newest newest) {
            return (a, b) -> {
                Value left = a.values.get(column(newest.column()));
                Value right = b.values.get(column(newest.column()));
                return left.parsed == null || right.parsed == null
                        ? Boolean.compare(left.parsed == null, right.parsed == null)
                        : compare(right, left);
            };
        } else if (rule instanceof Duplicates.Rule.Position) {
            return Comparator.comparingDouble(line -> -positions.apply(line.part));
        }
        return Comparator.comparingInt(line -> line.part == 1 ? 0 : 1);
    }

    /** Draws a key and rules. If adjacent, the key is a prefix of the sort order. */
    Duplicates duplicates(boolean adjacent) {
        List<String> key = adjacent
                ? keys.subList(0, 1 + random.nextInt(keys.size())).stream()
                        .map(SortKey::column)
                        .toList()
                : List.of("i", "b");
        var rules = new ArrayList<Duplicates.Rule>();
        if (random.nextBoolean()) {
            rules.add(new Duplicates.Rule.Ranking("outcome", LEVELS, "conflict"));
        }
        if (random.nextBoolean()) {
            rules.add(new Duplicates.Rule.Newest(random.nextBoolean() ? "at" : "n"));
        }
        if (random.nextInt(4) == 0) {
            rules.add(new Duplicates.Rule.Position());
        }
        if (random.nextBoolean()) {
            rules.add(new Duplicates.Rule.Source(List.of("p1")));
        }
        return new Duplicates(key, rules, random.nextBoolean());
    }
}
