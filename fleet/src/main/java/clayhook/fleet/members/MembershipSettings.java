package clayhook.fleet.members;

/**
 * Periods and bounds of the roster; times in seconds.
 *
 * @param period between two probes, and the time that a probe has for an answer
 * @param retry until a probe without an answer is tried again, then also through helpers; above a usual round trip
 * @param helpers asked at each further try
 * @param gossip between two rounds of telling news, while there is any
 * @param fan members told in a round
 * @param suspicion shortest time that a suspect has, in periods by the binary logarithm of the members (at least two
 *     periods)
 * @param alone by how much that is longer while only one router accuses it
 * @param knock between two looks at seeds and members that are gone, after one has gone
 * @param knockMost what that grows to
 * @param remember how long one that is gone or has left is kept, so that the sides of a cut find each other again
 * @param deadAfter after so long gone a router does not count as serving any more
 * @param clockBound by which a member's clock may be off this one's
 * @param late a turn that comes that much later than asked for means that this router stood still
 * @param mostNames names in the roster; further ones are refused and counted
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
     * A killed member is gone at a hundred routers after two to three seconds. Memory follows the members there are:
     * some 500 bytes each.
     */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(0.5, 0.15, 3, 0.1, 3, 0.4, 4, 1, 3, 3600, 60, 0.5, 0.3, 16_384);

    /**
     * Periods; far more than a large fleet needs to agree on who is gone, else one still held alive here and there
     * comes back for ever.
     */
    private static final double MIN_RETENTION_INTERVALS = 60;

    public MembershipSettings {
        double[] times = {
            probeInterval,
            probeRetryDelay,
            gossipInterval,
            suspicionMultiplier,
            reconnectInterval,
            deadMemberRetention,
            servingGracePeriod,
            maxClockSkew,
            stallThreshold
        };
        for (double time : times) {
            if (!(time > 0 && time < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException("a period or bound of members that is not above 0: " + time);
            }
        }
        if (probeRetryDelay >= probeInterval
                || deadMemberRetention < MIN_RETENTION_INTERVALS * probeInterval
                || !(maxSuspicionFactor >= 1)
                || !(maxReconnectInterval >= reconnectInterval)
                || indirectPings < 0
                || gossipFanout < 1
                || maxNames < 1024) {
            throw new IllegalArgumentException("settings of members that do not fit each other");
        }
    }
}
