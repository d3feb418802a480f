package clayhook.scattergather;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

/** A plan for merging, for certain columns. */
final class ColumnLayout {
    private final List<Column> columns;
    private final ColumnReader reading;
    private final DuplicateRanking ranks;
    private final List<AggregateColumn> figures;
    private final int[] groupSlots;
    private List<Column> shown;
    private final ColumnReader shownReading;
    private final RowComparator order;
    private final String misfit;

    ColumnLayout(MergeSpec merging, List<Column> columns, ToDoubleFunction<GatherPart> positions) {
        this.columns = columns;
        reading = new ColumnReader(columns);
        ranks = merging.duplicates() == null
                ? null
                : new DuplicateRanking(merging.duplicates(), columns, reading, positions);
        Grouping grouping = merging.groups();
        if (grouping == null) {
            figures = List.of();
            groupSlots = new int[0];
            shown = columns;
            shownReading = reading;
            order = RowComparator.of(merging.order(), columns, reading);
        } else {
            figures = grouping.measures().stream()
                    .map(measure -> AggregateColumn.of(measure, columns, reading))
                    .toList();
            groupSlots = grouping.by().stream().mapToInt(this::slot).toArray();
            shown = figures.stream().anyMatch(Objects::isNull) || negative(groupSlots) ? List.of() : shown(grouping);
            shownReading = new ColumnReader(shown);
            order = RowComparator.of(merging.order(), shown, shownReading);
        }
        String lacking = ranks != null && !ranks.fit()
                ? "tell duplicates by"
                : figures.stream().anyMatch(Objects::isNull)
                        ? "measure"
                        : negative(groupSlots) ? "group by" : order == null ? "order by" : null;
        misfit = lacking == null
                ? null
                : "a column to " + lacking + " is missing, there twice, or of a type that does not serve";
    }

    private int slot(String name) {
        int column = Column.find(columns, name);
        return column < 0 || ColumnType.of(columns.get(column).type()) == ColumnType.OPAQUE ? -1 : reading.slot(column);
    }

    private static boolean negative(int[] slots) {
        return Arrays.stream(slots).anyMatch(slot -> slot < 0);
    }

    private List<Column> shown(Grouping grouping) {
        var all = new ArrayList<Column>();
        grouping.by().forEach(name -> all.add(columns.get(Column.find(columns, name))));
        figures.stream().filter(Objects::nonNull).forEach(figure -> all.add(figure.shown()));
        return List.copyOf(all);
    }

    /** Why the plan cannot be carried out on these columns, or null. */
    String misfit() {
        return misfit;
    }

    /** Columns of parts that differ in size or modifier, such as numeric(8,2) and numeric(9,3), are shown without. */
    void loosen(List<Column> others) {
        for (int i = 0; i < others.size(); i++) {
            int at = shown.indexOf(columns.get(i));
            if (at >= 0 && !others.get(i).equals(columns.get(i))) {
                var loose = new ArrayList<>(shown);
                loose.set(at, Column.of(columns.get(i).name(), columns.get(i).type()));
                shown = List.copyOf(loose);
            }
        }
    }

    /** What is wrong with these columns beside those of the first part, or null. */
    String differs(List<Column> others) {
        if (others.size() != columns.size()) {
            return others.size() + " columns instead of " + columns.size();
        }
        for (int i = 0; i < others.size(); i++) {
            if (!others.get(i).fits(columns.get(i))) {
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

    /** The columns of the answer. */
    List<Column> shown() {
        return shown;
    }

    /** Of rows as they come. */
    ColumnReader reading() {
        return reading;
    }

    /** Of rows of the answer. */
    ColumnReader shownReading() {
        return shownReading;
    }

    /** Of rows of the answer; the same as those that come where there are no groups. */
    RowComparator order() {
        return order;
    }

    /** Null where each row counts. */
    DuplicateRanking ranks() {
        return ranks;
    }

    List<AggregateColumn> figures() {
        return figures;
    }

    int[] groupSlots() {
        return groupSlots;
    }
}
