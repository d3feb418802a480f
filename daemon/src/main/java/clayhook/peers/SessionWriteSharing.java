package clayhook.peers;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.SessionConsistency;
import clayhook.fleet.types.SessionWrite;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Publishes the last write of each session, and computes the position that a read of a session must cover. Confined to
 * the gossip thread, except {@link #requiredPosition}.
 */
final class SessionWriteSharing {
    /**
     * Seconds between two publications and two snapshots; short compared to the time after which a session may move to
     * another router. Without this batching, sessions that write continuously would exceed the capacity of gossip.
     */
    private static final double PUBLISH_INTERVAL = 0.05;

    private final ReplicatedStore store;
    private final SessionConsistency consistency;
    /** Own writes not yet published, by session key; cleared with each publication. */
    private final Map<String, SessionWrite> pendingWrites = new LinkedHashMap<>();

    private double nextPublishAt;

    /**
     * {@code roamDelay}: the minimum time in seconds between the answer to a session's write and the session's first
     * request at another router.
     */
    SessionWriteSharing(ReplicatedStore store, double roamDelay) {
        this.store = store;
        consistency = new SessionConsistency(store, roamDelay);
    }

    /**
     * Records a write for the next publication.
     *
     * @throws IllegalArgumentException if the position or the replica set cannot be published
     */
    void record(LocalEvent.SessionWriteCommitted event) {
        pendingWrites.merge(
                SessionWrite.key(event.session()),
                new SessionWrite(event.position(), event.replicaSet()),
                SessionWrite.TYPE::merge);
    }

    /** Publishes pending writes if due; returns when to call this method next, in seconds since 1970. */
    double tick(double now) {
        if (now >= nextPublishAt) {
            nextPublishAt = now + PUBLISH_INTERVAL;
            pendingWrites.forEach((session, write) -> store.merge(SessionWrite.TYPE, session, write, now));
            pendingWrites.clear();
            consistency.publish(now);
        }
        return nextPublishAt;
    }

    void publishOnNextTick() {
        nextPublishAt = Double.NEGATIVE_INFINITY;
    }

    /** The position that a read of the session must cover, in seconds since 1970; 0 for none. For any thread. */
    double requiredPosition(String session, double now) {
        return session == null ? 0 : Math.max(0, consistency.requiredPosition(SessionWrite.key(session), now));
    }
}
