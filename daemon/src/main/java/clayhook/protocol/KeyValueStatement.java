package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's statement and what its comment says; it goes on to nodes with no change but the time to wait. */
public final class KeyValueStatement implements OutboundStatement {
    private static final String KEY_PATTERN = "[^'\\\\\\p{Cntrl}]{1,256}";
    /** The two forms that nodes take; a character is a byte here. */
    private static final Pattern STATEMENT_PATTERN =
            Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>" + KEY_PATTERN
                    + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY_PATTERN
                    + ")', '\\\\x(?:[0-9a-fA-F]{2})*+'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");

    private final byte[] text;
    /** Where the value of {@code d} stands in the text. */
    private final int timeoutStart;

    private final int timeoutEnd;
    public final String requestId;
    /** The name of its command group. */
    public final String requestClassName;

    public final int replicaSetId;
    /** How long the client waits, in seconds from when it sent this. */
    public final double timeoutSeconds;
    /** The position in seconds that a read must see; 0 for none. */
    public final double requiredPosition;
    /** The quoted key. */
    public final String key;

    public final boolean isWrite;
    /** It has a key by which nodes drop its repeats. */
    public final boolean hasIdempotencyKey;
    /** That key, or else its id: what anyone asks by whether it has run. */
    public final String outcomeKey;

    private KeyValueStatement(byte[] text, Matcher form) {
        this.text = text;
        isWrite = form.group("read") == null;
        key = form.group(isWrite ? "written" : "read");
        var comment = new RoutingComment(form.group("comment"), form.start("comment"));
        requestId = comment.requiredField("id", RoutingComment.ID_PATTERN);
        requestClassName = comment.field("c");
        if (requestClassName == null) {
            throw new IllegalArgumentException("the comment lacks c");
        }
        replicaSetId = Integer.parseInt(comment.requiredField("cluster", RoutingComment.SMALL_NUMBER_PATTERN));
        String milliseconds = comment.requiredField("d", RoutingComment.NUMBER_PATTERN);
        timeoutSeconds = Long.parseLong(milliseconds) / 1000.0;
        timeoutStart = comment.valueOffset("d");
        timeoutEnd = timeoutStart + milliseconds.length();
        requiredPosition = comment.secondsOr("after", 0);
        hasIdempotencyKey = comment.hasIdempotencyKey();
        outcomeKey = hasIdempotencyKey ? comment.field("k") : requestId;
    }

    /** Throws IllegalArgumentException naming what does not fit. */
    public static KeyValueStatement parse(byte[] text) {
        Matcher form = STATEMENT_PATTERN.matcher(new String(text, ISO_8859_1));
        if (!form.matches()) {
            throw new IllegalArgumentException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
        return new KeyValueStatement(text, form);
    }

    @Override
    public byte[] textWithTimeout(double seconds) {
        byte[] wait = Long.toString(Math.max(1, (long) (seconds * 1000))).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (timeoutEnd - timeoutStart) + wait.length];
        System.arraycopy(text, 0, out, 0, timeoutStart);
        System.arraycopy(wait, 0, out, timeoutStart, wait.length);
        System.arraycopy(text, timeoutEnd, out, timeoutStart + wait.length, text.length - timeoutEnd);
        return out;
    }
}
