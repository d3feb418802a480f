package clayhook;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last-write position of each session, which provides read-your-writes consistency if requests do not carry the
 * position. Bounded: the session that wrote first is evicted first, and its position becomes a lower bound for all
 * session reads of its replica set, so that an eviction never allows a stale read. Not thread-safe: confined to the
 * event loop.
 */
final class SessionWrites {
    private record LastWrite(ReplicaSet replicaSet, double position) {}

    private final Map<String, LastWrite> lastWrites = new LinkedHashMap<>();
    private final int maxSessions;

    SessionWrites(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** Records a write of a session; a position older than the recorded one is ignored. */
    void record(String sessionId, ReplicaSet replicaSet, double position) {
        var write = new LastWrite(replicaSet, position);
        lastWrites.merge(sessionId, write, (old, added) -> old.position > added.position ? old : added);
        if (lastWrites.size() > maxSessions) {
            LastWrite evicted = lastWrites.remove(lastWrites.keySet().iterator().next());
            evicted.replicaSet.evictedWritePosition =
                    Math.max(evicted.replicaSet.evictedWritePosition, evicted.position);
        }
    }

    /** Returns the last-write position of the session, or 0 if none is recorded. */
    double position(String sessionId) {
        LastWrite lastWrite = lastWrites.get(sessionId);
        return lastWrite == null ? 0 : lastWrite.position;
    }
}
