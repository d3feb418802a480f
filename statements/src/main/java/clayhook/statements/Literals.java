package clayhook.statements;

import java.nio.charset.StandardCharsets;

/** Converts literals to a canonical text, so that different notations of one key give the same text. */
final class Literals {
    /** The longest literal, in bytes of the statement, that is accepted as a key; keys are short. */
    private static final int LONGEST = 1024;

    private Literals() {}

    /** The digits of an unsigned integer without leading zeros, or the text of a string without escapes; else null. */
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
