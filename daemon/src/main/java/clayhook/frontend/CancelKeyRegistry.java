package clayhook.frontend;

import clayhook.protocol.ClientMessageDecoder;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/** By which clients cancel what their sessions wait for. A key leaves with its session. */
final class CancelKeyRegistry {
    /** Guards against clients that guess the keys of others. */
    private final SecureRandom random = new SecureRandom();

    private final Map<Long, ClientSession> sessions = new HashMap<>();

    /** A key of its own. */
    long register(ClientSession session) {
        long key = random.nextLong();
        while (key == ClientMessageDecoder.NO_CANCEL_KEY || sessions.putIfAbsent(key, session) != null) {
            key = random.nextLong();
        }
        return key;
    }

    /** The session of that key, or null. */
    ClientSession find(long key) {
        return sessions.get(key);
    }

    void remove(long key) {
        sessions.remove(key);
    }

    int size() {
        return sessions.size();
    }
}
