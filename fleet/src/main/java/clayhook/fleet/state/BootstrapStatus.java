package clayhook.fleet.state;

import clayhook.fleet.MembershipView;

/**
 * Whether this replica holds what the fleet held when this router started. Until then, the absence of an entry means
 * nothing. Not thread-safe.
 */
final class BootstrapStatus {
    private final MembershipView membership;
    private final double timeout;
    private final double startedAt;
    private boolean bootstrappedFromPeer;
    /** A session with some peer was done, though the peer may have known no more than this replica. */
    private boolean sessionDone;

    /** @param timeout seconds after which a replica that found no bootstrapped peer counts as bootstrapped */
    BootstrapStatus(MembershipView membership, double timeout, double now) {
        this.membership = membership;
        this.timeout = timeout;
        startedAt = now;
    }

    /**
     * Whether the replica got everything from a peer that was bootstrapped itself, or found no such peer for the
     * timeout and has either compared with a peer that knew no more, or has no peers at all.
     */
    boolean isBootstrapped(double now) {
        return bootstrappedFromPeer || (isTimeoutOver(now) && (sessionDone || isAlone(now)));
    }

    boolean isBootstrappedFromPeer() {
        return bootstrappedFromPeer;
    }

    private boolean isTimeoutOver(double now) {
        return now - startedAt >= timeout;
    }

    private boolean isAlone(double now) {
        return membership.livePeers().isEmpty()
                && membership.possiblyServing(now).isEmpty();
    }

    void onSessionDone() {
        sessionDone = true;
    }

    /** The replica now holds all that a peer held, which may be bootstrapped itself. */
    void onReplicaComplete(boolean peerBootstrapped, double now) {
        bootstrappedFromPeer |= peerBootstrapped || isTimeoutOver(now);
    }
}
