package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.util.Arrays;

/**
 * Builds the shape of a statement from its tokens: words in lower case, {@code $} for each literal, parameter or list
 * of them, and one space between tokens. Two statements of the same shape differ in nothing else, so the analysis of a
 * shape is valid for both. One instance is reused for all statements and holds the shape of the latest one.
 */
final class ShapeBuilder {
    /** The placeholder for literals. It is unambiguous, because a single dollar sign is no token of a statement. */
    static final byte PLACE = '$';
    /** The largest buffer in bytes that is reused; a larger one is discarded before the next statement. */
    private static final int KEPT = 1 << 14;

    byte[] bytes = new byte[512];
    int length;
    /** The tokens of the shape, with their positions in the bytes of the shape. */
    final TokenBuffer tokens = new TokenBuffer();

    private int[] source = new int[64];
    private int[] rows = new int[64];
    private TokenBuffer from;

    /** Builds the shape of a statement, without leading and trailing semicolons. */
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

    /** The index of the closing token of the list of literals that opens at {@code i}; -1 if it is no such list. */
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

    /** The index of the closing token of the list that follows the one closed at {@code close}; -1 if there is none. */
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

    // ---- literals behind the placeholders of the shape ----

    /** The number of successive lists behind a placeholder; 0 for a single literal that is in no list. */
    int rows(int place) {
        return rows[place];
    }

    /** The index of the literal token of a statement at this row and element of a placeholder; -1 if there is none. */
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

    /** The number of elements of each list behind a placeholder; -1 if the lists differ in length. */
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
