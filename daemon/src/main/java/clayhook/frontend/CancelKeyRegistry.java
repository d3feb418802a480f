package clayhook.frontend;

import clayhook.protocol.ClientMessageDecoder;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/**
 * The keys that authorize clients to cancel the current request of a session, one for each open session. All methods
 * must be called on the event loop.
 */
final class CancelKeyRegistry {
    /** Cryptographically secure, because a client that guesses the key of another client can cancel its requests. */
    private final SecureRandom random = new SecureRandom();

    private final Map<Long, ClientSession> sessions = new HashMap<>();

    /** Registers a session under a new unique key and returns the key. */
    long register(ClientSession session) {
        long key = random.nextLong();
        while (key == ClientMessageDecoder.NO_CANCEL_KEY || sessions.putIfAbsent(key, session) != null) {
            key = random.nextLong();
        }
        return key;
    }

    /** The session that is registered under a key, or null if there is none. */
    ClientSession find(long key) {
        return sessions.get(key);
    }

    /** Removes a key; does nothing if it is not registered. */
    void remove(long key) {
        sessions.remove(key);
    }

    int size() {
        return sessions.size();
    }
}
