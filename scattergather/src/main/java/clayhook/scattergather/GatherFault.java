package clayhook.scattergather;

/**
 * A fault in the data of a part or in the merge.
 *
 * @param part part that caused the fault; null if it belongs to no single part
 * @param row row of that part, starting at 1; 0 for its column description, -1 if it belongs to no single row
 */
public record GatherFault(Kind kind, GatherPart part, long row, String detail) {
    /** Kinds of faults. */
    public enum Kind {
        /** A value that cannot be parsed as the type of its column. */
        UNREADABLE,
        /** A row whose number of columns differs from the description, or a row before the description. */
        WIDTH,
        /** Columns that differ from those of the first described part. */
        MIXED,
        /** A row that sorts before its predecessor. */
        UNORDERED,
        /** A result that does not fit its type. */
        OVERFLOW,
        /** More rows than the limit for one part. */
        ENDLESS,
        /** More rows than the granted credit. */
        OVERRUN,
        /** A row longer than the maximum row size. */
        TOO_LONG,
        /** More buffered data than its limit allows. */
        FULL,
        /** Columns that do not suit the plan. */
        UNFIT
    }

    @Override
    public String toString() {
        return (part == null ? "" : "part " + part + ": ")
                + (row < 0 ? "" : row == 0 ? "its columns: " : "row " + row + ": ")
                + detail;
    }
}
