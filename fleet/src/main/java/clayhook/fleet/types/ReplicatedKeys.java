package clayhook.fleet.types;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/** Builds keys from several texts, and truncates names to the length that keys and values can hold. */
final class ReplicatedKeys {
    /**
     * Longest name of a router, node, zone or request class within a value, in bytes of UTF-8. A value has room for
     * eleven of them.
     */
    static final int MAX_NAME_BYTES = 48;
    /**
     * Longest node id, session or idempotency key in a key, in bytes of UTF-8. The store may limit key and value to
     * 1000 bytes together.
     */
    static final int MAX_KEY_TEXT_BYTES = 150;
    /** Separates the parts of a key: the ASCII unit separator. A truncated name contains no control characters. */
    private static final String SEPARATOR = "\u001f";
    /** Separates a truncated text from its hash. */
    private static final String HASH_MARKER = "~";

    private static final int HASH_DIGITS = 16;
    private static final String REPLACEMENT = "?";

    private ReplicatedKeys() {}

    static String join(String... parts) {
        return String.join(SEPARATOR, parts);
    }

    static List<String> split(String key) {
        return List.of(key.split(SEPARATOR, -1));
    }

    /** Returns a name truncated to the length in values and keys. */
    static String truncateName(String name) {
        return truncate(name, MAX_NAME_BYTES);
    }

    /** Returns a text truncated to the length of a key, or of the last part of one. */
    static String truncateKeyText(String text) {
        return truncate(text, MAX_KEY_TEXT_BYTES);
    }

    /**
     * Returns the text itself if it fits and is printable; otherwise its beginning and a hash of the whole text. The
     * result is the same at every router.
     */
    static String truncate(String text, int maxBytes) {
        if (FieldValidation.utf8Length(text) <= maxBytes) {
            return text;
        }
        int maxPrefixBytes = maxBytes - HASH_MARKER.length() - HASH_DIGITS;
        return printablePrefix(text, maxPrefixBytes) + HASH_MARKER + hexHash(text);
    }

    private static String printablePrefix(String text, int maxBytes) {
        var prefix = new StringBuilder();
        int bytes = 0;
        for (int codePoint : text.codePoints().toArray()) {
            String next = isPrintable(codePoint) ? Character.toString(codePoint) : REPLACEMENT;
            bytes += FieldValidation.utf8Length(next);
            if (bytes > maxBytes) {
                break;
            }
            prefix.append(next);
        }
        return prefix.toString();
    }

    private static boolean isPrintable(int codePoint) {
        boolean unpairedSurrogate = codePoint <= Character.MAX_VALUE && Character.isSurrogate((char) codePoint);
        return !Character.isISOControl(codePoint) && !unpairedSurrogate;
    }

    private static String hexHash(String text) {
        String hash = Long.toHexString(Hashing.komihash5_0().hashCharsToLong(text));
        return "0".repeat(HASH_DIGITS - hash.length()) + hash;
    }
}
