package rig;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A statement of one of the platform's two forms, with the fields of its comment. */
public final class Statement {
    private static final Pattern READ =
            Pattern.compile("SELECT val FROM state WHERE uid = '([^']*)' /\\*(.*)\\*/\\s*;?\\s*");
    private static final Pattern WRITE = Pattern.compile(
            "INSERT INTO state \\(uid, val\\) VALUES \\('([^']*)', '\\\\x([0-9a-f]*)'\\) RETURNING val /\\*(.*)\\*/\\s*;?\\s*");

    public final boolean write;
    public final String key;
    public final String hex;
    public final Map<String, String> fields = new HashMap<>();

    private Statement(boolean write, String key, String hex, String comment) {
        this.write = write;
        this.key = key;
        this.hex = hex;
        for (String field : comment.split(",")) {
            int sign = field.indexOf('=');
            fields.put(field.substring(0, sign).strip(), field.substring(sign + 1).strip());
        }
    }

    /** Parses a statement; returns null if it has neither form. */
    public static Statement parse(String text) {
        Matcher read = READ.matcher(text);
        if (read.matches()) {
            return new Statement(false, read.group(1), "", read.group(2));
        }
        Matcher write = WRITE.matcher(text);
        return write.matches() ? new Statement(true, write.group(1), write.group(2), write.group(3)) : null;
    }

    public String id() {
        return fields.get("id");
    }

    public String requestClass() {
        return fields.get("c");
    }

    public static String read(String key, String comment) {
        return "SELECT val FROM state WHERE uid = '" + key + "' /* " + comment + " */";
    }

    public static String write(String key, String hex, String comment) {
        return "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x" + hex + "') RETURNING val /* " + comment
                + " */";
    }
}
