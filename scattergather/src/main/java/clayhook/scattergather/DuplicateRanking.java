package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.scattergather.Duplicates.Rule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Rules for duplicates, bound to the columns of a layout. The better copy sorts first, and no two rows are equal. */
final class DuplicateRanking implements Comparator<Row> {
    private final int[] key;
    private final List<Comparator<Row>> rules = new ArrayList<>();
    private final boolean fillNulls;
    /** Slot of the column that shows conflicts; -1 if there is none. */
    private int conflictSlot = -1;

    private byte[] conflict;
    private Map<ColumnValue, Integer> levels = Map.of();
    private int levelCount;
    private boolean applicable = true;

    /** @param positions applied positions of the parts, evaluated when copies are compared */
    DuplicateRanking(
            Duplicates duplicates, List<Column> columns, ColumnReader reader, ToDoubleFunction<GatherPart> positions) {
        key = duplicates.key().stream()
                .mapToInt(name -> slot(name, columns, reader))
                .toArray();
        fillNulls = duplicates.fillNulls();
        for (Rule rule : duplicates.rules()) {
            rules.add(comparator(rule, columns, reader, positions));
        }
        rules.add(Comparator.comparingInt((Row row) -> row.part.number()).thenComparingLong(row -> row.number));
    }

    private int slot(String name, List<Column> columns, ColumnReader reader) {
        int column = Column.find(columns, name);
        applicable &= column >= 0 && ColumnType.of(columns.get(column).type()) != ColumnType.OPAQUE;
        return reader.slot(Math.max(0, column));
    }

    private Comparator<Row> comparator(
            Rule rule, List<Column> columns, ColumnReader reader, ToDoubleFunction<GatherPart> positions) {
        if (rule instanceof Rule.Newest newest) {
            int slot = slot(newest.column(), columns, reader);
            return (a, b) -> newer(a.cell(slot), b.cell(slot));
        } else if (rule instanceof Rule.Position) {
            return (a, b) -> Double.compare(positions.applyAsDouble(b.part), positions.applyAsDouble(a.part));
        } else if (rule instanceof Rule.Source source) {
            return Comparator.comparingInt(row -> {
                int place = source.parts().indexOf(row.part.name());
                return place < 0 ? Integer.MAX_VALUE : place;
            });
        }
        return ranking((Rule.Ranking) rule, columns, reader);
    }

    private static int newer(ColumnValue a, ColumnValue b) {
        return a == ColumnValue.NULL || b == ColumnValue.NULL
                ? Boolean.compare(a == ColumnValue.NULL, b == ColumnValue.NULL)
                : b.compareTo(a);
    }

    private Comparator<Row> ranking(Rule.Ranking rule, List<Column> columns, ColumnReader reader) {
        int slot = slot(rule.column(), columns, reader);
        var ranks = new HashMap<ColumnValue, Integer>();
        for (int level = 0; level < rule.levels().size(); level++) {
            for (String text : rule.levels().get(level)) {
                ranks.putIfAbsent(new ColumnValue.TextValue(text.getBytes(UTF_8)), level);
            }
        }
        int last = rule.levels().size();
        if (rule.conflict() != null) {
            conflictSlot = slot;
            conflict = rule.conflict().getBytes(UTF_8);
            levels = ranks;
            levelCount = last;
            applicable &= reader.type(slot) == ColumnType.TEXT;
        }
        return Comparator.comparingInt(row -> level(row, slot, ranks, last));
    }

    private static int level(Row row, int slot, Map<ColumnValue, Integer> ranks, int last) {
        byte[] raw = row.raw(slot);
        return raw == null ? last : ranks.getOrDefault(new ColumnValue.TextValue(raw), last);
    }

    /** Whether all columns exist and have comparable types. */
    boolean applicable() {
        return applicable;
    }

    @Override
    public int compare(Row a, Row b) {
        for (Comparator<Row> rule : rules) {
            int comparison = rule.compare(a, b);
            if (comparison != 0) {
                return comparison;
            }
        }
        return 0;
    }

    boolean sameKey(Row a, Row b) {
        for (int slot : key) {
            if (!a.cell(slot).equals(b.cell(slot))) {
                return false;
            }
        }
        return true;
    }

    List<ColumnValue> key(Row row) {
        return Arrays.stream(key).mapToObj(row::cell).toList();
    }

    int[] keySlots() {
        return key;
    }

    boolean fillNulls() {
        return fillNulls;
    }

    int conflictSlot() {
        return conflictSlot;
    }

    byte[] conflict() {
        return conflict;
    }

    /** Whether two copies, each the best of its group, have the same named level but different values. */
    boolean isConflict(Row a, Row b) {
        if (conflictSlot < 0) {
            return false;
        }
        int level = level(a, conflictSlot, levels, levelCount);
        return level < levelCount
                && level == level(b, conflictSlot, levels, levelCount)
                && !a.cell(conflictSlot).equals(b.cell(conflictSlot));
    }

    /**
     * Whether the first copy has a better level than the second, which makes conflicts among lower levels irrelevant.
     */
    boolean outranks(Row a, Row b) {
        return conflictSlot >= 0
                && level(a, conflictSlot, levels, levelCount) < level(b, conflictSlot, levels, levelCount);
    }
}
