package clayhook.statements;

import java.nio.charset.StandardCharsets;

/** What literals mean, as far as two forms of one value must give the same text. */
final class Literals {
    /** Keys are short; a longer literal is no key. */
    private static final int LONGEST = 1024;

    private Literals() {}

    /** Whole numbers as digits, strings without escapes as their text; null for all else. */
    static String text(byte[] statement, int from, int to) {
        if (to - from > LONGEST) {
            return null;
        }
        String literal = new String(statement, from, to - from, StandardCharsets.UTF_8);
        if (literal.charAt(0) == '\'') {
            String inner = literal.substring(1, literal.length() - 1);
            boolean plain = inner.indexOf('\\') < 0 && inner.replace("''", "").indexOf('\'') < 0;
            return plain ? inner.replace("''", "'") : null;
        }
        int from0 = 0;
        for (int i = 0; i < literal.length(); i++) {
            char c = literal.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            from0 += c == '0' && from0 == i && i + 1 < literal.length() ? 1 : 0;
        }
        return literal.substring(from0);
    }
}
