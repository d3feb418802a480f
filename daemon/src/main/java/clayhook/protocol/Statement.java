package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's statement and what its comment says; it goes on to nodes with no change but the time to wait. */
public final class Statement {
    private static final String KEY = "[^'\\\\\\p{Cntrl}]{1,256}";
    /** The two forms that nodes take; a character is a byte here. */
    private static final Pattern FORM = Pattern.compile("(?:SELECT val FROM state WHERE uid = '(?<read>" + KEY
            + ")'|INSERT INTO state \\(uid, val\\) VALUES \\('(?<written>" + KEY
            + ")', '\\\\x(?:[0-9a-fA-F]{2})*+'\\) RETURNING val)\\s*/\\*(?<comment>[^*]*+)\\*/\\s*;?\\s*");
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** Far above any time in milliseconds, and any position. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final Pattern SMALL = Pattern.compile("[0-9]{1,9}");

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

    private Statement(byte[] text, Matcher form) {
        this.text = text;
        writes = form.group("read") == null;
        key = form.group(writes ? "written" : "read");
        Map<String, Integer> at = new HashMap<>();
        Map<String, String> values = new HashMap<>();
        int from = form.start("comment");
        for (String field : form.group("comment").split(",", -1)) {
            int sign = field.indexOf('=');
            String name = field.substring(0, Math.max(0, sign)).strip();
            String value = field.substring(sign + 1);
            at.put(name, from + sign + 1 + value.length() - value.stripLeading().length());
            if (name.isEmpty() || values.put(name, value.strip()) != null) {
                throw new IllegalArgumentException("the comment has a field without a name, or one twice");
            }
            from += field.length() + 1;
        }
        id = value(values, "id", ID);
        group = values.get("c");
        if (group == null) {
            throw new IllegalArgumentException("the comment lacks c");
        }
        nodeGroup = Integer.parseInt(value(values, "cluster", SMALL));
        String milliseconds = value(values, "d", NUMBER);
        wait = Long.parseLong(milliseconds) / 1000.0;
        waitFrom = at.get("d");
        waitTo = waitFrom + milliseconds.length();
        after = values.containsKey("after") ? Long.parseLong(value(values, "after", NUMBER)) / 1000.0 : 0;
        keyed = values.containsKey("k") && !value(values, "k", ID).isEmpty();
    }

    private static String value(Map<String, String> values, String name, Pattern form) {
        String value = values.get(name);
        if (value == null || !form.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "the comment " + (value == null ? "lacks " + name : "has no valid " + name));
        }
        return value;
    }

    /** Throws IllegalArgumentException naming what does not fit. */
    public static Statement parse(byte[] text) {
        Matcher form = FORM.matcher(new String(text, ISO_8859_1));
        if (!form.matches()) {
            throw new IllegalArgumentException("no read or write of the form that nodes take, with a comment that names it");
        }
        return new Statement(text, form);
    }

    /** The text to send to a node that will be waited for so long. */
    public byte[] withWait(double seconds) {
        byte[] wait = Long.toString(Math.max(1, (long) (seconds * 1000))).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (waitTo - waitFrom) + wait.length];
        System.arraycopy(text, 0, out, 0, waitFrom);
        System.arraycopy(wait, 0, out, waitFrom, wait.length);
        System.arraycopy(text, waitTo, out, waitFrom + wait.length, text.length - waitTo);
        return out;
    }
}
