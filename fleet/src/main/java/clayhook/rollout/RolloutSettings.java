package clayhook.rollout;

/**
 * Settings of rollouts. All but {@code configuredRulesHash} must be the same at all routers.
 *
 * @param configuredRulesHash hash of the rules in this router's own configuration file
 * @param fleetSize number of routers that the operator expects; no rollout starts while half of them or fewer are
 *     visible
 * @param leaseSeconds seconds for which a router may run the candidate after a majority has granted it a lease. With a
 *     lease of about 0.03 s for each member, lease traffic stays below one packet in 10 ms
 * @param settleSeconds minimum time in seconds between the receipt of a proposal and a router's vote to start it,
 *     during which other proposals and vetoes may be received; also the time after this router's start in which it
 *     proposes nothing
 * @param startTimeoutSeconds time in seconds within which a proposed rollout must start
 * @param shareIntervalSeconds minimum time in seconds between two writes of replicated counters
 */
public record RolloutSettings(
        String configuredRulesHash,
        int fleetSize,
        double leaseSeconds,
        double settleSeconds,
        double startTimeoutSeconds,
        double shareIntervalSeconds) {
    private static final double DEFAULT_LEASE_SECONDS = 10;
    private static final double DEFAULT_SETTLE_SECONDS = 2;
    private static final double DEFAULT_START_TIMEOUT_SECONDS = 60;
    private static final double DEFAULT_SHARE_INTERVAL_SECONDS = 1;

    /** Throws IllegalArgumentException for values out of range. */
    public RolloutSettings {
        if (fleetSize < 1
                || !(leaseSeconds > 0 && leaseSeconds <= Proposal.MAX_LEASE_SECONDS)
                || !(settleSeconds >= 0)
                || !(startTimeoutSeconds > settleSeconds)
                || !(shareIntervalSeconds > 0)) {
            throw new IllegalArgumentException("settings of rollouts out of range");
        }
    }

    /** Settings with the default times. */
    public static RolloutSettings defaults(String configuredRulesHash, int fleetSize) {
        return new RolloutSettings(
                configuredRulesHash,
                fleetSize,
                DEFAULT_LEASE_SECONDS,
                DEFAULT_SETTLE_SECONDS,
                DEFAULT_START_TIMEOUT_SECONDS,
                DEFAULT_SHARE_INTERVAL_SECONDS);
    }
}
