package clayhook;

/**
 * The lease on a router's endpoint list, which limits how long the router may rely on the list. A change of the list
 * counts as notified a fixed time after the discovery service has it and is reachable, even if the change never
 * arrives. Each confirmation that the list is up to date therefore renews the lease; the lease expires if no
 * confirmation arrives although the service may be reachable. An open watch alone is no confirmation: a broken watch,
 * or one that waits in the queue of an overloaded service, cannot be distinguished from a watch without changes.
 *
 * <p>Reads no clock; all times are clock times in seconds, passed by the caller. Not thread-safe: confined to the event
 * loop.
 */
public final class EndpointListLease {
    /** The time after which a change that the service has counts as notified, even if it has not arrived. */
    private static final double NOTIFIED_AFTER_SECONDS = 6;

    /** The same time for changes at a service with a new address, counted from the reload that set the address. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    /**
     * Allows for a stall between the check of the lease and the write; the draining grace period covers longer ones.
     */
    private static final double MARGIN_SECONDS = 0.1;

    /** The start of the lease term: no change from before this time can be missing here and yet count as notified. */
    private double leaseStartAt;

    /** Creates the lease on a list that was fetched after {@code startedAt}, the start of the router's process. */
    public EndpointListLease(double startedAt) {
        leaseStartAt = startedAt;
    }

    /** Returns a lease that never expires, for lists whose changes are all pushed. */
    public static EndpointListLease unlimited() {
        return new EndpointListLease(Double.POSITIVE_INFINITY);
    }

    /** Renews the lease: the list includes all changes from before this time. */
    public void onConfirmed(double at) {
        leaseStartAt = Math.max(leaseStartAt, at);
    }

    /**
     * Revokes all confirmations since {@code polledAt}, when the watch was opened that the service has now rejected.
     */
    public void onWatchRejected(double polledAt) {
        leaseStartAt = Math.min(leaseStartAt, polledAt);
    }

    /** Restarts the term: the service was unreachable at this time, so no earlier change counts as notified yet. */
    public void onUnreachable(double at) {
        leaseStartAt = Math.max(leaseStartAt, at);
    }

    /**
     * Shortens the term after a reload to a new service address; confirmations by the former service no longer count.
     */
    public void onReload(double at) {
        leaseStartAt = Math.min(leaseStartAt, at + NOTIFIED_AFTER_RELOAD_SECONDS - NOTIFIED_AFTER_SECONDS);
    }

    /** Whether the lease has not expired, so that the list may be relied on. */
    public boolean isValid(double now) {
        return now < leaseStartAt + NOTIFIED_AFTER_SECONDS - MARGIN_SECONDS;
    }
}
