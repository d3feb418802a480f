package clayhook;

/**
 * How long a router may rely on its endpoint list. A change of the list counts as notified some seconds after the
 * discovery service had it and could be reached, whether or not it arrived; so the list is a lease that each sign of
 * being up to date renews, and that lapses where none comes although the service may be reachable.
 *
 * <p>Pure: no clock. All times are clock times in seconds of the caller. Not thread-safe: confined to the event loop.
 */
public final class EndpointListLease {
    /** A change that has not arrived counts as notified so long after the service had it. */
    private static final double NOTIFIED_AFTER_SECONDS = 6;

    /** The same for what a service at a new address has to tell, counted from the reload that named the address. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    /** What an open watch misses counts as notified so long after the end of its wait, if that is later. */
    private static final double NOTIFIED_AFTER_WATCH_SECONDS = 2;

    /** For a stall between the question and the write; the grace for draining nodes covers what is longer. */
    private static final double MARGIN_SECONDS = 0.1;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** No change from before this time can be unknown here and count as notified within the term. */
    private double currentAt;
    /** What the open watch covers; {@link #NEVER} without one. */
    private double coveredByWatchUntil = NEVER;

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

    /** The service has accepted a watch, which waits for changes until this time. */
    public void onWatchAccepted(double waitEndsAt) {
        coveredByWatchUntil = waitEndsAt + NOTIFIED_AFTER_WATCH_SECONDS;
    }

    /** No watch is open any more. */
    public void onWatchEnded() {
        coveredByWatchUntil = NEVER;
    }

    /** The service has rejected the watch that was asked for then; what seemed confirmed since then is not. */
    public void onWatchRejected(double polledAt) {
        currentAt = Math.min(currentAt, polledAt);
        onWatchEnded();
    }

    /** The service could not be reached at this time, so that nothing from before can count as notified yet. */
    public void onUnreachable(double at) {
        currentAt = Math.max(currentAt, at);
    }

    /** From now on the service at another address counts; what the former one confirmed does not. */
    public void onReload(double at) {
        currentAt = Math.min(currentAt, at + NOTIFIED_AFTER_RELOAD_SECONDS - NOTIFIED_AFTER_SECONDS);
        coveredByWatchUntil = NEVER;
    }

    /** Whether the list may be relied on. */
    public boolean isValid(double now) {
        return now < Math.max(currentAt + NOTIFIED_AFTER_SECONDS, coveredByWatchUntil) - MARGIN_SECONDS;
    }
}
