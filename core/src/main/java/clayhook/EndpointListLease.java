package clayhook;

/**
 * How long a router may rely on its endpoint list. A change of the list counts as notified some seconds after the
 * discovery service had it and could be reached, whether or not it arrived; so the list is a lease that each sign of
 * being up to date renews, and that lapses where none comes although the service may be reachable. An open watch alone
 * is no such sign: a silent one, and one that waits in the queue of a crowded service, looks like one with nothing to
 * report.
 *
 * <p>Pure: no clock. All times are clock times in seconds of the caller. Not thread-safe: confined to the event loop.
 */
public final class EndpointListLease {
    /** A change that has not arrived counts as notified so long after the service had it. */
    private static final double NOTIFIED_AFTER_SECONDS = 6;

    /** The same for what a service at a new address has to tell, counted from the reload that named the address. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    /** For a stall between the question and the write; the grace for draining nodes covers what is longer. */
    private static final double MARGIN_SECONDS = 0.1;

    /** No change from before this time can be unknown here and count as notified within the term. */
    private double currentAt;

    /** A list that is at most as old as the router; {@code startedAt} is when its process started. */
    public EndpointListLease(double startedAt) {
        currentAt = startedAt;
    }

    /** Never lapses: for lists that are pushed without omission. */
    public static EndpointListLease unlimited() {
        return new EndpointListLease(Double.POSITIVE_INFINITY);
    }

    /** All changes from before this time are known. */
    public void onConfirmed(double at) {
        currentAt = Math.max(currentAt, at);
    }

    /** The service has rejected the watch that was asked for then; what seemed confirmed since then is not. */
    public void onWatchRejected(double polledAt) {
        currentAt = Math.min(currentAt, polledAt);
    }

    /** The service could not be reached at this time, so that nothing from before can count as notified yet. */
    public void onUnreachable(double at) {
        currentAt = Math.max(currentAt, at);
    }

    /** From now on the service at another address counts; what the former one confirmed does not. */
    public void onReload(double at) {
        currentAt = Math.min(currentAt, at + NOTIFIED_AFTER_RELOAD_SECONDS - NOTIFIED_AFTER_SECONDS);
    }

    /** Whether the list may be relied on. */
    public boolean isValid(double now) {
        return now < currentAt + NOTIFIED_AFTER_SECONDS - MARGIN_SECONDS;
    }
}
