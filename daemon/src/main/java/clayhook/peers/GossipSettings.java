package clayhook.peers;

import clayhook.config.SharingSettings;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.StateSettings;

/**
 * Derives the settings of the gossip protocols: the defaults, overridden by the values that the operator's file sets.
 */
final class GossipSettings {
    /** The error of a measured clock skew in seconds; the tolerance is larger by it to accept every allowed skew. */
    private static final double CLOCK_MEASUREMENT_ERROR = 0.5;

    private GossipSettings() {}

    static MembershipSettings membership(SharingSettings operator) {
        MembershipSettings defaults = MembershipSettings.DEFAULT;
        return new MembershipSettings(
                defaults.probeInterval(),
                defaults.probeRetryDelay(),
                defaults.indirectPings(),
                defaults.gossipInterval(),
                defaults.gossipFanout(),
                defaults.suspicionMultiplier(),
                defaults.maxSuspicionFactor(),
                defaults.reconnectInterval(),
                defaults.maxReconnectInterval(),
                defaults.deadMemberRetention(),
                operator.deadAfter(),
                operator.maxClockSkew(),
                defaults.stallThreshold(),
                defaults.maxNames());
    }

    static StateSettings state(SharingSettings operator, StateSettings defaults) {
        return new StateSettings(
                defaults.broadcastInterval(),
                defaults.fanout(),
                defaults.maxMessagesPerRound(),
                operator.gossipBytesPerSecond(),
                defaults.deltaLifetime(),
                defaults.maxPendingDeltas(),
                defaults.antiEntropyInterval(),
                defaults.antiEntropyBytesPerSecond(),
                defaults.retryTimeout(),
                defaults.peerTimeout(),
                defaults.maxOutstandingRequests(),
                operator.antiEntropyBytesPerSecond(),
                defaults.maxPushBytes(),
                defaults.versionGossipInterval(),
                operator.maxClockSkew() + CLOCK_MEASUREMENT_ERROR,
                defaults.digestExclusionMargin(),
                defaults.bootstrapTimeout(),
                defaults.stallThreshold(),
                defaults.maxSweptEntries());
    }
}
