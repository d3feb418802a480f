package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The comment by which a statement names its command: fields with commas between them. */
public final class Comment {
    /** The comment that ends a statement; a character is a byte here. */
    private static final Pattern LAST = Pattern.compile("/\\*([^*]*+)\\*/[\\s;]*+$");
    /** Nothing but white space and a semicolon follows the comment, so that it begins near the end. */
    private static final int LONGEST = 4096;

    static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** Far above any time in milliseconds, and any position. */
    static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");

    static final Pattern SMALL = Pattern.compile("[0-9]{1,9}");

    private final Map<String, Integer> at = new HashMap<>();
    private final Map<String, String> values = new HashMap<>();

    /**
     * {@code from} is where the text stands in its statement. Throws IllegalArgumentException naming what does not fit.
     */
    Comment(String text, int from) {
        int start = from;
        for (String field : text.split(",", -1)) {
            int sign = field.indexOf('=');
            String name = field.substring(0, Math.max(0, sign)).strip();
            String value = field.substring(sign + 1);
            at.put(
                    name,
                    start + sign + 1 + value.length() - value.stripLeading().length());
            if (name.isEmpty() || values.put(name, value.strip()) != null) {
                throw new IllegalArgumentException("the comment has a field without a name, or one twice");
            }
            start += field.length() + 1;
        }
    }

    /** The one at the end of any statement, or null if there is none of this form. */
    public static Comment ending(byte[] statement) {
        int from = Math.max(0, statement.length - LONGEST);
        Matcher last = LAST.matcher(new String(statement, from, statement.length - from, ISO_8859_1));
        try {
            return last.find() ? new Comment(last.group(1), from + last.start(1)) : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** Null if it is not there. */
    public String text(String name) {
        return values.get(name);
    }

    String value(String name, Pattern form) {
        String value = values.get(name);
        if (value == null || !form.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "the comment " + (value == null ? "lacks " + name : "has no valid " + name));
        }
        return value;
    }

    /** Where the value of a field stands in the statement. */
    int at(String name) {
        return at.get(name);
    }

    /** A time or position in milliseconds as seconds; {@code absent} where it is not there. Throws as the others do. */
    public double seconds(String name, double absent) {
        return has(name) ? Long.parseLong(value(name, NUMBER)) / 1000.0 : absent;
    }

    /** The group of nodes; {@code absent} where it is not there. */
    public int nodes(int absent) {
        return has("cluster") ? Integer.parseInt(value("cluster", SMALL)) : absent;
    }

    /** It has a key by which nodes drop repeats. */
    public boolean keyed() {
        return has("k") && !value("k", ID).isEmpty();
    }
}
