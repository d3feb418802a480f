package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The routing comment of a statement: comma-separated {@code name=value} fields that specify how routers handle the
 * statement. Immutable.
 */
public final class RoutingComment {
    // The field names are part of the wire protocol.
    /** An id that is unique among the open requests of all clients. */
    public static final String REQUEST_ID = "id";
    /** The name of the request class. */
    public static final String REQUEST_CLASS = "c";
    /** The client timeout in milliseconds. */
    public static final String TIMEOUT = "d";
    /** The id of the replica set. */
    public static final String REPLICA_SET = "cluster";
    /** The log position in milliseconds that a node must have applied for a read. */
    public static final String REQUIRED_POSITION = "after";
    /** The idempotency key, by which nodes recognize a repeat. */
    public static final String IDEMPOTENCY_KEY = "k";

    /**
     * A comment at the end of a statement. Matched against ISO 8859-1 text, so that character offsets are byte offsets.
     */
    private static final Pattern TRAILING_COMMENT = Pattern.compile("/\\*([^*]*+)\\*/[\\s;]*+$");
    /**
     * The greatest length of a comment in bytes. Also the number of bytes at the end of an SQL statement that are
     * searched for the comment, which only white space and semicolons may follow.
     */
    static final int MAX_LENGTH = 4096;

    static final Pattern ID_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** Allows numbers far above any time or log position in milliseconds. */
    static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,15}");

    static final Pattern SMALL_NUMBER_PATTERN = Pattern.compile("[0-9]{1,9}");

    private static final double MILLIS_PER_SECOND = 1000;

    /** The byte offset of each field's value in the statement. */
    private final Map<String, Integer> offsets = new HashMap<>();

    private final Map<String, String> values = new HashMap<>();

    /**
     * Parses the text between the delimiters of a comment.
     *
     * @param from the byte offset of the text in its statement
     * @throws InvalidStatementException if a field has no name or occurs twice
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

    /** Parses the comment at the end of any SQL statement; returns null if there is no valid routing comment. */
    public static RoutingComment parseTrailing(byte[] statement) {
        int from = Math.max(0, statement.length - MAX_LENGTH);
        Matcher trailing = TRAILING_COMMENT.matcher(new String(statement, from, statement.length - from, ISO_8859_1));
        try {
            return trailing.find() ? new RoutingComment(trailing.group(1), from + trailing.start(1)) : null;
        } catch (InvalidStatementException e) {
            return null;
        }
    }

    /** Whether the comment has a field with this name. */
    public boolean hasField(String name) {
        return values.containsKey(name);
    }

    /** The value of a field, or null if the comment has no field with this name. */
    public String field(String name) {
        return values.get(name);
    }

    /**
     * The value of a required field.
     *
     * @throws InvalidStatementException if the field is missing or its value does not match the pattern
     */
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

    /** The byte offset of a field's value in the statement; the field must be present. */
    int valueOffset(String name) {
        return offsets.get(name);
    }

    /**
     * A time or log position in seconds, converted from the milliseconds in the comment.
     *
     * @param defaultSeconds the result if the field is missing
     * @throws InvalidStatementException if the field is present but not a number
     */
    public double secondsOr(String name, double defaultSeconds) {
        return hasField(name)
                ? Long.parseLong(requiredField(name, NUMBER_PATTERN)) / MILLIS_PER_SECOND
                : defaultSeconds;
    }

    /**
     * The id of the replica set that the statement is addressed to.
     *
     * @param defaultId the result if the field is missing
     * @throws InvalidStatementException if the field is present but not a number
     */
    public int replicaSetIdOr(int defaultId) {
        return hasField(REPLICA_SET) ? Integer.parseInt(requiredField(REPLICA_SET, SMALL_NUMBER_PATTERN)) : defaultId;
    }

    /**
     * Whether the comment has an idempotency key, by which nodes recognize and drop repeats.
     *
     * @throws InvalidStatementException if the key is malformed
     */
    public boolean hasIdempotencyKey() {
        return hasField(IDEMPOTENCY_KEY)
                && !requiredField(IDEMPOTENCY_KEY, ID_PATTERN).isEmpty();
    }
}
