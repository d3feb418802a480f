package clayhook.protocol;

import static java.nio.charset.StandardCharsets.US_ASCII;

/**
 * A statement in one of the platform's two fixed forms, a read or a write of one key, with its routing comment. Only
 * the timeout in the comment changes when the statement is forwarded to a node. Immutable.
 */
public final class KeyValueStatement implements OutboundStatement {
    private static final byte[] READ_START = "SELECT val FROM state WHERE uid = '".getBytes(US_ASCII);
    private static final byte[] READ_END = "'".getBytes(US_ASCII);
    private static final byte[] WRITE_START = "INSERT INTO state (uid, val) VALUES ('".getBytes(US_ASCII);
    private static final byte[] VALUE_START = "', '\\x".getBytes(US_ASCII);
    private static final byte[] WRITE_END = "') RETURNING val".getBytes(US_ASCII);
    private static final byte[] COMMENT_START = "/*".getBytes(US_ASCII);
    private static final byte[] COMMENT_END = "*/".getBytes(US_ASCII);
    private static final byte[] SEMICOLON = ";".getBytes(US_ASCII);

    private static final int MAX_KEY_LENGTH = 256;
    /** The last control character of ASCII. */
    private static final byte DELETE = 0x7f;

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
     * Parses a statement in one pass, in time proportional to its length.
     *
     * @throws InvalidStatementException if the text has neither of the two forms or no valid routing comment
     */
    private KeyValueStatement(byte[] text) {
        this.text = text;
        var cursor = new ByteCursor(text);
        isWrite = !cursor.skip(READ_START);
        require(!isWrite || cursor.skip(WRITE_START));
        key = cursor.take(MAX_KEY_LENGTH, KeyValueStatement::isKeyByte);
        require(!key.isEmpty());
        if (isWrite) {
            require(cursor.skip(VALUE_START));
            cursor.skipHexBytes();
        }
        require(cursor.skip(isWrite ? WRITE_END : READ_END));
        cursor.skipWhitespace();
        require(cursor.skip(COMMENT_START));
        int commentStart = cursor.position();
        String commentText = cursor.take(RoutingComment.MAX_LENGTH, character -> character != '*');
        requireEndOfComment(cursor.skip(COMMENT_END), commentText);
        cursor.skipWhitespace();
        cursor.skip(SEMICOLON);
        cursor.skipWhitespace();
        require(cursor.isAtEnd());
        var comment = new RoutingComment(commentText, commentStart);
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
        return new KeyValueStatement(text);
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new InvalidStatementException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
    }

    private static void requireEndOfComment(boolean ended, String commentText) {
        if (!ended && commentText.length() == RoutingComment.MAX_LENGTH) {
            throw new InvalidStatementException("the comment is longer than " + RoutingComment.MAX_LENGTH + " bytes");
        }
        require(ended);
    }

    private static boolean isKeyByte(byte character) {
        boolean isControl = (character >= 0 && character < ' ') || character == DELETE;
        return !isControl && character != '\'' && character != '\\';
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
