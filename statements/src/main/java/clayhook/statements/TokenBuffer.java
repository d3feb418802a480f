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
    private static final int MAX_RETAINED_TOKENS = 1 << 12;

    byte[] text;
    Kind[] kinds = new Kind[64];
    int[] starts = new int[64];
    int[] ends = new int[64];
    int size;
    /** The reason why the text cannot be split into tokens, or null. */
    String error;

    void clear(byte[] newText) {
        text = newText;
        size = 0;
        error = null;
        if (kinds.length > MAX_RETAINED_TOKENS) {
            kinds = new Kind[64];
            starts = new int[64];
            ends = new int[64];
        }
    }

    void add(Kind kind, int start, int end) {
        if (size == kinds.length) {
            grow();
        }
        kinds[size] = kind;
        starts[size] = start;
        ends[size++] = end;
    }

    /** Enlarges the arrays, but to no more tokens than the text has bytes. */
    private void grow() {
        int capacity = text == null ? 2 * size : Math.max(size + 1, Math.min(4 * size, text.length));
        kinds = Arrays.copyOf(kinds, capacity);
        starts = Arrays.copyOf(starts, capacity);
        ends = Arrays.copyOf(ends, capacity);
    }

    /** Whether the token is this unquoted word, ignoring case; {@code word} is in lower case. */
    boolean isWord(int token, String word) {
        if (kinds[token] != Kind.WORD || ends[token] - starts[token] != word.length()) {
            return false;
        }
        for (int j = 0; j < word.length(); j++) {
            if ((text[starts[token] + j] | 0x20) != word.charAt(j)) {
                return false;
            }
        }
        return true;
    }
}
