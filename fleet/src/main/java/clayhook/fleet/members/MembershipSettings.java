package clayhook.fleet.members;

/**
 * Intervals and limits of the membership protocol; times are in seconds.
 *
 * @param probeInterval between two probes, and the time a probe has to succeed
 * @param probeRetryDelay until an unanswered ping is repeated, then also through other members; longer than a usual
 *     round trip
 * @param indirectPings members asked to ping on this router's behalf at each repetition
 * @param gossipInterval between two gossip rounds while claims are waiting to be broadcast
 * @param gossipFanout members addressed in one gossip round
 * @param suspicionMultiplier shortest suspicion timeout, in probe intervals per binary logarithm of the fleet size; the
 *     timeout is never below two probe intervals
 * @param maxSuspicionFactor by how much the suspicion timeout is longer while only one member accuses; at least 1
 * @param reconnectInterval between two attempts to reach unresponsive seeds and dead members, right after a member has
 *     died
 * @param maxReconnectInterval to which the reconnect interval grows
 * @param deadMemberRetention for which dead and departed members are remembered, so that partition sides can find each
 *     other again
 * @param servingGracePeriod after which a dead member no longer counts as possibly serving
 * @param maxClockSkew by which a member's clock may differ from this router's
 * @param stallThreshold a tick that comes later than requested by more than this means that this router was stalled
 * @param maxNames names in the membership table; claims on further names are rejected and counted
 */
public record MembershipSettings(
        double probeInterval,
        double probeRetryDelay,
        int indirectPings,
        double gossipInterval,
        int gossipFanout,
        double suspicionMultiplier,
        double maxSuspicionFactor,
        double reconnectInterval,
        double maxReconnectInterval,
        double deadMemberRetention,
        double servingGracePeriod,
        double maxClockSkew,
        double stallThreshold,
        int maxNames) {
    /**
     * Detects a killed member at a hundred routers within two to three seconds. Memory grows with the number of
     * members, by some 500 bytes each.
     */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(0.5, 0.15, 3, 0.1, 3, 0.4, 4, 1, 3, 3600, 60, 0.5, 0.3, 16_384);

    /**
     * Probe intervals for which dead members are remembered at least. It exceeds the time a large fleet needs to agree
     * on a death: a member forgotten earlier would be added again by those that still hold it alive, over and over.
     */
    private static final double MIN_RETENTION_INTERVALS = 60;

    private static final int MIN_MAX_NAMES = 1024;

    /** @throws IllegalArgumentException if a value is out of range or the values contradict each other */
    public MembershipSettings {
        requirePositive(probeInterval);
        requirePositive(probeRetryDelay);
        requirePositive(gossipInterval);
        requirePositive(suspicionMultiplier);
        requirePositive(reconnectInterval);
        requirePositive(deadMemberRetention);
        requirePositive(servingGracePeriod);
        requirePositive(maxClockSkew);
        requirePositive(stallThreshold);
        require(probeRetryDelay < probeInterval, "the probe retry delay must be shorter than the probe interval");
        require(
                deadMemberRetention >= MIN_RETENTION_INTERVALS * probeInterval,
                "dead members must be retained for at least " + MIN_RETENTION_INTERVALS + " probe intervals");
        require(maxSuspicionFactor >= 1, "the maximum suspicion factor must be at least 1");
        require(
                maxReconnectInterval >= reconnectInterval,
                "the maximum reconnect interval must not be shorter than the reconnect interval");
        require(indirectPings >= 0, "the number of indirect pings must not be negative");
        require(gossipFanout >= 1, "the gossip fanout must be at least 1");
        require(maxNames >= MIN_MAX_NAMES, "the maximum number of names must be at least " + MIN_MAX_NAMES);
    }

    private static void requirePositive(double value) {
        require(value > 0 && value < Double.POSITIVE_INFINITY, "not a positive, finite membership setting: " + value);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
