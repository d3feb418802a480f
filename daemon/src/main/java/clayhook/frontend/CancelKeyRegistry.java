package clayhook.frontend;

import clayhook.protocol.ClientMessageDecoder;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/** The keys by which clients cancel the current request of a session, one for each open session. Event loop only. */
final class CancelKeyRegistry {
    /** Secure, as a client that guesses the key of another can cancel its requests. */
    private final SecureRandom random = new SecureRandom();

    private final Map<Long, ClientSession> sessions = new HashMap<>();

    /** Assigns a new unique key to a session. */
    long register(ClientSession session) {
        long key = random.nextLong();
        while (key == ClientMessageDecoder.NO_CANCEL_KEY || sessions.putIfAbsent(key, session) != null) {
            key = random.nextLong();
        }
        return key;
    }

    /** The session with that key, or null. */
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
