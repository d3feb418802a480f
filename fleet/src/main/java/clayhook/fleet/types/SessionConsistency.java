package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;

/**
 * The position a replica must have applied to serve a session's read at this router, whichever router took the
 * session's writes.
 *
 * <p>It guarantees that a read sees a write of its session if it arrives at least {@code roamDelay} seconds after the
 * answer to the write, and the router that took the write has published it and is live. A session that reads at another
 * router sooner may miss its write, as may one whose router died before publishing it; clock differences count against
 * the delay. Where this replica of the session writes may be incomplete, a read is treated as if its session had
 * written {@code roamDelay} before it arrived.
 *
 * <p>One thread receives changes and publishes snapshots; any thread may read.
 */
public final class SessionConsistency {
    /** Shards searched for expired writes at each publication; all of them are searched within some seconds. */
    private static final int SHARDS_SWEPT_PER_PUBLISH = 16;

    private final ReplicatedStore store;
    private final double roamDelay;
    private volatile SessionWriteSnapshot snapshot = SessionWriteSnapshot.EMPTY;
    private SessionWriteSnapshot.Builder builder = new SessionWriteSnapshot.Builder(SessionWriteSnapshot.EMPTY);
    /** The newest position that did not fit into a snapshot. */
    private double newestDropped = Double.NEGATIVE_INFINITY;

    private int lastSweptShard;

    /**
     * Starts to follow the session writes that the store holds and receives.
     *
     * @param roamDelay the least time between the answer to a session's write and its read at another router, in
     *     seconds
     */
    public SessionConsistency(ReplicatedStore store, double roamDelay) {
        this.store = store;
        this.roamDelay = roamDelay;
        store.forEach(SessionWrite.TYPE, (session, write) -> builder.raise(session, write.position()));
        store.addListener(SessionWrite.TYPE, (session, write, now) -> builder.raise(session, write.position()));
    }

    /** Makes what has changed visible to other threads; each shard that has changed was copied once. */
    public void publish(double now) {
        // Expired writes count as dropped: a replica that far behind serves no session.
        double expired = now - SessionWrite.RETENTION_SECONDS;
        removeExpired(expired);
        newestDropped = Math.max(newestDropped, builder.newestDropped());
        double floor = Math.max(Math.max(newestDropped, store.evictionFloor(SessionWrite.TYPE)), expired);
        SessionWriteSnapshot next = builder.build(floor, store.completeUpTo(now));
        builder = new SessionWriteSnapshot.Builder(next);
        snapshot = next;
    }

    private void removeExpired(double expired) {
        for (int i = 0; i < SHARDS_SWEPT_PER_PUBLISH; i++) {
            lastSweptShard = (lastSweptShard + 1) % SessionWriteSnapshot.SHARD_COUNT;
            builder.removeBefore(lastSweptShard, expired);
        }
    }

    /**
     * Returns the position that a read must cover, in seconds since 1970. For any thread; takes one volatile read and
     * does not allocate.
     *
     * @param session as by {@link SessionWrite#key}; null for none, whose reads need not cover anything
     * @param arrivedAt when the read arrived, in seconds since 1970 on this router's clock
     */
    public double requiredPosition(String session, double arrivedAt) {
        if (session == null) {
            return Double.NEGATIVE_INFINITY;
        }
        SessionWriteSnapshot writes = snapshot;
        double required = Math.max(writes.position(session), writes.evictionFloor());
        double roamLimit = arrivedAt - roamDelay;
        return writes.completeUpTo() < roamLimit ? Math.max(required, roamLimit) : required;
    }

    /** Returns the snapshot that was published last. */
    public SessionWriteSnapshot snapshot() {
        return snapshot;
    }
}
