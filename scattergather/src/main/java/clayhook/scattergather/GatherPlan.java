package clayhook.scattergather;

/**
 * How to gather an answer.
 *
 * @param allowPartial whether a partial answer is one too; else the gather ends as soon as enough cannot be had any
 *     more
 * @param partTimeout seconds that a part may take, counted while rows are wanted of it
 * @param minPosition position of the oldest part that is fresh, seconds since 1970; negative infinity for any. A part
 *     of which no position was told is older than any bound.
 */
public record GatherPlan(
        MergeSpec spec,
        CompletionPolicy completion,
        boolean allowPartial,
        double partTimeout,
        double minPosition,
        BufferLimits bufferLimits) {
    /** All parts, of any age, within the deadline of the whole; a partial answer is marked. */
    public static GatherPlan of(MergeSpec spec) {
        return new GatherPlan(
                spec,
                new CompletionPolicy.All(),
                true,
                Double.POSITIVE_INFINITY,
                Double.NEGATIVE_INFINITY,
                BufferLimits.DEFAULT);
    }

    public GatherPlan completion(CompletionPolicy parts) {
        return new GatherPlan(spec, parts, allowPartial, partTimeout, minPosition, bufferLimits);
    }

    public GatherPlan partTimeout(double seconds) {
        return new GatherPlan(spec, completion, allowPartial, seconds, minPosition, bufferLimits);
    }

    public GatherPlan minPosition(double position) {
        return new GatherPlan(spec, completion, allowPartial, partTimeout, position, bufferLimits);
    }

    /** A partial answer is an error. */
    public GatherPlan wholeOrError() {
        return new GatherPlan(spec, completion, false, partTimeout, minPosition, bufferLimits);
    }

    public GatherPlan bufferLimits(BufferLimits limits) {
        return new GatherPlan(spec, completion, allowPartial, partTimeout, minPosition, limits);
    }
}
