package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;

/**
 * How far a replica must be to serve a session's read at this router, whichever router took the session's writes.
 *
 * <p>It promises: a read that arrives {@code roam} seconds or more after the answer to a write of its session, which
 * any router that lives has sent on, sees that write. A session that comes back to another router sooner may miss it,
 * as may one whose router died before it could tell; clocks that differ eat into {@code roam}. Where this copy may be
 * incomplete the read covers all that was written until {@code roam} before it arrived, as if that were its own.
 *
 * <p>One thread feeds and publishes; any thread asks.
 */
public final class SessionConsistency {
    /** Shards looked through for old marks a publishing: all of them in some seconds. */
    private static final int SHARDS_SWEPT_PER_PUBLISH = 16;

    private final ReplicatedStore store;
    private final double roamDelay;
    private volatile SessionWriteSnapshot snapshot = SessionWriteSnapshot.EMPTY;
    private SessionWriteSnapshot.Builder builder = new SessionWriteSnapshot.Builder(SessionWriteSnapshot.EMPTY);
    /** The newest that did not fit into a snapshot. */
    private double newestDropped = Double.NEGATIVE_INFINITY;

    private int lastSweptShard;

    /** {@code roam}: the least time between the answer to a session's write and its read at another router, seconds. */
    public SessionConsistency(ReplicatedStore shared, double roam) {
        this.store = shared;
        this.roamDelay = roam;
        shared.forEach(SessionWrite.TYPE, (session, mark) -> builder.raise(session, mark.position()));
        shared.addListener(SessionWrite.TYPE, (session, mark, now) -> builder.raise(session, mark.position()));
    }

    /** Lets other threads see what has changed; copies what did, at most each shard once. */
    public void publish(double now) {
        // What is too old to be kept counts as dropped: a replica that far behind serves no session.
        double expired = now - SessionWrite.RETENTION_SECONDS;
        for (int i = 0; i < SHARDS_SWEPT_PER_PUBLISH; i++) {
            lastSweptShard = (lastSweptShard + 1) % SessionWriteSnapshot.SHARD_COUNT;
            builder.removeBefore(lastSweptShard, expired);
        }
        newestDropped = Math.max(newestDropped, builder.newestDropped());
        double floor = Math.max(Math.max(newestDropped, store.evictionFloor(SessionWrite.TYPE)), expired);
        SessionWriteSnapshot next = builder.build(floor, store.completeUpTo(now));
        builder = new SessionWriteSnapshot.Builder(next);
        snapshot = next;
    }

    /**
     * The position that a read must cover, seconds since 1970. For any thread; one volatile read, nothing is made.
     *
     * @param session as {@link SessionWrite#key} has it; null for none, whose reads need cover nothing
     * @param arrived when the read came, seconds since 1970 on this router's clock
     */
    public double requiredPosition(String session, double arrived) {
        if (session == null) {
            return Double.NEGATIVE_INFINITY;
        }
        SessionWriteSnapshot marks = snapshot;
        double need = Math.max(marks.position(session), marks.evictionFloor());
        return marks.completeUpTo() < arrived - roamDelay ? Math.max(need, arrived - roamDelay) : need;
    }

    /** As last published. */
    public SessionWriteSnapshot snapshot() {
        return snapshot;
    }
}
