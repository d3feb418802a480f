package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The comment by which a statement names its command: fields with commas between them. */
public final class RoutingComment {
    /** The comment that ends a statement; a character is a byte here. */
    private static final Pattern TRAILING_COMMENT = Pattern.compile("/\\*([^*]*+)\\*/[\\s;]*+$");
    /** Nothing but white space and a semicolon follows the comment, so that it begins near the end. */
    private static final int MAX_LENGTH = 4096;

    static final Pattern ID_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** Far above any time in milliseconds, and any position. */
    static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,15}");

    static final Pattern SMALL_NUMBER_PATTERN = Pattern.compile("[0-9]{1,9}");

    private final Map<String, Integer> offsets = new HashMap<>();
    private final Map<String, String> values = new HashMap<>();

    /**
     * {@code from} is where the text stands in its statement. Throws IllegalArgumentException naming what does not fit.
     */
    RoutingComment(String text, int from) {
        int start = from;
        for (String field : text.split(",", -1)) {
            int sign = field.indexOf('=');
            String name = field.substring(0, Math.max(0, sign)).strip();
            String value = field.substring(sign + 1);
            offsets.put(
                    name,
                    start + sign + 1 + value.length() - value.stripLeading().length());
            if (name.isEmpty() || values.put(name, value.strip()) != null) {
                throw new IllegalArgumentException("the comment has a field without a name, or one twice");
            }
            start += field.length() + 1;
        }
    }

    /** The one at the end of any statement, or null if there is none of this form. */
    public static RoutingComment parseTrailing(byte[] statement) {
        int from = Math.max(0, statement.length - MAX_LENGTH);
        Matcher last = TRAILING_COMMENT.matcher(new String(statement, from, statement.length - from, ISO_8859_1));
        try {
            return last.find() ? new RoutingComment(last.group(1), from + last.start(1)) : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    public boolean hasField(String name) {
        return values.containsKey(name);
    }

    /** Null if it is not there. */
    public String field(String name) {
        return values.get(name);
    }

    String requiredField(String name, Pattern form) {
        String value = values.get(name);
        if (value == null || !form.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "the comment " + (value == null ? "lacks " + name : "has no valid " + name));
        }
        return value;
    }

    /** Where the value of a field stands in the statement. */
    int valueOffset(String name) {
        return offsets.get(name);
    }

    /** A time or position in milliseconds as seconds; {@code absent} where it is not there. Throws as the others do. */
    public double secondsOr(String name, double absent) {
        return hasField(name) ? Long.parseLong(requiredField(name, NUMBER_PATTERN)) / 1000.0 : absent;
    }

    /** The group of nodes; {@code absent} where it is not there. */
    public int replicaSetIdOr(int absent) {
        return hasField("cluster") ? Integer.parseInt(requiredField("cluster", SMALL_NUMBER_PATTERN)) : absent;
    }

    /** It has a key by which nodes drop repeats. */
    public boolean hasIdempotencyKey() {
        return hasField("k") && !requiredField("k", ID_PATTERN).isEmpty();
    }
}
