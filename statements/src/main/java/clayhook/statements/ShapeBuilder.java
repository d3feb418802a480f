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
    static final byte PLACEHOLDER = '$';
    /** The largest buffer in bytes that is reused; a larger one is discarded before the next statement. */
    private static final int MAX_RETAINED_BYTES = 1 << 14;

    byte[] bytes = new byte[512];
    int length;
    /**
     * The tokens of the shape, with their positions in the bytes of the shape. Of a shape that is too long to be
     * parsed, only as many as show that it is.
     */
    final TokenBuffer tokens = new TokenBuffer();

    private int[] sourceTokens = new int[64];
    private int[] rowCounts = new int[64];
    private TokenBuffer input;

    /** Builds the shape of a statement, without leading and trailing semicolons. */
    void build(TokenBuffer statement) {
        input = statement;
        bytes = bytes.length > MAX_RETAINED_BYTES ? new byte[512] : bytes;
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
            int close = kind == Kind.LP ? listEnd(i, end, Kind.RP) : kind == Kind.LB ? listEnd(i, end, Kind.RB) : -1;
            if (close > 0) {
                append(kind, i);
                append(Kind.LITERAL, i + 1);
                int placeholder = tokens.size - 1;
                int rows = 1;
                for (int next = nextListEnd(close, end, kind); next > 0; next = nextListEnd(close, end, kind)) {
                    close = next;
                    rows++;
                }
                rowCounts[placeholder] = rows;
                append(statement.kinds[close], close);
                i = close + 1;
            } else {
                append(kind, i++);
            }
        }
        tokens.text = bytes;
        input = null;
    }

    /** The index of the closing token of the list of literals that opens at {@code i}; -1 if it is no such list. */
    private int listEnd(int i, int end, Kind close) {
        int j = i + 1;
        while (j < end) {
            if (input.kinds[j] == Kind.OP && isSign(j)) {
                j++;
            }
            if (j + 1 >= end || !isConstant(j)) {
                return -1;
            }
            j++;
            if (input.kinds[j] == close) {
                return j;
            } else if (input.kinds[j] != Kind.COMMA) {
                return -1;
            }
            j++;
        }
        return -1;
    }

    /** The index of the closing token of the list that follows the one closed at {@code close}; -1 if there is none. */
    private int nextListEnd(int close, int end, Kind open) {
        return close + 2 < end && input.kinds[close + 1] == Kind.COMMA && input.kinds[close + 2] == open
                ? listEnd(close + 2, end, input.kinds[close])
                : -1;
    }

    private boolean isSign(int j) {
        byte c = input.text[input.starts[j]];
        return input.ends[j] - input.starts[j] == 1 && (c == '-' || c == '+');
    }

    private boolean isConstant(int j) {
        return input.kinds[j] == Kind.LITERAL
                || input.isWord(j, "null")
                || input.isWord(j, "true")
                || input.isWord(j, "false");
    }

    private void append(Kind kind, int i) {
        int start = input.starts[i];
        int size = kind == Kind.LITERAL ? 1 : input.ends[i] - start;
        if (length + size + 1 > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + size + 1));
        }
        if (length > 0) {
            bytes[length++] = ' ';
        }
        int at = length;
        if (kind == Kind.LITERAL) {
            bytes[length++] = PLACEHOLDER;
        } else if (kind == Kind.WORD) {
            for (int j = 0; j < size; j++) {
                byte b = input.text[start + j];
                bytes[length++] = b >= 'A' && b <= 'Z' ? (byte) (b | 0x20) : b;
            }
        } else {
            System.arraycopy(input.text, start, bytes, length, size);
            length += size;
        }
        if (tokens.size > ShapeAnalyzer.MAX_TOKENS) {
            return;
        }
        if (tokens.size == sourceTokens.length) {
            sourceTokens = Arrays.copyOf(sourceTokens, 2 * sourceTokens.length);
            rowCounts = Arrays.copyOf(rowCounts, 2 * rowCounts.length);
        }
        sourceTokens[tokens.size] = i;
        rowCounts[tokens.size] = 0;
        tokens.add(kind, at, length);
    }

    // ---- literals behind the placeholders of the shape ----

    /** The number of successive lists behind a placeholder; 0 for a single literal that is in no list. */
    int rowCount(int placeholder) {
        return rowCounts[placeholder];
    }

    /**
     * The index of the first token behind a placeholder: that of its literal, or of the first literal of its first
     * list.
     */
    int firstRow(int placeholder) {
        return sourceTokens[placeholder];
    }

    /** The index of the first literal of the list after the one in which the token {@code row} is. */
    int nextRow(TokenBuffer statement, int row) {
        int i = row;
        while (i < statement.size && statement.kinds[i] != Kind.RP) {
            i++;
        }
        return i + 3;
    }

    /**
     * The index of the literal token of a statement at this element of the list that begins at {@code row}; -1 if there
     * is none. A single literal that is in no list has only the element 0.
     */
    int elementToken(TokenBuffer statement, int placeholder, int row, int element) {
        if (rowCounts[placeholder] == 0) {
            return element == 0 ? row : -1;
        }
        int i = row;
        for (int e = 0; e < element && i < statement.size; i++) {
            if (statement.kinds[i] == Kind.RP) {
                return -1;
            }
            e += statement.kinds[i] == Kind.COMMA ? 1 : 0;
        }
        return i < statement.size && statement.kinds[i] == Kind.LITERAL ? i : -1;
    }

    /** The number of elements of each list behind a placeholder; -1 if the lists differ in length. */
    int rowWidth(TokenBuffer statement, int placeholder) {
        if (rowCounts[placeholder] == 0) {
            return 1;
        }
        int width = -1;
        int i = sourceTokens[placeholder];
        for (int row = 0; row < rowCounts[placeholder]; row++) {
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
