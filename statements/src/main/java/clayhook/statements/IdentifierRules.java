package clayhook.statements;

import clayhook.statements.Sql.NameContext;
import clayhook.statements.Sql.QnameContext;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/** Names as the server knows them: folded to lower case unless quoted, cut at 63 bytes. */
final class IdentifierRules {
    /** One less than NAMEDATALEN of the documentation. */
    private static final int LONGEST = 63;

    private IdentifierRules() {}

    /** Parts joined by dots; a part that holds a dot itself is quoted, so that it is no two parts. */
    static String of(QnameContext name) {
        return name.name().stream()
                .map(IdentifierRules::of)
                .map(part -> part.indexOf('.') < 0 ? part : '"' + part + '"')
                .collect(Collectors.joining("."));
    }

    static String of(NameContext name) {
        String text = name.getText();
        return name.QUOTED() == null ? cut(fold(text)) : unquote(text);
    }

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

    /** A quoted name, with Unicode escapes if it begins with U&amp;. */
    static String unquote(String text) {
        int open = text.indexOf('"');
        String inner = text.substring(open + 1, text.length() - 1).replace("\"\"", "\"");
        return cut(open == 0 ? inner : unescape(inner));
    }

    /** What cannot be read stays as it is: a name with a backslash is that of nothing known. */
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
                boolean six = i + 1 < name.length() && name.charAt(i + 1) == '+';
                int from = i + (six ? 2 : 1);
                int to = from + (six ? 6 : 4);
                int point = to <= name.length() ? hex(name.substring(from, to)) : -1;
                if (point < 0) {
                    return name;
                }
                out.appendCodePoint(point);
                i = to - 1;
            }
        }
        return out.toString();
    }

    private static int hex(String digits) {
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

    private static String cut(String name) {
        if (3 * name.length() <= LONGEST) {
            return name;
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int end = Math.min(bytes.length, LONGEST);
        while (end < bytes.length && end > 0 && (bytes[end] & 0xc0) == 0x80) {
            end--;
        }
        return end == bytes.length ? name : new String(bytes, 0, end, StandardCharsets.UTF_8);
    }
}
