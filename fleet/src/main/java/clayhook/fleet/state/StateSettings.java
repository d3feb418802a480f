package clayhook.fleet.state;

/**
 * Settings of a {@link ReplicatedState}. Times are in seconds and sizes in bytes.
 *
 * @param broadcastInterval time between two broadcast rounds while changed entries are pending
 * @param fanout number of members to which a broadcast round is sent
 * @param maxMessagesPerRound maximum number of messages to each of these members in a round
 * @param broadcastBytesPerSecond bandwidth of broadcasts; changes that exceed it are replicated by anti-entropy
 * @param deltaLifetime time after a change during which it is broadcast
 * @param maxPendingDeltas maximum number of changed entries that are being broadcast, for urgent and for other types
 *     each; entries beyond it are replicated by anti-entropy
 * @param antiEntropyInterval average time between two anti-entropy sessions that use little bandwidth
 * @param antiEntropyBytesPerSecond average bandwidth of sessions; the pause after a session that exceeds it is longer
 * @param retryTimeout time after which a request is retried for the first time; doubles with each attempt
 * @param peerTimeout time without a response after which a session is abandoned
 * @param maxOutstandingRequests maximum number of unanswered requests of a session
 * @param catchUpBytesPerSecond bandwidth of the sessions that this router starts, and separately of its responses to
 *     the sessions of other routers
 * @param maxPushBytes size of the entries that a session pushes to its peer; a peer that lacks more entries requests
 *     them itself
 * @param versionGossipInterval time between two messages that gossip a part of the version vector
 * @param maxClockSkew maximum clock difference at which clock-dependent values of another member are accepted
 * @param digestExclusionMargin time before its expiry from which on an entry is left out of digests, so that replicas
 *     with slightly different clocks do not exchange entries that one of them has already removed
 * @param bootstrapTimeout time after the start at which a replica that found no bootstrapped peer counts as
 *     bootstrapped
 * @param stallThreshold time without a tick after which this router counts as stalled and starts a new session
 *     immediately
 * @param maxSweptEntries maximum number of entries of each type that one sweep removes or leaves out of the digest
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

    /** Defaults for up to 1,000 routers in one network. */
    public static final StateSettings DEFAULT = new StateSettings(
            // Broadcast: five or six rounds reach 100 routers.
            0.05,
            3,
            8,
            512 * KIB,
            2,
            8_192,
            // Anti-entropy sessions: a root digest takes about 30 bytes per type.
            1,
            16 * KIB,
            0.2,
            1,
            64,
            // Catch-up: 100,000 entries of 50 bytes take 1.25 s.
            4 * MIB,
            64 * KIB,
            // Version gossip: eight messages of 1,150 bytes per second.
            0.125,
            // The exclusion margin covers the clock skew, one step of the digest cut-off and the duration of a session.
            1,
            4,
            // Bootstrap, stalls and sweeps.
            10,
            1,
            2_000);

    /**
     * Returns these settings with another {@link #bootstrapTimeout}, for fleets whose routers all start at the same
     * time and therefore find no bootstrapped peer.
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
