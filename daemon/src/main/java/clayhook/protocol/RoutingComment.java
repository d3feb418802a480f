package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The comment of a statement that tells routers how to handle it: {@code name=value} fields with commas between them.
 * Immutable.
 */
public final class RoutingComment {
    // The names of the fields, which are part of the wire protocol.
    /** An id that is unique among the open requests of all clients. */
    public static final String REQUEST_ID = "id";
    /** The name of the request class. */
    public static final String REQUEST_CLASS = "c";
    /** How long the client waits, in milliseconds. */
    public static final String TIMEOUT = "d";
    /** The id of the replica set. */
    public static final String REPLICA_SET = "cluster";
    /** The log position that a read must cover, in milliseconds. */
    public static final String REQUIRED_POSITION = "after";
    /** The key by which nodes recognize a repeat. */
    public static final String IDEMPOTENCY_KEY = "k";

    /**
     * The comment that ends a statement. Matched against ISO 8859-1 text, so that offsets in it are offsets in bytes.
     */
    private static final Pattern TRAILING_COMMENT = Pattern.compile("/\\*([^*]*+)\\*/[\\s;]*+$");
    /** Nothing but white space and semicolons follow the comment, so it begins within so many bytes from the end. */
    private static final int MAX_LENGTH = 4096;

    static final Pattern ID_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** Far above any time in milliseconds, and any position. */
    static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,15}");

    static final Pattern SMALL_NUMBER_PATTERN = Pattern.compile("[0-9]{1,9}");

    private static final double MILLIS_PER_SECOND = 1000;

    /** Where the value of each field begins in the statement. */
    private final Map<String, Integer> offsets = new HashMap<>();

    private final Map<String, String> values = new HashMap<>();

    /**
     * Parses the text between the delimiters of a comment.
     *
     * @param from where the text begins in its statement
     * @throws InvalidStatementException if a field has no name, or stands twice
     */
    RoutingComment(String text, int from) {
        int start = from;
        for (String field : text.split(",", -1)) {
            int sign = field.indexOf('=');
            String name = field.substring(0, Math.max(0, sign)).strip();
            String value = field.substring(sign + 1);
            int leadingBlanks = value.length() - value.stripLeading().length();
            offsets.put(name, start + sign + 1 + leadingBlanks);
            if (name.isEmpty() || values.put(name, value.strip()) != null) {
                throw new InvalidStatementException("the comment has a field without a name, or one twice");
            }
            start += field.length() + 1;
        }
    }

    /** The comment at the end of a statement of any kind; null if there is none of this form. */
    public static RoutingComment parseTrailing(byte[] statement) {
        int from = Math.max(0, statement.length - MAX_LENGTH);
        Matcher trailing = TRAILING_COMMENT.matcher(new String(statement, from, statement.length - from, ISO_8859_1));
        try {
            return trailing.find() ? new RoutingComment(trailing.group(1), from + trailing.start(1)) : null;
        } catch (InvalidStatementException e) {
            return null;
        }
    }

    /** Whether the comment has a field of that name. */
    public boolean hasField(String name) {
        return values.containsKey(name);
    }

    /** The value of a field; null if there is none of that name. */
    public String field(String name) {
        return values.get(name);
    }

    /** The value of a field; throws InvalidStatementException if it is missing or does not match. */
    String requiredField(String name, Pattern pattern) {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidStatementException("the comment lacks " + name);
        }
        if (!pattern.matcher(value).matches()) {
            throw new InvalidStatementException("the comment has no valid " + name);
        }
        return value;
    }

    /** Where the value of a field begins in the statement, in bytes; the field must be there. */
    int valueOffset(String name) {
        return offsets.get(name);
    }

    /**
     * A time or log position in seconds, which the comment states in milliseconds.
     *
     * @throws InvalidStatementException if the field is there and is no number
     */
    public double secondsOr(String name, double absent) {
        return hasField(name) ? Long.parseLong(requiredField(name, NUMBER_PATTERN)) / MILLIS_PER_SECOND : absent;
    }

    /**
     * The replica set that the statement is for.
     *
     * @throws InvalidStatementException if the field is there and is no number
     */
    public int replicaSetIdOr(int absent) {
        return hasField(REPLICA_SET) ? Integer.parseInt(requiredField(REPLICA_SET, SMALL_NUMBER_PATTERN)) : absent;
    }

    /**
     * Whether it has a key by which nodes recognize and drop repeats.
     *
     * @throws InvalidStatementException if the key has no valid form
     */
    public boolean hasIdempotencyKey() {
        return hasField(IDEMPOTENCY_KEY)
                && !requiredField(IDEMPOTENCY_KEY, ID_PATTERN).isEmpty();
    }
}
