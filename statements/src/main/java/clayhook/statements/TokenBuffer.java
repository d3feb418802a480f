package clayhook.statements;

import java.util.Arrays;

/** The tokens of one statement: their kinds and positions in the text. Reused for all statements. */
final class TokenBuffer {
    /** The kinds of tokens. The lexer does not distinguish keywords from other words; the parsing of a shape does. */
    enum Kind {
        WORD,
        QUOTED,
        LITERAL,
        OP,
        EQ,
        STAR,
        LP,
        RP,
        LB,
        RB,
        COMMA,
        SEMI,
        DOT,
        COLON,
        COLON_EQ,
        ARROW,
        CAST_TO
    }

    /** The largest arrays, in tokens, that are reused; larger ones are discarded before the next statement. */
    private static final int KEPT = 1 << 12;

    byte[] text;
    Kind[] kinds = new Kind[64];
    int[] from = new int[64];
    int[] to = new int[64];
    int size;
    /** The reason why the text cannot be split into tokens, or null. */
    String fault;

    void clear(byte[] next) {
        text = next;
        size = 0;
        fault = null;
        if (kinds.length > KEPT) {
            kinds = new Kind[64];
            from = new int[64];
            to = new int[64];
        }
    }

    void add(Kind kind, int start, int end) {
        if (size == kinds.length) {
            kinds = Arrays.copyOf(kinds, 2 * size);
            from = Arrays.copyOf(from, 2 * size);
            to = Arrays.copyOf(to, 2 * size);
        }
        kinds[size] = kind;
        from[size] = start;
        to[size++] = end;
    }

    /** Whether the token is this unquoted word, ignoring case; {@code word} is in lower case. */
    boolean is(int i, String word) {
        if (kinds[i] != Kind.WORD || to[i] - from[i] != word.length()) {
            return false;
        }
        for (int j = 0; j < word.length(); j++) {
            if ((text[from[i] + j] | 0x20) != word.charAt(j)) {
                return false;
            }
        }
        return true;
    }
}
