package clayhook.fleet.state;

/**
 * Upper bounds, in bytes, of the encoded sizes of the parts of a state message. Senders use them to fill a packet
 * without encoding twice and to charge bandwidth.
 */
final class EncodedSizes {
    /** Size of all fields of a message except the list elements. */
    static final int HEADER_BYTES = 72;
    /** Size of an entry without its key, value and update ids. */
    static final int ENTRY_OVERHEAD_BYTES = 13;
    /** Size of an integer or floating-point number of any value. */
    static final int NUMBER_BYTES = 9;
    /** Size of two numbers of any value. */
    static final int NUMBER_PAIR_BYTES = 2 * NUMBER_BYTES;
    /** Size of the root digest of one replicated type. */
    static final int ROOT_DIGEST_BYTES = 31;
    /** Size of a hash sum with an entry count; assumes a small count. */
    static final int TREE_CHILD_BYTES = 12;
    /** Size of the fingerprint of an entry. */
    static final int FINGERPRINT_BYTES = 5;

    private EncodedSizes() {}

    /** Returns the encoded size of an integer. */
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

    /**
     * Returns the size of {@code key} in UTF-8, or a negative number if the key is empty or contains an unpaired
     * surrogate.
     */
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
