package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A statement in one of the platform's two fixed forms, a read or a write of one key, with its routing comment. Only
 * the timeout in the comment changes when the statement is forwarded to a node. Immutable.
 */
public final class KeyValueStatement implements OutboundStatement {
    private static final String KEY_PATTERN = "[^'\\\\\\p{Cntrl}]{1,256}";
    /**
     * The two forms that nodes accept, the write without the digits of its value. Matched against ISO 8859-1 text, so
     * that character offsets are byte offsets.
     */
    private static final Pattern STATEMENT_PATTERN = Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>"
            + KEY_PATTERN + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY_PATTERN
            + ")', '\\\\x'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");

    /** The first character of a write. */
    private static final byte WRITE_START = 'I';
    /** The length of the characters before the digits of a value: a backslash and an x. */
    private static final int HEX_PREFIX_LENGTH = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    private final byte[] text;
    /** The start of the timeout's value in the text, as a byte offset. */
    private final int timeoutStart;

    private final int timeoutEnd;
    /** Unique among the open requests of all clients. */
    public final String requestId;
    /** The name of the request class. */
    public final String requestClassName;
    /** The replica set that holds the key. */
    public final int replicaSetId;
    /** The client timeout in seconds, counted from when the client sent the statement. */
    public final double timeoutSeconds;
    /** The log position in seconds that a node must have applied for a read; 0 if the read requires none. */
    public final double requiredPosition;
    /** The quoted key that is read or written; all reads and writes of one key form a session. */
    public final String key;

    public final boolean isWrite;
    /** Whether the statement has an idempotency key, by which nodes recognize and drop repeats. */
    public final boolean hasIdempotencyKey;
    /**
     * The key under which routers share the outcome of a write: the idempotency key, or the request id if there is
     * none.
     */
    public final String outcomeKey;

    /**
     * Creates a statement.
     *
     * @param matcher the match of the text without the digits of its value
     * @param digits the number of these digits, which precede the comment
     */
    private KeyValueStatement(byte[] text, Matcher matcher, int digits) {
        this.text = text;
        isWrite = matcher.group("read") == null;
        key = matcher.group(isWrite ? "written" : "read");
        var comment = new RoutingComment(matcher.group("comment"), matcher.start("comment") + digits);
        requestId = comment.requiredField(RoutingComment.REQUEST_ID, RoutingComment.ID_PATTERN);
        requestClassName = comment.field(RoutingComment.REQUEST_CLASS);
        if (requestClassName == null) {
            throw new InvalidStatementException("the comment lacks " + RoutingComment.REQUEST_CLASS);
        }
        replicaSetId = Integer.parseInt(
                comment.requiredField(RoutingComment.REPLICA_SET, RoutingComment.SMALL_NUMBER_PATTERN));
        String timeoutMillis = comment.requiredField(RoutingComment.TIMEOUT, RoutingComment.NUMBER_PATTERN);
        timeoutSeconds = Long.parseLong(timeoutMillis) / MILLIS_PER_SECOND;
        timeoutStart = comment.valueOffset(RoutingComment.TIMEOUT);
        timeoutEnd = timeoutStart + timeoutMillis.length();
        requiredPosition = comment.secondsOr(RoutingComment.REQUIRED_POSITION, 0);
        hasIdempotencyKey = comment.hasIdempotencyKey();
        outcomeKey = hasIdempotencyKey ? comment.field(RoutingComment.IDEMPOTENCY_KEY) : requestId;
    }

    /**
     * Parses the text of a query message.
     *
     * @throws InvalidStatementException if the text has neither of the two forms or no valid routing comment
     */
    public static KeyValueStatement parse(byte[] text) {
        int valueStart = valueStart(text);
        int valueEnd = endOfHexBytes(text, valueStart);
        String textWithoutDigits = new String(text, 0, valueStart, ISO_8859_1)
                + new String(text, valueEnd, text.length - valueEnd, ISO_8859_1);
        Matcher matcher = STATEMENT_PATTERN.matcher(textWithoutDigits);
        if (!matcher.matches()) {
            throw new InvalidStatementException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
        return new KeyValueStatement(text, matcher, valueEnd - valueStart);
    }

    /**
     * The offset of the digits of a write's value, which follow the first backslash, since a key has none; the length
     * of the text if it is no write.
     */
    private static int valueStart(byte[] text) {
        int offset = 0;
        while (offset < text.length && text[0] == WRITE_START && text[offset] != '\\') {
            offset++;
        }
        boolean found = offset + 1 < text.length && text[offset] == '\\' && text[offset + 1] == 'x';
        return found ? offset + HEX_PREFIX_LENGTH : text.length;
    }

    /**
     * The end of the bytes, two hexadecimal digits each, that start at an offset. The value can have more than a
     * hundred thousand digits, for which a regular expression takes several milliseconds.
     */
    private static int endOfHexBytes(byte[] text, int start) {
        int end = start;
        while (end + 1 < text.length && isHexDigit(text[end]) && isHexDigit(text[end + 1])) {
            end += 2;
        }
        return end;
    }

    private static boolean isHexDigit(byte character) {
        return (character >= '0' && character <= '9')
                || (character >= 'a' && character <= 'f')
                || (character >= 'A' && character <= 'F');
    }

    @Override
    public byte[] textWithTimeout(double seconds) {
        long millis = Math.max(1, (long) (seconds * MILLIS_PER_SECOND));
        byte[] timeout = Long.toString(millis).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (timeoutEnd - timeoutStart) + timeout.length];
        System.arraycopy(text, 0, out, 0, timeoutStart);
        System.arraycopy(timeout, 0, out, timeoutStart, timeout.length);
        System.arraycopy(text, timeoutEnd, out, timeoutStart + timeout.length, text.length - timeoutEnd);
        return out;
    }
}
