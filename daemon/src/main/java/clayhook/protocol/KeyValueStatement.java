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
    /** The two forms that nodes accept. Matched against ISO 8859-1 text, so that character offsets are byte offsets. */
    private static final Pattern STATEMENT_PATTERN = Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>"
            + KEY_PATTERN + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY_PATTERN
            + ")', '\\\\x(?:[0-9a-fA-F]{2})*+'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");

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

    private KeyValueStatement(byte[] text, Matcher matcher) {
        this.text = text;
        isWrite = matcher.group("read") == null;
        key = matcher.group(isWrite ? "written" : "read");
        var comment = new RoutingComment(matcher.group("comment"), matcher.start("comment"));
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
        Matcher matcher = STATEMENT_PATTERN.matcher(new String(text, ISO_8859_1));
        if (!matcher.matches()) {
            throw new InvalidStatementException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
        return new KeyValueStatement(text, matcher);
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
