package clayhook.fleet.types;

/**
 * Checks of the fields of replicated values. Whatever comes from outside passes them, and is rejected with an
 * {@link IllegalArgumentException} if it is out of range.
 */
final class FieldValidation {
    /** In seconds since 1970: the year 2286. */
    static final double MAX_TIME = 1e10;
    /** Seconds by which the clocks of routers and nodes may differ before a time in the future is rejected. */
    static final double MAX_CLOCK_DIFFERENCE = 10;
    /** Replica sets are numbered from 0; far more than any fleet has. */
    static final int MAX_REPLICA_SETS = 1 << 20;
    /** Exclusive bound of port numbers. */
    static final int PORT_LIMIT = 1 << Character.SIZE;

    private static final int TWO_BYTE_START = 0x80;
    private static final int THREE_BYTE_START = 0x800;

    private FieldValidation() {}

    /**
     * Returns a value that is from 0 to {@code max}, with 0 in place of minus 0. Merge functions go by order, in which
     * the two zeros are equal although their encodings differ.
     */
    static double requireWithin(double value, double max, String what) {
        boolean within = value >= 0 && value <= max;
        if (!within) {
            throw new IllegalArgumentException(what + " of " + value);
        }
        return value + 0.0;
    }

    static double requireTime(double value) {
        return requireWithin(value, MAX_TIME, "time");
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalArgumentException(what);
        }
    }

    static void requireReplicaSet(int replicaSet) {
        require(replicaSet >= 0 && replicaSet < MAX_REPLICA_SETS, "replica set of " + replicaSet);
    }

    /**
     * Returns a text of at most {@code maxBytes} in UTF-8 without control characters. Unpaired surrogates are rejected
     * too: they can be decoded from corrupted bytes, but not be encoded again.
     */
    static String requireText(String value, int maxBytes, String what) {
        require(value != null && utf8Length(value) <= maxBytes, what);
        return value;
    }

    /**
     * Returns the length in UTF-8; {@link Integer#MAX_VALUE} for a text with control characters or unpaired surrogates.
     */
    static int utf8Length(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isISOControl(c)) {
                return Integer.MAX_VALUE;
            } else if (Character.isSurrogate(c)) {
                if (!startsSurrogatePair(text, i)) {
                    return Integer.MAX_VALUE;
                }
                bytes += 4;
                i++;
            } else {
                bytes += utf8Length(c);
            }
        }
        return bytes;
    }

    private static boolean startsSurrogatePair(String text, int index) {
        return Character.isHighSurrogate(text.charAt(index))
                && index + 1 < text.length()
                && Character.isLowSurrogate(text.charAt(index + 1));
    }

    private static int utf8Length(char c) {
        if (c < TWO_BYTE_START) {
            return 1;
        }
        return c < THREE_BYTE_START ? 2 : 3;
    }
}
