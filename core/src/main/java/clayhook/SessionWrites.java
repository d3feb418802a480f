package clayhook;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last write position of each session, for read-your-writes where requests do not carry it. Bounded: the session
 * that wrote first is evicted first, and its position becomes the floor of all session reads of its replica set, so
 * that an eviction never allows a stale read. Not thread-safe: confined to the event loop.
 */
final class SessionWrites {
    private record LastWrite(ReplicaSet replicaSet, double position) {}

    private final Map<String, LastWrite> lastWrites = new LinkedHashMap<>();
    private final int maxSessions;

    SessionWrites(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** Records a write of a session; an older position than the known one changes nothing. */
    void record(String sessionId, ReplicaSet replicaSet, double position) {
        var write = new LastWrite(replicaSet, position);
        lastWrites.merge(sessionId, write, (old, added) -> old.position > added.position ? old : added);
        if (lastWrites.size() > maxSessions) {
            LastWrite evicted = lastWrites.remove(lastWrites.keySet().iterator().next());
            evicted.replicaSet.evictedWritePosition =
                    Math.max(evicted.replicaSet.evictedWritePosition, evicted.position);
        }
    }

    /** Returns the position of the session's last write, or 0 if none is known. */
    double position(String sessionId) {
        LastWrite lastWrite = lastWrites.get(sessionId);
        return lastWrite == null ? 0 : lastWrite.position;
    }
}
