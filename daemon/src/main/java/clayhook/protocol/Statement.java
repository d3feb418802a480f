package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's statement and what its comment says; it goes on to nodes with no change but the time to wait. */
public final class Statement implements Outgoing {
    private static final String KEY = "[^'\\\\\\p{Cntrl}]{1,256}";
    /** The two forms that nodes take; a character is a byte here. */
    private static final Pattern FORM = Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>" + KEY
            + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY
            + ")', '\\\\x(?:[0-9a-fA-F]{2})*+'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");

    private final byte[] text;
    /** Where the value of {@code d} stands in the text. */
    private final int waitFrom;

    private final int waitTo;
    public final String id;
    /** The name of its command group. */
    public final String group;

    public final int nodeGroup;
    /** How long the client waits, in seconds from when it sent this. */
    public final double wait;
    /** The position in seconds that a read must see; 0 for none. */
    public final double after;
    /** The quoted key. */
    public final String key;

    public final boolean writes;
    /** It has a key by which nodes drop its repeats. */
    public final boolean keyed;
    /** That key, or else its id: what anyone asks by whether it has run. */
    public final String mark;

    private Statement(byte[] text, Matcher form) {
        this.text = text;
        writes = form.group("read") == null;
        key = form.group(writes ? "written" : "read");
        var comment = new Comment(form.group("comment"), form.start("comment"));
        id = comment.value("id", Comment.ID);
        group = comment.text("c");
        if (group == null) {
            throw new IllegalArgumentException("the comment lacks c");
        }
        nodeGroup = Integer.parseInt(comment.value("cluster", Comment.SMALL));
        String milliseconds = comment.value("d", Comment.NUMBER);
        wait = Long.parseLong(milliseconds) / 1000.0;
        waitFrom = comment.at("d");
        waitTo = waitFrom + milliseconds.length();
        after = comment.seconds("after", 0);
        keyed = comment.keyed();
        mark = keyed ? comment.text("k") : id;
    }

    /** Throws IllegalArgumentException naming what does not fit. */
    public static Statement parse(byte[] text) {
        Matcher form = FORM.matcher(new String(text, ISO_8859_1));
        if (!form.matches()) {
            throw new IllegalArgumentException(
                    "no read or write of the form that nodes take, with a comment that names it");
        }
        return new Statement(text, form);
    }

    @Override
    public byte[] withWait(double seconds) {
        byte[] wait = Long.toString(Math.max(1, (long) (seconds * 1000))).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (waitTo - waitFrom) + wait.length];
        System.arraycopy(text, 0, out, 0, waitFrom);
        System.arraycopy(wait, 0, out, waitFrom, wait.length);
        System.arraycopy(text, waitTo, out, waitFrom + wait.length, text.length - waitTo);
        return out;
    }
}
