package clayhook.statements;

import clayhook.statements.Sql.NameContext;
import clayhook.statements.Sql.QnameContext;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/** Normalizes identifiers as the server does: folded to lower case unless quoted, and truncated to 63 bytes. */
final class IdentifierRules {
    /** The longest identifier in bytes: NAMEDATALEN of the PostgreSQL documentation, minus one. */
    private static final int MAX_BYTES = 63;

    private IdentifierRules() {}

    /** The parts of a qualified name joined by dots; a part that contains a dot is quoted to keep it a single part. */
    static String normalize(QnameContext name) {
        return name.name().stream()
                .map(IdentifierRules::normalize)
                .map(part -> part.indexOf('.') < 0 ? part : '"' + part + '"')
                .collect(Collectors.joining("."));
    }

    /** The normalized form of an unqualified name. */
    static String normalize(NameContext name) {
        String text = name.getText();
        return name.QUOTED() == null ? truncate(fold(text)) : unquote(text);
    }

    /** Folds ASCII letters to lower case. */
    static String fold(String word) {
        StringBuilder folded = null;
        for (int i = 0; i < word.length(); i++) {
            char c = word.charAt(i);
            if (c >= 'A' && c <= 'Z') {
                folded = folded == null ? new StringBuilder(word) : folded;
                folded.setCharAt(i, (char) (c | 0x20));
            }
        }
        return folded == null ? word : folded.toString();
    }

    /** Removes the quotes of a quoted name, and resolves Unicode escapes if it begins with U&amp;. */
    static String unquote(String text) {
        int open = text.indexOf('"');
        String inner = text.substring(open + 1, text.length() - 1).replace("\"\"", "\"");
        return truncate(open == 0 ? inner : unescape(inner));
    }

    /** Returns a name with an invalid escape unchanged: no list contains a name with a backslash. */
    private static String unescape(String name) {
        var out = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c != '\\') {
                out.append(c);
            } else if (i + 1 < name.length() && name.charAt(i + 1) == '\\') {
                out.append(c);
                i++;
            } else {
                boolean sixDigits = i + 1 < name.length() && name.charAt(i + 1) == '+';
                int from = i + (sixDigits ? 2 : 1);
                int to = from + (sixDigits ? 6 : 4);
                int point = to <= name.length() ? parseCodePoint(name.substring(from, to)) : -1;
                if (point < 0) {
                    return name;
                }
                out.appendCodePoint(point);
                i = to - 1;
            }
        }
        return out.toString();
    }

    /** Parses hexadecimal digits as a Unicode code point; -1 if they are invalid. */
    private static int parseCodePoint(String digits) {
        int value = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            int digit = Character.digit(c, 16);
            if (digit < 0 || c > 'f') {
                return -1;
            }
            value = 16 * value + digit;
        }
        return value <= Character.MAX_CODE_POINT ? value : -1;
    }

    private static String truncate(String name) {
        if (3 * name.length() <= MAX_BYTES) {
            return name;
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int end = Math.min(bytes.length, MAX_BYTES);
        while (end < bytes.length && end > 0 && (bytes[end] & 0xc0) == 0x80) {
            end--;
        }
        return end == bytes.length ? name : new String(bytes, 0, end, StandardCharsets.UTF_8);
    }
}
