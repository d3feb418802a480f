package clayhook.fleet.state;

/**
 * Upper bounds, in bytes, of what the parts of a state message take once encoded. Senders use them to fill a packet
 * without encoding twice, and to charge bandwidth.
 */
final class EncodedSizes {
    /** All fields of a message beside the entries that it lists. */
    static final int HEADER_BYTES = 72;
    /** An entry beside its key, its value and its update ids. */
    static final int ENTRY_OVERHEAD_BYTES = 13;
    /** A number of any size. */
    static final int NUMBER_BYTES = 9;
    /** Two numbers of any size. */
    static final int NUMBER_PAIR_BYTES = 2 * NUMBER_BYTES;
    /** The digest of one replicated type. */
    static final int ROOT_DIGEST_BYTES = 31;
    /** A sum of hashes with a count of entries; the count is small. */
    static final int TREE_CHILD_BYTES = 12;
    /** The fingerprint of an entry. */
    static final int FINGERPRINT_BYTES = 5;

    private EncodedSizes() {}

    /** The bytes that {@code value} takes as an integer. */
    static int integerBytes(long value) {
        if (value < 0) {
            return NUMBER_BYTES;
        }
        if (value < 1 << Byte.SIZE) {
            return 1 + Byte.BYTES;
        }
        if (value < 1 << Short.SIZE) {
            return 1 + Short.BYTES;
        }
        return value < 1L << Integer.SIZE ? 1 + Integer.BYTES : NUMBER_BYTES;
    }

    /** The bytes of {@code key} in UTF-8; negative if it is empty or holds an unpaired surrogate. */
    static int utf8Length(String key) {
        int bytes = key.isEmpty() ? -1 : 0;
        for (int i = 0; i < key.length(); i++) {
            char c = key.charAt(i);
            if (!Character.isSurrogate(c)) {
                bytes += utf8Length(c);
            } else if (startsSurrogatePair(key, i)) {
                bytes += 4;
                i++;
            } else {
                return -1;
            }
        }
        return bytes;
    }

    private static int utf8Length(char c) {
        if (c < 0x80) {
            return 1;
        }
        return c < 0x800 ? 2 : 3;
    }

    private static boolean startsSurrogatePair(String text, int index) {
        return Character.isHighSurrogate(text.charAt(index))
                && index + 1 < text.length()
                && Character.isLowSurrogate(text.charAt(index + 1));
    }
}
