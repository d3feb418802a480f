package clayhook.gather;

import java.util.List;

/** A measure for certain columns. Slots are -1 where there is no column. */
record Figure(Measure measure, int slot, int bySlot, Column shown) {
    /** Null where the columns are not there, or not of types that it can be made of. */
    static Figure of(Measure measure, List<Column> columns, Reading reading) {
        Column column = measure.column() == null ? null : find(columns, measure.column());
        Column by = measure.by() == null ? null : find(columns, measure.by());
        int type = column == null ? 0 : result(measure.what(), column.type(), by);
        if (measure.column() != null && type == 0) {
            return null;
        }
        Column shown =
                switch (measure.what()) {
                    case COUNT, COUNTED, DISTINCT -> Column.of(measure.name(), Type.INT8);
                    case LEAST, MOST, QUANTILE -> Column.of(measure.name(), column.type());
                    default -> Column.of(measure.name(), type);
                };
        return new Figure(measure, slot(column, columns, reading), slot(by, columns, reading), shown);
    }

    private static Column find(List<Column> columns, String name) {
        int at = Column.find(columns, name);
        return at < 0 ? null : columns.get(at);
    }

    private static int slot(Column column, List<Column> columns, Reading reading) {
        return column == null ? -1 : reading.slot(columns.indexOf(column));
    }

    /** The type of the result; 0 where there is none. */
    private static int result(Measure.What what, int type, Column by) {
        Type kind = Type.of(type);
        return switch (what) {
            case SUM -> kind == Type.WHOLE ? type == Type.INT8 ? Type.NUMERIC : Type.INT8 : kind.number() ? type : 0;
            case COUNTED -> kind == Type.WHOLE ? Type.INT8 : 0;
            case MEAN -> kind.floating() ? Type.FLOAT8 : kind.number() ? Type.NUMERIC : 0;
            case MEAN_OF_SUMS ->
                by == null || Type.of(by.type()) != Type.WHOLE ? 0 : result(Measure.What.MEAN, type, null);
            case COUNT, DISTINCT, LEAST, MOST, QUANTILE -> kind == Type.OPAQUE ? 0 : type;
        };
    }

    Tally tally() {
        return switch (measure.what()) {
            case COUNT -> new Tally.Count();
            case COUNTED -> new Sum.Tallied(Type.INT8, true);
            case SUM -> new Sum.Tallied(shown.type(), false);
            case LEAST, MOST -> new Tally.Extreme(measure.what() == Measure.What.MOST);
            case MEAN, MEAN_OF_SUMS -> new Sum.Mean(shown.type());
            case DISTINCT -> new Distinct();
            case QUANTILE -> new Quantile(Type.of(shown.type()), measure.share());
        };
    }
}
