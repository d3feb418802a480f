package clayhook.gather;

/** A column to order by. */
public record Key(String column, boolean descending, boolean nullsFirst) {
    /** Nulls last, as PostgreSQL has it. */
    public static Key ascending(String column) {
        return new Key(column, false, false);
    }

    /** Nulls first, as PostgreSQL has it. */
    public static Key descending(String column) {
        return new Key(column, true, true);
    }
}
