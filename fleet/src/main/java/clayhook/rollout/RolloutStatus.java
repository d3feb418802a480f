package clayhook.rollout;

import java.util.List;

/**
 * The state of a rollout as seen from this router, for metrics and logs. Immutable, for any thread.
 *
 * @param rulesHash hash of the candidate
 * @param stage number of the stage, from 1
 * @param share of sessions that get the candidate in this stage
 * @param leaseExpiresAt when this router's lease ends, in seconds since 1970
 * @param freshMembers voters with fresh counters
 * @param voters of how many routers a majority is taken
 * @param departedMembers routers whose counters count although they have departed
 * @param holdReason why the stage goes on; empty when this router votes for the next one
 * @param metrics one for each guard of the stage
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
     * A metric of a request class, merged over all routers.
     *
     * @param requests of the candidate
     * @param candidate share of requests; seconds at the 99th percentile for {@link GuardMetric#SLOW}
     * @param baseline the same for the baseline
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
