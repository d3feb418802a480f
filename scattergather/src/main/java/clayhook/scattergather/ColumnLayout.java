package clayhook.scattergather;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

/** A {@link MergeSpec} bound to the columns of the parts. */
final class ColumnLayout {
    private final List<Column> columns;
    private final ColumnReader reader;
    private final DuplicateRanking ranking;
    private final List<AggregateColumn> aggregates;
    private final int[] groupSlots;
    private List<Column> answerColumns;
    private final ColumnReader answerReader;
    private final RowComparator order;
    private final String problem;

    ColumnLayout(MergeSpec spec, List<Column> columns, ToDoubleFunction<GatherPart> positions) {
        this.columns = columns;
        reader = new ColumnReader(columns);
        ranking =
                spec.duplicates() == null ? null : new DuplicateRanking(spec.duplicates(), columns, reader, positions);
        Grouping grouping = spec.groups();
        if (grouping == null) {
            aggregates = List.of();
            groupSlots = new int[0];
            answerColumns = columns;
            answerReader = reader;
            order = RowComparator.of(spec.order(), columns, reader);
        } else {
            aggregates = grouping.aggregates().stream()
                    .map(aggregate -> AggregateColumn.of(aggregate, columns, reader))
                    .toList();
            groupSlots = grouping.by().stream().mapToInt(this::slot).toArray();
            answerColumns = aggregates.stream().anyMatch(Objects::isNull) || negative(groupSlots)
                    ? List.of()
                    : answerColumns(grouping);
            answerReader = new ColumnReader(answerColumns);
            order = RowComparator.of(spec.order(), answerColumns, answerReader);
        }
        String purpose = ranking != null && !ranking.applicable()
                ? "tell duplicates by"
                : aggregates.stream().anyMatch(Objects::isNull)
                        ? "measure"
                        : negative(groupSlots) ? "group by" : order == null ? "order by" : null;
        problem =
                purpose == null ? null : "a column to " + purpose + " is missing, ambiguous, or of an unsupported type";
    }

    private int slot(String name) {
        int column = Column.find(columns, name);
        return column < 0 || ColumnType.of(columns.get(column).type()) == ColumnType.OPAQUE ? -1 : reader.slot(column);
    }

    private static boolean negative(int[] slots) {
        return Arrays.stream(slots).anyMatch(slot -> slot < 0);
    }

    private List<Column> answerColumns(Grouping grouping) {
        var all = new ArrayList<Column>();
        grouping.by().forEach(name -> all.add(columns.get(Column.find(columns, name))));
        aggregates.stream().filter(Objects::nonNull).forEach(column -> all.add(column.resultColumn()));
        return List.copyOf(all);
    }

    /** Why the spec does not apply to these columns; null if it does. */
    String problem() {
        return problem;
    }

    /**
     * Removes the size and modifier from answer columns whose parts differ in them, such as numeric(8,2) and
     * numeric(9,3).
     */
    void relaxModifiers(List<Column> others) {
        for (int i = 0; i < others.size(); i++) {
            int at = answerColumns.indexOf(columns.get(i));
            if (at >= 0 && !others.get(i).equals(columns.get(i))) {
                var loose = new ArrayList<>(answerColumns);
                loose.set(at, Column.of(columns.get(i).name(), columns.get(i).type()));
                answerColumns = List.copyOf(loose);
            }
        }
    }

    /** How these columns differ from those of the first part; null if they match. */
    String difference(List<Column> others) {
        if (others.size() != columns.size()) {
            return others.size() + " columns instead of " + columns.size();
        }
        for (int i = 0; i < others.size(); i++) {
            if (!others.get(i).isCompatibleWith(columns.get(i))) {
                return "column " + (i + 1) + " is " + others.get(i).name() + " of type "
                        + others.get(i).type() + " instead of " + columns.get(i).name() + " of type "
                        + columns.get(i).type();
            }
        }
        return null;
    }

    List<Column> columns() {
        return columns;
    }

    /** Columns of the answer. */
    List<Column> answerColumns() {
        return answerColumns;
    }

    /** Reader of the rows of the parts. */
    ColumnReader reader() {
        return reader;
    }

    /** Reader of the rows of the answer. */
    ColumnReader answerReader() {
        return answerReader;
    }

    /** Order of the rows of the answer, which without groups are the rows of the parts. */
    RowComparator order() {
        return order;
    }

    /** Ranking of duplicates; null if duplicates are kept. */
    DuplicateRanking ranking() {
        return ranking;
    }

    List<AggregateColumn> aggregates() {
        return aggregates;
    }

    int[] groupSlots() {
        return groupSlots;
    }
}
