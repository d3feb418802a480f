package clayhook.fleet.kinds;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/** Keys made of several texts, and names cut to the room that keys and values have. */
final class Keys {
    /** Bytes of a name of a router, node, zone or command group within a value; a value must hold eleven. */
    static final int LONGEST_NAME = 48;
    /**
     * Bytes of a node's id, a session or a mark as a key; a store may ask that key and value be a thousand at the most.
     */
    static final int LONGEST_TEXT = 150;
    /** The separator of units in ASCII; no name holds a control character once it is cut. */
    private static final String BETWEEN = "\u001f";
    /** A tilde and a hash. */
    private static final int TAIL = 17;

    private Keys() {}

    static String of(String... parts) {
        return String.join(BETWEEN, parts);
    }

    static List<String> parts(String key) {
        return List.of(key.split(BETWEEN, -1));
    }

    static String name(String name) {
        return cut(name, LONGEST_NAME);
    }

    /** Of a text that is a key, or ends one. */
    static String whole(String text) {
        return cut(text, LONGEST_TEXT);
    }

    /** The same text where it fits; else its beginning and a hash of it, the same at every router. */
    static String cut(String text, int most) {
        if (Check.bytes(text) <= most) {
            return text;
        }
        var out = new StringBuilder();
        int bytes = 0;
        for (int c : text.codePoints().toArray()) {
            boolean plain = !Character.isISOControl(c) && (c > Character.MAX_VALUE || !Character.isSurrogate((char) c));
            String next = plain ? Character.toString(c) : "?";
            bytes += Check.bytes(next);
            if (bytes > most - TAIL) {
                break;
            }
            out.append(next);
        }
        String hash = Long.toHexString(Hashing.komihash5_0().hashCharsToLong(text));
        return out + "~" + "0".repeat(TAIL - 1 - hash.length()) + hash;
    }
}
