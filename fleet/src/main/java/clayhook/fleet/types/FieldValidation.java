package clayhook.fleet.types;

/**
 * Range checks of the fields of replicated values. Every value that is received from another router passes them; a
 * value that is out of range is rejected with an {@link IllegalArgumentException}.
 */
final class FieldValidation {
    /** Latest time that is accepted, in seconds since 1970: the year 2286. */
    static final double MAX_TIME = 1e10;
    /**
     * Seconds by which the clocks of routers and nodes may differ. A time further in the future than this is rejected.
     */
    static final double MAX_CLOCK_DIFFERENCE = 10;
    /** Exclusive bound of replica set numbers, which start at 0; far more than any fleet has. */
    static final int MAX_REPLICA_SETS = 1 << 20;
    /** Exclusive bound of port numbers. */
    static final int PORT_LIMIT = 1 << Character.SIZE;

    private static final int TWO_BYTE_START = 0x80;
    private static final int THREE_BYTE_START = 0x800;

    private FieldValidation() {}

    /**
     * Returns a value between 0 and {@code max}, with 0 in place of -0. Merge functions compare values numerically, and
     * the two zeros compare as equal although their encodings differ.
     *
     * @param field the name of the field, for the message of the exception
     * @throws IllegalArgumentException for a value out of range or NaN
     */
    static double requireWithin(double value, double max, String field) {
        boolean within = value >= 0 && value <= max;
        if (!within) {
            throw new IllegalArgumentException(field + " of " + value);
        }
        return value + 0.0;
    }

    static double requireTime(double value) {
        return requireWithin(value, MAX_TIME, "time");
    }

    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    static void requireReplicaSet(int replicaSet) {
        require(replicaSet >= 0 && replicaSet < MAX_REPLICA_SETS, "replica set of " + replicaSet);
    }

    /**
     * Returns a text that is valid in a value: at most {@code maxBytes} in UTF-8, and without control characters.
     * Unpaired surrogates are rejected too: they can result from decoding corrupted bytes, but cannot be encoded again.
     *
     * @param field the name of the field, for the message of the exception
     * @throws IllegalArgumentException for an invalid text
     */
    static String requireText(String value, int maxBytes, String field) {
        require(value != null && utf8Length(value) <= maxBytes, field);
        return value;
    }

    /**
     * Returns the number of bytes of a text in UTF-8; {@link Integer#MAX_VALUE} for a text with control characters or
     * unpaired surrogates.
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
