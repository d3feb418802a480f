package clayhook.scattergather;

/** A column of the sort order. */
public record SortKey(String column, boolean descending, boolean nullsFirst) {
    /** Ascending order with nulls last, as in PostgreSQL. */
    public static SortKey ascending(String column) {
        return new SortKey(column, false, false);
    }

    /** Descending order with nulls first, as in PostgreSQL. */
    public static SortKey descending(String column) {
        return new SortKey(column, true, true);
    }
}
