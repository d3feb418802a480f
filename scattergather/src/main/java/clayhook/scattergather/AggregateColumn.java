package clayhook.scattergather;

import java.util.List;

/** A measure for certain columns. Slots are -1 where there is no column. */
record AggregateColumn(Aggregate measure, int slot, int bySlot, Column shown) {
    /** Null where the columns are not there, or not of types that it can be made of. */
    static AggregateColumn of(Aggregate measure, List<Column> columns, ColumnReader reading) {
        Column column = measure.column() == null ? null : find(columns, measure.column());
        Column by = measure.by() == null ? null : find(columns, measure.by());
        int type = column == null ? 0 : result(measure.what(), column.type(), by);
        if (measure.column() != null && type == 0) {
            return null;
        }
        Column shown =
                switch (measure.what()) {
                    case COUNT, COUNTED, DISTINCT -> Column.of(measure.name(), ColumnType.INT8);
                    case LEAST, MOST, QUANTILE -> Column.of(measure.name(), column.type());
                    default -> Column.of(measure.name(), type);
                };
        return new AggregateColumn(measure, slot(column, columns, reading), slot(by, columns, reading), shown);
    }

    private static Column find(List<Column> columns, String name) {
        int at = Column.find(columns, name);
        return at < 0 ? null : columns.get(at);
    }

    private static int slot(Column column, List<Column> columns, ColumnReader reading) {
        return column == null ? -1 : reading.slot(columns.indexOf(column));
    }

    /** The type of the result; 0 where there is none. */
    private static int result(Aggregate.What what, int type, Column by) {
        ColumnType kind = ColumnType.of(type);
        return switch (what) {
            case SUM ->
                kind == ColumnType.WHOLE
                        ? type == ColumnType.INT8 ? ColumnType.NUMERIC : ColumnType.INT8
                        : kind.number() ? type : 0;
            case COUNTED -> kind == ColumnType.WHOLE ? ColumnType.INT8 : 0;
            case MEAN -> kind.floating() ? ColumnType.FLOAT8 : kind.number() ? ColumnType.NUMERIC : 0;
            case MEAN_OF_SUMS ->
                by == null || ColumnType.of(by.type()) != ColumnType.WHOLE
                        ? 0
                        : result(Aggregate.What.MEAN, type, null);
            case COUNT, DISTINCT, LEAST, MOST, QUANTILE -> kind == ColumnType.OPAQUE ? 0 : type;
        };
    }

    Aggregator tally() {
        return switch (measure.what()) {
            case COUNT -> new Aggregator.CountAggregator();
            case COUNTED -> new ExactSum.SumAggregator(ColumnType.INT8, true);
            case SUM -> new ExactSum.SumAggregator(shown.type(), false);
            case LEAST, MOST -> new Aggregator.ExtremeAggregator(measure.what() == Aggregate.What.MOST);
            case MEAN, MEAN_OF_SUMS -> new ExactSum.MeanAggregator(shown.type());
            case DISTINCT -> new DistinctAggregator();
            case QUANTILE -> new QuantileAggregator(ColumnType.of(shown.type()), measure.share());
        };
    }
}
