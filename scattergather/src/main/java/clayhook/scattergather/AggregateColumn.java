package clayhook.scattergather;

import java.util.List;

/** An aggregate bound to the columns of a layout. A slot is -1 if there is no column. */
record AggregateColumn(Aggregate aggregate, int slot, int countSlot, Column resultColumn) {
    /** Binds an aggregate; returns null if its columns are missing or of unsupported types. */
    static AggregateColumn of(Aggregate aggregate, List<Column> columns, ColumnReader reader) {
        Column column = aggregate.column() == null ? null : find(columns, aggregate.column());
        Column countColumn = aggregate.countColumn() == null ? null : find(columns, aggregate.countColumn());
        int type = column == null ? 0 : result(aggregate.function(), column.type(), countColumn);
        if (aggregate.column() != null && type == 0) {
            return null;
        }
        Column resultColumn =
                switch (aggregate.function()) {
                    case COUNT, COUNTED, DISTINCT -> Column.of(aggregate.name(), ColumnType.INT8);
                    case LEAST, MOST, QUANTILE -> Column.of(aggregate.name(), column.type());
                    default -> Column.of(aggregate.name(), type);
                };
        return new AggregateColumn(
                aggregate, slot(column, columns, reader), slot(countColumn, columns, reader), resultColumn);
    }

    private static Column find(List<Column> columns, String name) {
        int at = Column.find(columns, name);
        return at < 0 ? null : columns.get(at);
    }

    private static int slot(Column column, List<Column> columns, ColumnReader reader) {
        return column == null ? -1 : reader.slot(columns.indexOf(column));
    }

    /** OID of the result type; 0 if the aggregate does not support the type. */
    private static int result(Aggregate.Function function, int type, Column countColumn) {
        ColumnType kind = ColumnType.of(type);
        return switch (function) {
            case SUM ->
                kind == ColumnType.INTEGER
                        ? type == ColumnType.INT8 ? ColumnType.NUMERIC : ColumnType.INT8
                        : kind.isNumeric() ? type : 0;
            case COUNTED -> kind == ColumnType.INTEGER ? ColumnType.INT8 : 0;
            case MEAN -> kind.isFloating() ? ColumnType.FLOAT8 : kind.isNumeric() ? ColumnType.NUMERIC : 0;
            case MEAN_OF_SUMS ->
                countColumn == null || ColumnType.of(countColumn.type()) != ColumnType.INTEGER
                        ? 0
                        : result(Aggregate.Function.MEAN, type, null);
            case COUNT, DISTINCT, LEAST, MOST, QUANTILE -> kind == ColumnType.OPAQUE ? 0 : type;
        };
    }

    Aggregator newAggregator() {
        return switch (aggregate.function()) {
            case COUNT -> new Aggregator.CountAggregator();
            case COUNTED -> new ExactSum.SumAggregator(ColumnType.INT8, true);
            case SUM -> new ExactSum.SumAggregator(resultColumn.type(), false);
            case LEAST, MOST -> new Aggregator.ExtremeAggregator(aggregate.function() == Aggregate.Function.MOST);
            case MEAN, MEAN_OF_SUMS -> new ExactSum.MeanAggregator(resultColumn.type());
            case DISTINCT -> new DistinctAggregator();
            case QUANTILE -> new QuantileAggregator(ColumnType.of(resultColumn.type()), aggregate.share());
        };
    }
}
