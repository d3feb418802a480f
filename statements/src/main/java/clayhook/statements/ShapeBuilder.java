package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.util.Arrays;

/**
 * Makes the shape of a statement from its tokens: words in lower case, {@code $} for each literal, parameter and list
 * of them, one space between tokens. Two statements of one shape differ in nothing else, so whatever is read off a
 * shape holds for both. Reused from statement to statement.
 */
final class ShapeBuilder {
    /** What stands for literals: a dollar sign alone is no token of a statement. */
    static final byte PLACE = '$';
    /** A grown buffer of a long statement is given up after it. */
    private static final int KEPT = 1 << 14;

    byte[] bytes = new byte[512];
    int length;
    /** Tokens of the shape: kind, and the token of the statement that it comes from. */
    final TokenBuffer tokens = new TokenBuffer();

    private int[] source = new int[64];
    private int[] rows = new int[64];
    private TokenBuffer from;

    void shape(TokenBuffer statement) {
        from = statement;
        bytes = bytes.length > KEPT ? new byte[512] : bytes;
        length = 0;
        tokens.clear(null);
        int i = 0;
        int end = statement.size;
        while (i < end && statement.kinds[i] == Kind.SEMI) {
            i++;
        }
        while (end > i && statement.kinds[end - 1] == Kind.SEMI) {
            end--;
        }
        while (i < end) {
            Kind kind = statement.kinds[i];
            int close = kind == Kind.LP ? list(i, end, Kind.RP) : kind == Kind.LB ? list(i, end, Kind.RB) : -1;
            if (close > 0) {
                add(kind, i);
                add(Kind.LITERAL, i + 1);
                int first = tokens.size - 1;
                rows[first] = 1;
                for (int next = another(close, end, kind); next > 0; next = another(close, end, kind)) {
                    close = next;
                    rows[first]++;
                }
                add(statement.kinds[close], close);
                i = close + 1;
            } else {
                add(kind, i++);
            }
        }
        tokens.text = bytes;
        from = null;
    }

    /** Where a list of nothing but literals closes that opens at {@code i}; -1 if it is none. */
    private int list(int i, int end, Kind close) {
        int j = i + 1;
        while (j < end) {
            if (from.kinds[j] == Kind.OP && sign(j)) {
                j++;
            }
            if (j + 1 >= end || !constant(j)) {
                return -1;
            }
            j++;
            if (from.kinds[j] == close) {
                return j;
            } else if (from.kinds[j] != Kind.COMMA) {
                return -1;
            }
            j++;
        }
        return -1;
    }

    /** The end of a further list right behind the one that closes at {@code close}; -1 if there is none. */
    private int another(int close, int end, Kind open) {
        return close + 2 < end && from.kinds[close + 1] == Kind.COMMA && from.kinds[close + 2] == open
                ? list(close + 2, end, from.kinds[close])
                : -1;
    }

    private boolean sign(int j) {
        byte c = from.text[from.from[j]];
        return from.to[j] - from.from[j] == 1 && (c == '-' || c == '+');
    }

    private boolean constant(int j) {
        return from.kinds[j] == Kind.LITERAL || from.is(j, "null") || from.is(j, "true") || from.is(j, "false");
    }

    private void add(Kind kind, int i) {
        int start = from.from[i];
        int size = kind == Kind.LITERAL ? 1 : from.to[i] - start;
        if (length + size + 1 > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + size + 1));
        }
        if (length > 0) {
            bytes[length++] = ' ';
        }
        int at = length;
        if (kind == Kind.LITERAL) {
            bytes[length++] = PLACE;
        } else if (kind == Kind.WORD) {
            for (int j = 0; j < size; j++) {
                byte b = from.text[start + j];
                bytes[length++] = b >= 'A' && b <= 'Z' ? (byte) (b | 0x20) : b;
            }
        } else {
            System.arraycopy(from.text, start, bytes, length, size);
            length += size;
        }
        if (tokens.size == source.length) {
            source = Arrays.copyOf(source, 2 * source.length);
            rows = Arrays.copyOf(rows, 2 * rows.length);
        }
        source[tokens.size] = i;
        rows[tokens.size] = 0;
        tokens.add(kind, at, length);
    }

    // ---- what stood in the places of a shape ----

    /** How many lists follow one another in that place; 0 for a literal that stands alone. */
    int rows(int place) {
        return rows[place];
    }

    /** Token of {@code statement} that is element {@code element} of row {@code row} in that place; -1 for none. */
    int element(TokenBuffer statement, int place, int row, int element) {
        int i = source[place];
        if (rows[place] == 0) {
            return row == 0 && element == 0 ? i : -1;
        }
        for (int r = 0; r < row; r++) {
            while (i < statement.size && statement.kinds[i] != Kind.RP) {
                i++;
            }
            i += 3;
        }
        for (int e = 0; e < element && i < statement.size; i++) {
            if (statement.kinds[i] == Kind.RP) {
                return -1;
            }
            e += statement.kinds[i] == Kind.COMMA ? 1 : 0;
        }
        return i < statement.size && statement.kinds[i] == Kind.LITERAL ? i : -1;
    }

    /** How many elements the lists of that place have, all alike; -1 if they differ. */
    int width(TokenBuffer statement, int place) {
        if (rows[place] == 0) {
            return 1;
        }
        int width = -1;
        int i = source[place];
        for (int row = 0; row < rows[place]; row++) {
            int count = 1;
            for (; statement.kinds[i] != Kind.RP && statement.kinds[i] != Kind.RB; i++) {
                count += statement.kinds[i] == Kind.COMMA ? 1 : 0;
            }
            i += 3;
            if (width >= 0 && count != width) {
                return -1;
            }
            width = count;
        }
        return width;
    }
}
