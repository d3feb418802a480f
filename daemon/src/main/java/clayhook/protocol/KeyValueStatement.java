package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A statement of one of the platform's two fixed forms, a read or a write of one key, with its routing comment. It is
 * forwarded to nodes unchanged but for the timeout in its comment. Immutable.
 */
public final class KeyValueStatement implements OutboundStatement {
    private static final String KEY_PATTERN = "[^'\\\\\\p{Cntrl}]{1,256}";
    /** The two forms that nodes accept. Matched against ISO 8859-1 text, so that offsets in it are offsets in bytes. */
    private static final Pattern STATEMENT_PATTERN = Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>"
            + KEY_PATTERN + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY_PATTERN
            + ")', '\\\\x(?:[0-9a-fA-F]{2})*+'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");

    private static final double MILLIS_PER_SECOND = 1000;

    private final byte[] text;
    /** Where the value of the timeout stands in the text. */
    private final int timeoutStart;

    private final int timeoutEnd;
    /** Unique among the open requests of all clients. */
    public final String requestId;
    /** The name of its request class. */
    public final String requestClassName;
    /** The replica set that holds the key. */
    public final int replicaSetId;
    /** How long the client waits, from when it sent the statement. */
    public final double timeoutSeconds;
    /** The log position in seconds that a read must cover; 0 for none. */
    public final double requiredPosition;
    /** The quoted key; its reads and writes form one session. */
    public final String key;

    public final boolean isWrite;
    /** Whether nodes can recognize and drop a repeat of it. */
    public final boolean hasIdempotencyKey;
    /** The key under which routers share whether it has run: the idempotency key, or else the request id. */
    public final String outcomeKey;

    private KeyValueStatement(byte[] text, Matcher form) {
        this.text = text;
        isWrite = form.group("read") == null;
        key = form.group(isWrite ? "written" : "read");
        var comment = new RoutingComment(form.group("comment"), form.start("comment"));
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
     * @throws InvalidStatementException if it has neither of the two forms, or no valid routing comment
     */
    public static KeyValueStatement parse(byte[] text) {
        Matcher form = STATEMENT_PATTERN.matcher(new String(text, ISO_8859_1));
        if (!form.matches()) {
            throw new InvalidStatementException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
        return new KeyValueStatement(text, form);
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
