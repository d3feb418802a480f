package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;

/**
 * Splits a statement into tokens by the lexical rules of the PostgreSQL documentation (chapter "Lexical Structure").
 * The text is UTF-8, in which all bytes above 127 belong to names. Text with ambiguous or invalid token boundaries is
 * reported as an error in {@link TokenBuffer}.
 */
final class Lexer {
    private static final String OPERATORS = "~!@#^&|`?+-*/%<>=";
    /** An operator of several characters may end in + or - only if it contains one of these. */
    private static final String ALLOWS_TRAILING_SIGN = "~!@#^&|`?%";

    private static final byte[] CHARACTER_CLASSES = new byte[256];
    private static final byte OTHER = 0, SPACE = 1, WORD_START = 2, DIGIT = 3, OPERATOR = 4, PUNCTUATION = 5;

    static {
        for (int c = 0; c < 256; c++) {
            CHARACTER_CLASSES[c] = c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f'
                    ? SPACE
                    : (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c >= 128
                            ? WORD_START
                            : c >= '0' && c <= '9'
                                    ? DIGIT
                                    : OPERATORS.indexOf(c) >= 0
                                            ? OPERATOR
                                            : ",()[].;:".indexOf(c) >= 0 ? PUNCTUATION : OTHER;
        }
    }

    private final boolean standardConformingStrings;
    private TokenBuffer tokens;
    private byte[] text;
    private int position;
    /** The end of the latest characters of operators without another character or comment between them. */
    private int operatorsEnd;
    /** The last of these characters that lets an operator end in + or -; -1 if there is none. */
    private int lastAllowingTrailingSign;
    /** The last of these characters that is neither + nor -; -1 if there is none. */
    private int lastOtherThanSign;

    /**
     * Creates a lexer.
     *
     * @param standardConformingStrings whether a backslash in an ordinary string is an ordinary character
     *     (standard_conforming_strings)
     */
    Lexer(boolean standardConformingStrings) {
        this.standardConformingStrings = standardConformingStrings;
    }

    /** Replaces the content of the buffer by the tokens of the statement; at an error it stops and reports it there. */
    void lex(byte[] statement, TokenBuffer buffer) {
        buffer.clear(statement);
        tokens = buffer;
        text = statement;
        position = 0;
        operatorsEnd = 0;
        while (position < text.length && tokens.error == null) {
            scanToken();
        }
        text = null;
    }

    private int peek(int ahead) {
        return position + ahead < text.length ? text[position + ahead] & 0xff : -1;
    }

    private void scanToken() {
        int c = text[position] & 0xff;
        switch (CHARACTER_CLASSES[c]) {
            case SPACE -> position++;
            case WORD_START -> scanWord(c);
            case DIGIT -> scanNumber();
            case OPERATOR -> {
                if (c == '-' && peek(1) == '-') {
                    skipLineComment();
                } else if (c == '/' && peek(1) == '*') {
                    skipBlockComment();
                } else {
                    scanOperator();
                }
            }
            case PUNCTUATION -> scanPunctuation(c);
            default -> {
                switch (c) {
                    case '\'' -> scanString(position, position, !standardConformingStrings);
                    case '"' -> scanQuotedIdentifier(position, position);
                    case '$' -> scanDollar();
                    default -> fail("a character that is none of SQL");
                }
            }
        }
    }

    private void fail(String why) {
        tokens.error = why;
        position = text.length;
    }

    private void scanWord(int c) {
        int start = position;
        int second = peek(1);
        if (second == '\'') {
            switch (c) {
                case 'e', 'E' -> {
                    scanString(start, position + 1, true);
                    return;
                }
                case 'b', 'B', 'x', 'X' -> {
                    scanString(start, position + 1, false);
                    return;
                }
                case 'n', 'N' -> {
                    scanString(start, position + 1, !standardConformingStrings);
                    return;
                }
                default -> {}
            }
        } else if ((c == 'u' || c == 'U') && second == '&' && peek(2) == '\'') {
            if (standardConformingStrings) {
                scanString(start, position + 2, false);
            } else {
                fail("a Unicode string where strings do not conform");
            }
            return;
        } else if ((c == 'u' || c == 'U') && second == '&' && peek(2) == '"') {
            scanQuotedIdentifier(start, position + 2);
            return;
        }
        position++;
        while (position < text.length && isWordPart(text[position] & 0xff)) {
            position++;
        }
        tokens.add(Kind.WORD, start, position);
    }

    private static boolean isWordPart(int c) {
        return CHARACTER_CLASSES[c] == WORD_START || CHARACTER_CLASSES[c] == DIGIT || c == '$';
    }

    /** Scans a string with its opening quote at {@code quote}, including its continuations on later lines. */
    private void scanString(int start, int quote, boolean escapes) {
        position = quote;
        do {
            position++;
            while (position < text.length && (text[position] != '\'' || peek(1) == '\'')) {
                position += text[position] == '\'' || (escapes && text[position] == '\\') ? 2 : 1;
            }
            if (position >= text.length) {
                fail("a string without its end");
                return;
            }
            position++;
        } while (skipToContinuation());
        tokens.add(Kind.LITERAL, start, position);
    }

    /** Moves to the opening quote of a continuation: white space with a line break and line comments may precede it. */
    private boolean skipToContinuation() {
        boolean lineBreak = false;
        for (int i = position; i < text.length; i++) {
            int c = text[i];
            if (c == '\n' || c == '\r') {
                lineBreak = true;
            } else if (c == '\'' && lineBreak) {
                position = i;
                return true;
            } else if (c == '-' && i + 1 < text.length && text[i + 1] == '-') {
                while (i + 1 < text.length && text[i + 1] != '\n' && text[i + 1] != '\r') {
                    i++;
                }
            } else if (CHARACTER_CLASSES[c & 0xff] != SPACE) {
                return false;
            }
        }
        return false;
    }

    private void scanQuotedIdentifier(int start, int quote) {
        position = quote + 1;
        while (position < text.length && (text[position] != '"' || peek(1) == '"')) {
            position += text[position] == '"' ? 2 : 1;
        }
        if (position >= text.length || position == quote + 1) {
            fail("a quoted name without its end, or empty");
            return;
        }
        tokens.add(Kind.QUOTED, start, ++position);
    }

    /** Scans a parameter such as $1 or a dollar-quoted string. */
    private void scanDollar() {
        int start = position;
        int c = peek(1);
        if (c >= 0 && CHARACTER_CLASSES[c] == DIGIT) {
            position++;
            skipDigits();
            addNumber(start);
            return;
        }
        int tag = position + 1;
        while (tag < text.length
                && (CHARACTER_CLASSES[text[tag] & 0xff] == WORD_START
                        || (tag > position + 1 && CHARACTER_CLASSES[text[tag] & 0xff] == DIGIT))) {
            tag++;
        }
        if (tag >= text.length || text[tag] != '$') {
            fail("a dollar sign that begins nothing");
            return;
        }
        int length = tag + 1 - start;
        for (int i = tag + 1; i + length <= text.length; i++) {
            if (text[i] == '$' && text[i + length - 1] == '$' && regionMatches(start, i, length)) {
                position = i + length;
                tokens.add(Kind.LITERAL, start, position);
                return;
            }
        }
        fail("a dollar quote without its end");
    }

    private boolean regionMatches(int first, int second, int length) {
        for (int i = 0; i < length; i++) {
            if (text[first + i] != text[second + i]) {
                return false;
            }
        }
        return true;
    }

    private void skipDigits() {
        while (position < text.length && CHARACTER_CLASSES[text[position] & 0xff] == DIGIT) {
            position++;
        }
    }

    private void scanNumber() {
        int start = position;
        skipDigits();
        // Two dots are the range operator of a procedural loop and no part of a number.
        if (peek(0) == '.' && peek(1) != '.') {
            position++;
            skipDigits();
        }
        int c = peek(0);
        if (c == 'e' || c == 'E') {
            int sign = peek(1) == '+' || peek(1) == '-' ? 1 : 0;
            if (peek(1 + sign) >= 0 && CHARACTER_CLASSES[peek(1 + sign)] == DIGIT) {
                position += 1 + sign;
                skipDigits();
            }
        }
        addNumber(start);
    }

    /** Adds a number. Rejects one directly followed by letters: PostgreSQL versions differ in where it ends. */
    private void addNumber(int start) {
        if (position < text.length && isWordPart(text[position] & 0xff)) {
            fail("a number that runs into a word");
        } else {
            tokens.add(Kind.LITERAL, start, position);
        }
    }

    private void skipLineComment() {
        while (position < text.length && text[position] != '\n' && text[position] != '\r') {
            position++;
        }
    }

    private void skipBlockComment() {
        int depth = 0;
        do {
            if (position + 1 >= text.length) {
                fail("a comment without its end");
                return;
            }
            boolean opens = text[position] == '/' && text[position + 1] == '*';
            boolean closes = text[position] == '*' && text[position + 1] == '/';
            depth += opens ? 1 : closes ? -1 : 0;
            position += opens || closes ? 2 : 1;
        } while (depth > 0);
    }

    private void scanOperator() {
        int start = position;
        if (start >= operatorsEnd) {
            findOperatorsEnd(start);
        }
        boolean allowsTrailingSign = lastAllowingTrailingSign >= start;
        int end = allowsTrailingSign ? operatorsEnd : Math.max(start, lastOtherThanSign) + 1;
        position = end;
        int c = text[start];
        boolean arrow = end - start == 2 && c == '=' && text[start + 1] == '>';
        tokens.add(
                end - start == 1 && c == '='
                        ? Kind.EQ
                        : end - start == 1 && c == '*' ? Kind.STAR : arrow ? Kind.ARROW : Kind.OP,
                start,
                end);
    }

    /**
     * Finds the end of the characters of operators that begin here, which a comment ends too. They are several
     * operators if signs at their end are operators of their own, so the result holds until that end and is found once.
     */
    private void findOperatorsEnd(int start) {
        lastAllowingTrailingSign = -1;
        lastOtherThanSign = -1;
        int end = start;
        while (end < text.length && CHARACTER_CLASSES[text[end] & 0xff] == OPERATOR && !startsComment(end)) {
            int c = text[end];
            lastAllowingTrailingSign = ALLOWS_TRAILING_SIGN.indexOf(c) >= 0 ? end : lastAllowingTrailingSign;
            lastOtherThanSign = c == '+' || c == '-' ? lastOtherThanSign : end;
            end++;
        }
        operatorsEnd = end;
    }

    private boolean startsComment(int i) {
        int after = i + 1 < text.length ? text[i + 1] : 0;
        return (text[i] == '-' && after == '-') || (text[i] == '/' && after == '*');
    }

    private void scanPunctuation(int c) {
        int start = position++;
        int second = peek(0);
        if (c == '.' && second >= 0 && CHARACTER_CLASSES[second] == DIGIT) {
            position = start;
            scanNumber();
            return;
        }
        if (c == ':' && (second == ':' || second == '=')) {
            position++;
            tokens.add(second == ':' ? Kind.CAST_TO : Kind.COLON_EQ, start, position);
            return;
        }
        tokens.add(
                switch (c) {
                    case ',' -> Kind.COMMA;
                    case '(' -> Kind.LP;
                    case ')' -> Kind.RP;
                    case '[' -> Kind.LB;
                    case ']' -> Kind.RB;
                    case '.' -> Kind.DOT;
                    case ';' -> Kind.SEMI;
                    default -> Kind.COLON;
                },
                start,
                position);
    }
}
