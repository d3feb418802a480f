package clayhook.fleet.members;

/**
 * Settings of the membership protocol. Times are in seconds.
 *
 * @param probeInterval the interval between two probes, which is also the timeout of a probe
 * @param probeRetryDelay the delay after which an unanswered ping is repeated, then also through other members; must be
 *     longer than a typical round trip
 * @param indirectPings the number of members requested to ping on behalf of this router at each repetition
 * @param gossipInterval the interval between two gossip rounds while claims are queued for broadcast
 * @param gossipFanout the number of members that receive the gossip of one round
 * @param suspicionMultiplier the shortest suspicion timeout, in probe intervals per binary logarithm of the fleet size;
 *     the timeout is at least two probe intervals
 * @param maxSuspicionFactor the factor by which the suspicion timeout is longer while there is only one accuser; at
 *     least 1
 * @param reconnectInterval the initial interval between two attempts to reach unresponsive seeds and dead members,
 *     which also applies after a member was declared dead
 * @param maxReconnectInterval the maximum to which the reconnect interval grows by backoff
 * @param deadMemberRetention the time for which dead and departed members are retained, so that the sides of a
 *     partition can reconnect
 * @param servingGracePeriod the time after which a dead member no longer counts as possibly serving requests
 * @param maxClockSkew the bound of the difference between a member's clock and this router's
 * @param stallThreshold the delay of a tick beyond which this router counts as stalled
 * @param maxNames the maximum number of names in the membership table; claims on further names are rejected and counted
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
     * Default settings, with which a hundred routers detect a killed member within two to three seconds. The memory
     * usage is about 500 bytes per member.
     */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(0.5, 0.15, 3, 0.1, 3, 0.4, 4, 1, 3, 3600, 60, 0.5, 0.3, 16_384);

    /**
     * Minimum retention of dead members, in probe intervals. It exceeds the time that a large fleet needs to agree that
     * a member is dead. A member that is removed earlier would be added again and again by claims of members that still
     * regard it as alive.
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
