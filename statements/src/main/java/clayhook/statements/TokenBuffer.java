package clayhook.statements;

import java.util.Arrays;

/** The tokens of one statement: kinds and where each stands in the text. Reused from statement to statement. */
final class TokenBuffer {
    /** What the lexer tells apart; words are told apart from keywords only when a shape is parsed. */
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

    /** Grown tables of a long statement are given up after it. */
    private static final int KEPT = 1 << 12;

    byte[] text;
    Kind[] kinds = new Kind[64];
    int[] from = new int[64];
    int[] to = new int[64];
    int size;
    /** Why the text has no sound tokens, or null. */
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

    /** Whether token {@code i} is this word, given in lower case. */
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
