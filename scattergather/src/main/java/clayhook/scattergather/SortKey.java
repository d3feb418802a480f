package clayhook.scattergather;

/** A column to order by. */
public record SortKey(String column, boolean descending, boolean nullsFirst) {
    /** Nulls last, as PostgreSQL has it. */
    public static SortKey ascending(String column) {
        return new SortKey(column, false, false);
    }

    /** Nulls first, as PostgreSQL has it. */
    public static SortKey descending(String column) {
        return new SortKey(column, true, true);
    }
}
