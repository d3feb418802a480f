package clayhook.scattergather;

/**
 * How to gather an answer.
 *
 * @param marked whether a partial answer is one too; else the gather ends as soon as enough cannot be had any more
 * @param patience seconds that a part may take, counted while rows are wanted of it
 * @param oldest position of the oldest part that is fresh, seconds since 1970; negative infinity for any. A part of
 *     which no position was told is older than any bound.
 */
public record GatherPlan(
        MergeSpec merging,
        CompletionPolicy enough,
        boolean marked,
        double patience,
        double oldest,
        BufferLimits bounds) {
    /** All parts, of any age, within the deadline of the whole; a partial answer is marked. */
    public static GatherPlan of(MergeSpec merging) {
        return new GatherPlan(
                merging,
                new CompletionPolicy.All(),
                true,
                Double.POSITIVE_INFINITY,
                Double.NEGATIVE_INFINITY,
                BufferLimits.DEFAULT);
    }

    public GatherPlan enough(CompletionPolicy parts) {
        return new GatherPlan(merging, parts, marked, patience, oldest, bounds);
    }

    public GatherPlan patience(double seconds) {
        return new GatherPlan(merging, enough, marked, seconds, oldest, bounds);
    }

    public GatherPlan notOlder(double position) {
        return new GatherPlan(merging, enough, marked, patience, position, bounds);
    }

    /** A partial answer is an error. */
    public GatherPlan wholeOrError() {
        return new GatherPlan(merging, enough, false, patience, oldest, bounds);
    }

    public GatherPlan within(BufferLimits limits) {
        return new GatherPlan(merging, enough, marked, patience, oldest, limits);
    }
}
