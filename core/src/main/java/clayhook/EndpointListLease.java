package clayhook;

import static clayhook.NodeState.NEVER;

/**
 * The lease on a router's endpoint list, which limits how long the router may rely on the list. A change of the list
 * counts as notified a fixed time after the discovery service has it and is reachable, even if the change never
 * arrives. Each confirmation that the list is up to date therefore renews the lease; the lease expires if no
 * confirmation arrives although the service may be reachable. An open watch alone is no confirmation: a broken watch,
 * or one that waits in the queue of an overloaded service, cannot be distinguished from a watch without changes.
 *
 * <p>Where changes are pushed, they count as notified as soon as the service has them. The list with which a process
 * starts may be older than that, so the lease begins with the first confirmation. It ends soon after the watch is lost,
 * and lasts as briefly while the service answers late or refuses connections: a change could come at any moment, and
 * the draining grace period is all that is left to react. If no node can confirm itself with a health check, the list
 * is all there is, and from the first confirmation on it is relied on as where it is polled.
 *
 * <p>Reads no clock; all times are clock times in seconds, passed by the caller. Not thread-safe: confined to the event
 * loop.
 */
public final class EndpointListLease {
    /**
     * Allows for a stall between the check of the lease and the write; the draining grace period covers longer ones.
     */
    private static final double MARGIN_SECONDS = 0.1;

    /** The time after which a change that the service has counts as notified, less the margin. */
    private static final double TERM_SECONDS = 6 - MARGIN_SECONDS;

    /** The same time for changes at a service with a new address, counted from the reload that set the address. */
    private static final double TERM_AFTER_RELOAD_SECONDS = 4 - MARGIN_SECONDS;

    /**
     * How long a node gets attempts without a valid list, counted from when its last passed health check was sent: two
     * thirds of the time after which a change counts as notified. The other third allows for nodes that start to fail
     * health checks late after they have begun to drain.
     */
    private static final double CONFIRMATION_SECONDS = 4;

    /**
     * The part of the draining grace period for which the list or a passed health check may be relied on. The rest
     * covers a stall before the write and nodes that start to fail health checks late.
     */
    private static final double GRACE_FRACTION = 2.0 / 3;

    /** How long the list may be relied on without an open watch that is answered in time. */
    private final double unwatchedTermSeconds;

    private final double confirmationSeconds;
    private double validUntil;

    private EndpointListLease(double validUntil, double unwatchedTermSeconds, double confirmationSeconds) {
        this.validUntil = validUntil;
        this.unwatchedTermSeconds = unwatchedTermSeconds;
        this.confirmationSeconds = confirmationSeconds;
    }

    /** Creates the lease on a polled list that was fetched after {@code startedAt}, the start of the process. */
    public EndpointListLease(double startedAt) {
        this(startedAt + TERM_SECONDS, TERM_SECONDS, CONFIRMATION_SECONDS);
    }

    /**
     * Creates the lease on the list with which a process starts.
     *
     * @param processStartedAt when the process started; a polled list was fetched after that
     * @param healthChecksAllowed whether a health check can confirm a node while the list is not valid
     */
    public static EndpointListLease of(
            EndpointListDelivery delivery, boolean healthChecksAllowed, double processStartedAt) {
        if (!delivery.pushed()) {
            return new EndpointListLease(processStartedAt);
        }
        double reactionSeconds = delivery.drainGraceSeconds() * GRACE_FRACTION;
        return healthChecksAllowed
                ? new EndpointListLease(NEVER, reactionSeconds, reactionSeconds)
                : new EndpointListLease(NEVER, TERM_SECONDS, CONFIRMATION_SECONDS);
    }

    /** Returns a lease that never expires, for lists whose changes are passed to the router without its asking. */
    public static EndpointListLease unlimited() {
        return new EndpointListLease(Double.POSITIVE_INFINITY);
    }

    /**
     * Renews the lease: the list includes all changes from before a time.
     *
     * @param receivedAt when the confirmation was received; much later than {@code at} if the service answers late
     */
    public void onConfirmed(double at, double receivedAt) {
        boolean prompt = receivedAt - at <= unwatchedTermSeconds;
        validUntil = Math.max(validUntil, at + (prompt ? TERM_SECONDS : unwatchedTermSeconds));
    }

    /**
     * Revokes all confirmations since {@code polledAt}, when the watch was opened that the service has now rejected.
     */
    public void onWatchRejected(double polledAt) {
        onWatchLost(polledAt);
    }

    /** Shortens the term: from this time on no watch was open that would have brought changes. */
    public void onWatchLost(double at) {
        validUntil = Math.min(validUntil, at + unwatchedTermSeconds);
    }

    /** Restarts the term: the service was unreachable at this time, so no earlier change counts as notified yet. */
    public void onUnreachable(double at) {
        validUntil = Math.max(validUntil, at + unwatchedTermSeconds);
    }

    /**
     * Shortens the term after a reload to a new service address; confirmations by the former service no longer count.
     */
    public void onReload(double at) {
        validUntil = Math.min(validUntil, at + TERM_AFTER_RELOAD_SECONDS);
    }

    /** Whether the lease has not expired, so that the list may be relied on. */
    public boolean isValid(double now) {
        return now < validUntil;
    }

    /** How long a node gets attempts without a valid list, from when its last passed health check was sent. */
    double confirmationSeconds() {
        return confirmationSeconds;
    }
}
