package clayhook.peers;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.SessionConsistency;
import clayhook.fleet.types.SessionWrite;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Publishes the last write of each session, and answers which position a read of a session must cover. Confined to the
 * gossip thread, except {@link #requiredPosition}.
 */
final class SessionWriteSharing {
    /**
     * Seconds between two publications and two snapshots, short beside the time in which a session comes to another
     * router. Without this batching, sessions that write all the time would publish faster than gossip can carry.
     */
    private static final double PUBLISH_INTERVAL = 0.05;

    private final ReplicatedStore store;
    private final SessionConsistency consistency;
    /** Own writes not yet published, by session key; emptied with each publication. */
    private final Map<String, SessionWrite> pendingWrites = new LinkedHashMap<>();

    private double nextPublishAt;

    /**
     * {@code roamDelay}: seconds; a session reaches another router no sooner than that after its write was answered.
     */
    SessionWriteSharing(ReplicatedStore store, double roamDelay) {
        this.store = store;
        consistency = new SessionConsistency(store, roamDelay);
    }

    /** Throws IllegalArgumentException for a position or replica set that cannot be published. */
    void record(LocalEvent.SessionWriteCommitted event) {
        pendingWrites.merge(
                SessionWrite.key(event.session()),
                new SessionWrite(event.position(), event.replicaSet()),
                SessionWrite.TYPE::merge);
    }

    /** Publishes if it is due; returns when to call it next, in seconds since 1970. */
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

    /** The position that a read of that session must cover, in seconds since 1970; 0 for none. For any thread. */
    double requiredPosition(String session, double now) {
        return session == null ? 0 : Math.max(0, consistency.requiredPosition(SessionWrite.key(session), now));
    }
}
