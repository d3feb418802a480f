package clayhook.gather;

/**
 * How to gather an answer.
 *
 * @param marked whether a partial answer is one too; else the gather ends as soon as enough cannot be had any more
 * @param patience seconds that a part may take, counted while rows are wanted of it
 * @param oldest position of the oldest part that is fresh, seconds since 1970; negative infinity for any. A part of
 *     which no position was told is older than any bound.
 */
public record Plan(Merging merging, Enough enough, boolean marked, double patience, double oldest, Bounds bounds) {
    /** All parts, of any age, within the deadline of the whole; a partial answer is marked. */
    public static Plan of(Merging merging) {
        return new Plan(
                merging, new Enough.All(), true, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, Bounds.DEFAULT);
    }

    public Plan enough(Enough parts) {
        return new Plan(merging, parts, marked, patience, oldest, bounds);
    }

    public Plan patience(double seconds) {
        return new Plan(merging, enough, marked, seconds, oldest, bounds);
    }

    public Plan notOlder(double position) {
        return new Plan(merging, enough, marked, patience, position, bounds);
    }

    /** A partial answer is an error. */
    public Plan wholeOrError() {
        return new Plan(merging, enough, false, patience, oldest, bounds);
    }

    public Plan within(Bounds limits) {
        return new Plan(merging, enough, marked, patience, oldest, limits);
    }
}
