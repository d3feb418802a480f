package clayhook.front;

import clayhook.protocol.ClientDecoder;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/** By which clients cancel what their sessions wait for. A key leaves with its session. */
final class CancelKeys {
    /** Guards against clients that guess the keys of others. */
    private final SecureRandom random = new SecureRandom();

    private final Map<Long, Session> sessions = new HashMap<>();

    /** A key of its own. */
    long give(Session session) {
        long key = random.nextLong();
        while (key == ClientDecoder.NO_KEY || sessions.putIfAbsent(key, session) != null) {
            key = random.nextLong();
        }
        return key;
    }

    /** The session of that key, or null. */
    Session of(long key) {
        return sessions.get(key);
    }

    void take(long key) {
        sessions.remove(key);
    }

    int size() {
        return sessions.size();
    }
}
