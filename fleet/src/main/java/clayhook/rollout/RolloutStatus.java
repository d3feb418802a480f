package clayhook.rollout;

import java.util.List;

/**
 * The state of a rollout as evaluated by this router, for metrics and logs. Immutable and thread-safe.
 *
 * @param rulesHash hash of the candidate
 * @param stage number of the stage, from 1
 * @param share share of sessions that get the candidate in this stage
 * @param leaseExpiresAt time at which this router's lease ends, in seconds since 1970; negative infinity without a
 *     lease
 * @param freshMembers number of voters with fresh counters
 * @param voters number of routers of which a majority is required
 * @param departedMembers number of departed routers whose counters are included
 * @param holdReason the reason why this router holds the stage; empty if it votes for the next one
 * @param metrics the compared metrics, one for each guard of the stage
 */
public record RolloutStatus(
        String rulesHash,
        int stage,
        double share,
        double leaseExpiresAt,
        int freshMembers,
        int voters,
        int departedMembers,
        String holdReason,
        List<MetricComparison> metrics) {
    /**
     * A metric of a request class for both variants, merged over all routers.
     *
     * @param requests number of requests of the candidate
     * @param candidate share of the candidate's requests; for {@link GuardMetric#SLOW} the 99th percentile in seconds
     * @param baseline the same value for the baseline
     * @param logEvidence natural logarithm of the evidence that the candidate is worse
     */
    public record MetricComparison(
            String requestClass,
            GuardMetric metric,
            long requests,
            double candidate,
            double baseline,
            double logEvidence) {}
}
