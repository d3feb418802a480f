package clayhook.scattergather;

/**
 * Settings of one gather.
 *
 * @param allowPartial whether a partial answer is usable; if not, the gather ends as soon as the completion policy can
 *     no longer be met
 * @param partTimeout seconds that a part may take, counted only while it has credit
 * @param minPosition oldest position of a part that counts as fresh, seconds since 1970; negative infinity accepts any.
 *     A part that reports no position is older than any other bound.
 */
public record GatherPlan(
        MergeSpec spec,
        CompletionPolicy completion,
        boolean allowPartial,
        double partTimeout,
        double minPosition,
        BufferLimits bufferLimits) {
    /** Requires all parts, of any age, within the deadline of the gather; a partial answer is marked as such. */
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

    /** Treats a partial answer as an error. */
    public GatherPlan wholeOrError() {
        return new GatherPlan(spec, completion, false, partTimeout, minPosition, bufferLimits);
    }

    public GatherPlan bufferLimits(BufferLimits limits) {
        return new GatherPlan(spec, completion, allowPartial, partTimeout, minPosition, limits);
    }
}
