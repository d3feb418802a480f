package clayhook.scattergather;

/**
 * What is wrong with what came.
 *
 * @param part null where it is in no single part
 * @param row of that part, counted from 1; 0 for its description, -1 where it is in no single row
 */
public record GatherFault(Kind kind, GatherPart part, long row, String detail) {
    /** Kinds of faults. */
    public enum Kind {
        /** Bytes that are no value of their column's type. */
        UNREADABLE,
        /** A row with more or fewer columns than were described, or before any were. */
        WIDTH,
        /** Columns that differ from those of the part that was described first. */
        MIXED,
        /** A row before the one that it came after. */
        UNORDERED,
        /** A result beyond its type. */
        OVERFLOW,
        /** More rows than any part may have. */
        ENDLESS,
        /** More rows than were asked for. */
        OVERRUN,
        /** A row longer than any may be. */
        TOO_LONG,
        /** What has to be held is beyond its bound. */
        FULL,
        /** The columns are not those that the plan is for. */
        UNFIT
    }

    @Override
    public String toString() {
        return (part == null ? "" : "part " + part + ": ")
                + (row < 0 ? "" : row == 0 ? "its columns: " : "row " + row + ": ")
                + detail;
    }
}
