package clayhook.rollout;

import java.util.List;

/**
 * What a rollout looks like from here, for metrics and log lines.
 *
 * @param rules hash of the candidate
 * @param stage from 1 on; 0 before it begins
 * @param share of sessions in this stage
 * @param until when this router's lease ends, seconds since 1970
 * @param heard routers of the frozen roster whose figures are fresh, of {@code voters}
 * @param dead routers whose figures count although they are gone
 * @param waits why the stage goes on
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
     * A measure of a command group, merged.
     *
     * @param candidate share of commands; seconds at the 99th percentile for {@link GuardMetric#SLOW}
     * @param evidence natural logarithm of the evidence that the candidate is worse
     */
    public record MetricComparison(
            String requestClass,
            GuardMetric metric,
            long requests,
            double candidate,
            double baseline,
            double logEvidence) {}
}
