package clayhook.rollout;

/**
 * The same at all routers, but for the first.
 *
 * @param standing hash of the rules that this router's own file has
 * @param fleet routers that the operator counts with; no rollout begins with half of them or fewer in sight
 * @param lease seconds for which a candidate may run after contact with a majority. About 0.03 s a member keeps the
 *     contact under a packet in 10 ms
 * @param settle seconds before a proposal that was heard is begun, in which another one or a veto may show
 * @param patience seconds within which a proposal must begin
 * @param every seconds between figures that are shared, at least
 */
public record RolloutSettings(
        String configuredRulesHash,
        int fleetSize,
        double leaseSeconds,
        double settleSeconds,
        double startTimeoutSeconds,
        double shareIntervalSeconds) {
    /** Fails on what no settings reader should let through. */
    public RolloutSettings {
        if (fleetSize < 1
                || !(leaseSeconds > 0 && leaseSeconds <= Proposal.MAX_LEASE_SECONDS)
                || !(settleSeconds >= 0)
                || !(startTimeoutSeconds > settleSeconds)
                || !(shareIntervalSeconds > 0)) {
            throw new IllegalArgumentException("settings of rollouts out of range");
        }
    }

    /** The usual ones. */
    public static RolloutSettings defaults(String standing, int fleet) {
        return new RolloutSettings(standing, fleet, 10, 2, 60, 1);
    }
}
