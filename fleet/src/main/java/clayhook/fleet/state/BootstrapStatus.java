package clayhook.fleet.state;

import clayhook.fleet.MembershipView;

/**
 * Tracks whether this replica has the entries that the fleet had when this router started. Before that, the absence of
 * an entry does not imply that it was never written. Not thread-safe.
 */
final class BootstrapStatus {
    private final MembershipView membership;
    private final double timeout;
    private final double startedAt;
    private boolean bootstrappedFromPeer;
    /** Whether any session was done, even if its peer was not bootstrapped. */
    private boolean sessionDone;

    /**
     * @param timeout seconds after the start at which a replica that found no bootstrapped peer counts as bootstrapped
     */
    BootstrapStatus(MembershipView membership, double timeout, double now) {
        this.membership = membership;
        this.timeout = timeout;
        startedAt = now;
    }

    /**
     * Whether the replica received all entries of a bootstrapped peer. Once the timeout has elapsed, a session with any
     * peer, or the absence of any peer that may be serving, is sufficient.
     */
    boolean isBootstrapped(double now) {
        return bootstrappedFromPeer || (isTimeoutOver(now) && (sessionDone || hasNoPeers(now)));
    }

    boolean isBootstrappedFromPeer() {
        return bootstrappedFromPeer;
    }

    private boolean isTimeoutOver(double now) {
        return now - startedAt >= timeout;
    }

    private boolean hasNoPeers(double now) {
        return membership.livePeers().isEmpty()
                && membership.possiblyServing(now).isEmpty();
    }

    void onSessionDone() {
        sessionDone = true;
    }

    /** Records that the replica now has all entries of a peer. */
    void onReplicaComplete(boolean peerBootstrapped, double now) {
        bootstrappedFromPeer |= peerBootstrapped || isTimeoutOver(now);
    }
}
