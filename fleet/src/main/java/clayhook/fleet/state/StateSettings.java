package clayhook.fleet.state;

/**
 * Settings of a {@link ReplicatedState}. Times are in seconds and sizes in bytes.
 *
 * @param broadcastInterval time between two broadcast rounds while there is something to broadcast
 * @param fanout members that a broadcast round goes to
 * @param maxMessagesPerRound messages to each of them in a round at most
 * @param broadcastBytesPerSecond bandwidth of broadcasts; what finds no room is left to anti-entropy
 * @param deltaLifetime time after which a change is not broadcast any more
 * @param maxPendingDeltas changed entries waiting to be broadcast at most; beyond that the oldest are left to
 *     anti-entropy
 * @param antiEntropyInterval usual time between two anti-entropy sessions
 * @param antiEntropyBytesPerSecond average bandwidth of sessions; the pause after a costly one is longer
 * @param retryTimeout time after which a request is repeated; doubled with each attempt
 * @param peerTimeout time after which a session with a peer that does not answer is abandoned
 * @param maxOutstandingRequests requests of a session that await a response at most
 * @param catchUpBytesPerSecond bandwidth of entries requested, and likewise of entries sent in response
 * @param maxPushBytes entries that a session sends to its peer; a peer that lacks more requests them itself
 * @param versionGossipInterval time between two messages that gossip a part of the version vector
 * @param maxClockSkew difference of clocks up to which values of another member are accepted
 * @param digestExclusionMargin an entry is left out of digests this long before it expires, so that replicas whose
 *     clocks differ a little do not exchange entries that one of them has removed
 * @param bootstrapTimeout time after the start at which a replica that found no bootstrapped peer counts as
 *     bootstrapped
 * @param stallThreshold time without a tick after which this router counts as having stalled and compares at once
 * @param maxSweptEntries entries removed or left out of the digests in one tick at most
 */
public record StateSettings(
        double broadcastInterval,
        int fanout,
        int maxMessagesPerRound,
        double broadcastBytesPerSecond,
        double deltaLifetime,
        int maxPendingDeltas,
        double antiEntropyInterval,
        double antiEntropyBytesPerSecond,
        double retryTimeout,
        double peerTimeout,
        int maxOutstandingRequests,
        double catchUpBytesPerSecond,
        double maxPushBytes,
        double versionGossipInterval,
        double maxClockSkew,
        double digestExclusionMargin,
        double bootstrapTimeout,
        double stallThreshold,
        int maxSweptEntries) {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    /** For up to a thousand routers in one network. */
    public static final StateSettings DEFAULT = new StateSettings(
            // Broadcast: five or six rounds reach a hundred routers.
            0.05,
            3,
            8,
            512 * KIB,
            2,
            8_192,
            // Anti-entropy sessions: a root digest takes some 30 bytes a type.
            1,
            16 * KIB,
            0.2,
            1,
            64,
            // Catch-up: 100,000 entries of 50 bytes in a second and a quarter.
            4 * MIB,
            64 * KIB,
            // Version gossip: eight messages of 1,150 bytes a second.
            0.125,
            // The margin covers the clock skew, a step of the digest cut-off and a session.
            1,
            4,
            // Bootstrap, stalls and sweeps.
            10,
            1,
            2_000);

    /**
     * The same with another {@link #bootstrapTimeout}, for fleets whose routers all start at once and wait for nobody.
     */
    public StateSettings withBootstrapTimeout(double seconds) {
        return new StateSettings(
                broadcastInterval,
                fanout,
                maxMessagesPerRound,
                broadcastBytesPerSecond,
                deltaLifetime,
                maxPendingDeltas,
                antiEntropyInterval,
                antiEntropyBytesPerSecond,
                retryTimeout,
                peerTimeout,
                maxOutstandingRequests,
                catchUpBytesPerSecond,
                maxPushBytes,
                versionGossipInterval,
                maxClockSkew,
                digestExclusionMargin,
                seconds,
                stallThreshold,
                maxSweptEntries);
    }
}
