package clayhook.fleet.kinds;

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
public final class SessionNeeds {
    /** Shards looked through for old marks a publishing: all of them in some seconds. */
    private static final int SWEPT = 16;

    private final ReplicatedStore shared;
    private final double roam;
    private volatile MarkSnapshot snapshot = MarkSnapshot.EMPTY;
    private MarkSnapshot.Draft draft = new MarkSnapshot.Draft(MarkSnapshot.EMPTY);
    /** The newest that did not fit into a snapshot. */
    private double dropped = Double.NEGATIVE_INFINITY;

    private int swept;

    /** {@code roam}: the least time between the answer to a session's write and its read at another router, seconds. */
    public SessionNeeds(ReplicatedStore shared, double roam) {
        this.shared = shared;
        this.roam = roam;
        shared.forEach(Mark.KIND, (session, mark) -> draft.raise(session, mark.position()));
        shared.addListener(Mark.KIND, (session, mark, now) -> draft.raise(session, mark.position()));
    }

    /** Lets other threads see what has changed; copies what did, at most each shard once. */
    public void publish(double now) {
        // What is too old to be kept counts as dropped: a replica that far behind serves no session.
        double expired = now - Mark.KEEP;
        for (int i = 0; i < SWEPT; i++) {
            swept = (swept + 1) % MarkSnapshot.SHARDS;
            draft.forget(swept, expired);
        }
        dropped = Math.max(dropped, draft.dropped());
        double floor = Math.max(Math.max(dropped, shared.evictionFloor(Mark.KIND)), expired);
        MarkSnapshot next = draft.done(floor, shared.completeUpTo(now));
        draft = new MarkSnapshot.Draft(next);
        snapshot = next;
    }

    /**
     * The position that a read must cover, seconds since 1970. For any thread; one volatile read, nothing is made.
     *
     * @param session as {@link Mark#key} has it; null for none, whose reads need cover nothing
     * @param arrived when the read came, seconds since 1970 on this router's clock
     */
    public double need(String session, double arrived) {
        if (session == null) {
            return Double.NEGATIVE_INFINITY;
        }
        MarkSnapshot marks = snapshot;
        double need = Math.max(marks.position(session), marks.floor());
        return marks.certainUpTo() < arrived - roam ? Math.max(need, arrived - roam) : need;
    }

    /** As last published. */
    public MarkSnapshot snapshot() {
        return snapshot;
    }
}
