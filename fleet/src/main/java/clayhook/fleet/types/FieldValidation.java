package clayhook.fleet.types;

/**
 * What may stand in a value. All that comes from outside goes through here; what cannot be throws
 * IllegalArgumentException.
 */
final class FieldValidation {
    /** Seconds since 1970, of the year 2286; what is beyond is no time of ours. */
    static final double MAX_TIME = 1e10;
    /** Seconds by which clocks of routers and nodes may differ before a word about the future is senseless. */
    static final double MAX_CLOCK_DIFFERENCE = 10;
    /** Node groups are counted from 0; far more than anyone has. */
    static final int MAX_REPLICA_SETS = 1 << 20;

    private FieldValidation() {}

    /**
     * From 0 to {@code most}; zero for minus zero. Guards against joins that go by order, as these two compare equal.
     */
    static double requireWithin(double value, double most, String what) {
        if (!(value >= 0 && value <= most)) {
            throw new IllegalArgumentException(what + " of " + value);
        }
        return value + 0.0;
    }

    static double requireTime(double value) {
        return requireWithin(value, MAX_TIME, "time");
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }

    /**
     * A text of at most so many bytes in UTF-8, without control characters. Guards against halves of characters, which
     * can be read from garbled bytes but not be written again.
     */
    static String requireText(String value, int most, String what) {
        require(value != null && utf8Length(value) <= most, what);
        return value;
    }

    /** In UTF-8; far too many for a text that cannot be written, or has control characters. */
    static int utf8Length(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isSurrogate(c)) {
                boolean pair = Character.isHighSurrogate(c)
                        && i + 1 < text.length()
                        && Character.isLowSurrogate(text.charAt(i + 1));
                if (!pair) {
                    return Integer.MAX_VALUE;
                }
                bytes += 4;
                i++;
            } else if (Character.isISOControl(c)) {
                return Integer.MAX_VALUE;
            } else {
                bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
            }
        }
        return bytes;
    }
}
