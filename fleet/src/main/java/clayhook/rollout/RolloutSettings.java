package clayhook.rollout;

/**
 * Settings of rollouts. All but the first must be the same at all routers.
 *
 * @param configuredRulesHash hash of the rules in this router's own file
 * @param fleetSize routers that the operator expects; no rollout starts while half of them or fewer are visible
 * @param leaseSeconds how long a candidate may run after contact with a majority. With about 0.03 s for each member the
 *     lease traffic stays below a packet in 10 ms
 * @param settleSeconds time between the proposal of a rollout and its start, in which another proposal or a veto may
 *     arrive
 * @param startTimeoutSeconds time within which a proposed rollout must start
 * @param shareIntervalSeconds least time between replicated counters
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

    /** The default times. */
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
