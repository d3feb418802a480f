package clayhook.statements;

import java.nio.charset.StandardCharsets;

/** Converts literals to a canonical text, so that different notations of one key give the same text. */
final class Literals {
    /** The longest literal, in bytes of the statement, that is accepted as a key; keys are short. */
    private static final int MAX_BYTES = 1024;

    private Literals() {}

    /** The digits of an unsigned integer without leading zeros, or the text of a string without escapes; else null. */
    static String canonicalText(byte[] statement, int from, int to) {
        if (to - from > MAX_BYTES) {
            return null;
        }
        String literal = new String(statement, from, to - from, StandardCharsets.UTF_8);
        if (literal.charAt(0) == '\'') {
            String inner = literal.substring(1, literal.length() - 1);
            boolean plain = inner.indexOf('\\') < 0 && inner.replace("''", "").indexOf('\'') < 0;
            return plain ? inner.replace("''", "'") : null;
        }
        int firstDigit = 0;
        for (int i = 0; i < literal.length(); i++) {
            char c = literal.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            firstDigit += c == '0' && firstDigit == i && i + 1 < literal.length() ? 1 : 0;
        }
        return literal.substring(firstDigit);
    }
}
