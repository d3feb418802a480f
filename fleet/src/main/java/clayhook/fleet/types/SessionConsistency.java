package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;

/**
 * Calculates the log position that a replica must have applied to serve a session's read at this router, whichever
 * router sent the session's writes.
 *
 * <p>A read sees an earlier write of its session if it arrives at least {@code roamDelay} seconds after the response to
 * the write, and the router that sent the write has published it and is live. A session that reads at another router
 * sooner may miss its write, as may a session whose router failed before publishing the write; clock differences count
 * against the delay. While this router's replica of the session writes may be incomplete, a read is treated as if its
 * session had written {@code roamDelay} seconds before the read arrived.
 *
 * <p>One thread receives changes and publishes snapshots; any thread may read.
 */
public final class SessionConsistency {
    /**
     * Number of shards searched for expired writes at each publication, so that all are searched within some seconds.
     */
    private static final int SHARDS_SWEPT_PER_PUBLISH = 16;

    private final ReplicatedStore store;
    private final double roamDelay;
    private volatile SessionWriteSnapshot snapshot = SessionWriteSnapshot.EMPTY;
    private SessionWriteSnapshot.Builder builder = new SessionWriteSnapshot.Builder(SessionWriteSnapshot.EMPTY);
    /** Newest position evicted from a full shard of a snapshot; negative infinity for none. */
    private double newestEvictedPosition = Double.NEGATIVE_INFINITY;

    private int lastSweptShard;

    /**
     * Loads the session writes that the store holds, and subscribes to its changes.
     *
     * @param roamDelay the minimum time between the response to a session's write and its read at another router, in
     *     seconds
     */
    public SessionConsistency(ReplicatedStore store, double roamDelay) {
        this.store = store;
        this.roamDelay = roamDelay;
        store.forEach(SessionWrite.TYPE, (session, write) -> builder.raise(session, write.position()));
        store.addListener(SessionWrite.TYPE, (session, write, now) -> builder.raise(session, write.position()));
    }

    /**
     * Publishes a new snapshot with all changes since the last one. Each changed shard was copied once, not once per
     * change.
     */
    public void publish(double now) {
        // Expired writes raise the floor like evicted ones: a replica that lags behind them serves no session.
        double expiredBefore = now - SessionWrite.RETENTION_SECONDS;
        removeExpired(expiredBefore);
        newestEvictedPosition = Math.max(newestEvictedPosition, builder.newestEvictedPosition());
        double floor = Math.max(Math.max(newestEvictedPosition, store.evictionFloor(SessionWrite.TYPE)), expiredBefore);
        SessionWriteSnapshot next = builder.build(floor, store.completeUpTo(now));
        builder = new SessionWriteSnapshot.Builder(next);
        snapshot = next;
    }

    private void removeExpired(double expiredBefore) {
        for (int i = 0; i < SHARDS_SWEPT_PER_PUBLISH; i++) {
            lastSweptShard = (lastSweptShard + 1) % SessionWriteSnapshot.SHARD_COUNT;
            builder.removeBefore(lastSweptShard, expiredBefore);
        }
    }

    /**
     * Returns the position that a read must cover, in seconds since 1970. May be called by any thread; does one
     * volatile read and no allocation.
     *
     * @param session the key from {@link SessionWrite#key}; null for a request without session, whose read need not
     *     cover any write
     * @param arrivedAt the time at which the read arrived, in seconds since 1970 on this router's clock
     */
    public double requiredPosition(String session, double arrivedAt) {
        if (session == null) {
            return Double.NEGATIVE_INFINITY;
        }
        SessionWriteSnapshot writes = snapshot;
        double required = Math.max(writes.position(session), writes.evictionFloor());
        double roamWindowStart = arrivedAt - roamDelay;
        return writes.completeUpTo() < roamWindowStart ? Math.max(required, roamWindowStart) : required;
    }

    /** Returns the latest published snapshot. */
    public SessionWriteSnapshot snapshot() {
        return snapshot;
    }
}
