package clayhook.fleet.types;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/** Keys made of several texts, and names cut to the room that keys and values have. */
final class ReplicatedKeys {
    /** Bytes of a name of a router, node, zone or command group within a value; a value must hold eleven. */
    static final int MAX_NAME_BYTES = 48;
    /**
     * Bytes of a node's id, a session or a mark as a key; a store may ask that key and value be a thousand at the most.
     */
    static final int MAX_KEY_TEXT_BYTES = 150;
    /** The separator of units in ASCII; no name holds a control character once it is cut. */
    private static final String SEPARATOR = "\u001f";
    /** A tilde and a hash. */
    private static final int HASH_SUFFIX_LENGTH = 17;

    private ReplicatedKeys() {}

    static String join(String... parts) {
        return String.join(SEPARATOR, parts);
    }

    static List<String> split(String key) {
        return List.of(key.split(SEPARATOR, -1));
    }

    static String truncateName(String name) {
        return truncate(name, MAX_NAME_BYTES);
    }

    /** Of a text that is a key, or ends one. */
    static String truncateKeyText(String text) {
        return truncate(text, MAX_KEY_TEXT_BYTES);
    }

    /** The same text where it fits; else its beginning and a hash of it, the same at every router. */
    static String truncate(String text, int most) {
        if (FieldValidation.utf8Length(text) <= most) {
            return text;
        }
        var out = new StringBuilder();
        int bytes = 0;
        for (int c : text.codePoints().toArray()) {
            boolean plain = !Character.isISOControl(c) && (c > Character.MAX_VALUE || !Character.isSurrogate((char) c));
            String next = plain ? Character.toString(c) : "?";
            bytes += FieldValidation.utf8Length(next);
            if (bytes > most - HASH_SUFFIX_LENGTH) {
                break;
            }
            out.append(next);
        }
        String hash = Long.toHexString(Hashing.komihash5_0().hashCharsToLong(text));
        return out + "~" + "0".repeat(HASH_SUFFIX_LENGTH - 1 - hash.length()) + hash;
    }
}
