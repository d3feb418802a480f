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
    private static final String KEEPS_SIGN = "~!@#^&|`?%";

    private static final byte[] CLASS = new byte[256];
    private static final byte OTHER = 0, SPACE = 1, START = 2, DIGIT = 3, OPERATOR = 4, SELF = 5;

    static {
        for (int c = 0; c < 256; c++) {
            CLASS[c] = c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f'
                    ? SPACE
                    : (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c >= 128
                            ? START
                            : c >= '0' && c <= '9'
                                    ? DIGIT
                                    : OPERATORS.indexOf(c) >= 0 ? OPERATOR : ",()[].;:".indexOf(c) >= 0 ? SELF : OTHER;
        }
    }

    private final boolean conforming;
    private TokenBuffer tokens;
    private byte[] text;
    private int at;

    /**
     * Creates a lexer.
     *
     * @param conforming whether a backslash in an ordinary string is an ordinary character
     *     (standard_conforming_strings)
     */
    Lexer(boolean conforming) {
        this.conforming = conforming;
    }

    /** Replaces the content of the buffer by the tokens of the statement; at an error it stops and reports it there. */
    void lex(byte[] statement, TokenBuffer into) {
        into.clear(statement);
        tokens = into;
        text = statement;
        at = 0;
        while (at < text.length && tokens.fault == null) {
            next();
        }
        text = null;
    }

    private int peek(int ahead) {
        return at + ahead < text.length ? text[at + ahead] & 0xff : -1;
    }

    private void next() {
        int c = text[at] & 0xff;
        switch (CLASS[c]) {
            case SPACE -> at++;
            case START -> word(c);
            case DIGIT -> number();
            case OPERATOR -> {
                if (c == '-' && peek(1) == '-') {
                    line();
                } else if (c == '/' && peek(1) == '*') {
                    comment();
                } else {
                    operator();
                }
            }
            case SELF -> self(c);
            default -> {
                switch (c) {
                    case '\'' -> string(at, at, !conforming);
                    case '"' -> quoted(at, at);
                    case '$' -> dollar();
                    default -> fault("a character that is none of SQL");
                }
            }
        }
    }

    private void fault(String why) {
        tokens.fault = why;
        at = text.length;
    }

    private void word(int c) {
        int start = at;
        int second = peek(1);
        if (second == '\'') {
            switch (c) {
                case 'e', 'E' -> {
                    string(start, at + 1, true);
                    return;
                }
                case 'b', 'B', 'x', 'X' -> {
                    string(start, at + 1, false);
                    return;
                }
                case 'n', 'N' -> {
                    string(start, at + 1, !conforming);
                    return;
                }
                default -> {}
            }
        } else if ((c == 'u' || c == 'U') && second == '&' && peek(2) == '\'') {
            if (conforming) {
                string(start, at + 2, false);
            } else {
                fault("a Unicode string where strings do not conform");
            }
            return;
        } else if ((c == 'u' || c == 'U') && second == '&' && peek(2) == '"') {
            quoted(start, at + 2);
            return;
        }
        at++;
        while (at < text.length && inWord(text[at] & 0xff)) {
            at++;
        }
        tokens.add(Kind.WORD, start, at);
    }

    private static boolean inWord(int c) {
        return CLASS[c] == START || CLASS[c] == DIGIT || c == '$';
    }

    /** Scans a string with its opening quote at {@code quote}, including its continuations on later lines. */
    private void string(int start, int quote, boolean escapes) {
        at = quote;
        do {
            at++;
            while (at < text.length && (text[at] != '\'' || peek(1) == '\'')) {
                at += text[at] == '\'' || (escapes && text[at] == '\\') ? 2 : 1;
            }
            if (at >= text.length) {
                fault("a string without its end");
                return;
            }
            at++;
        } while (continues());
        tokens.add(Kind.LITERAL, start, at);
    }

    /** Moves to the opening quote of a continuation: white space with a line break and line comments may precede it. */
    private boolean continues() {
        boolean broken = false;
        for (int i = at; i < text.length; i++) {
            int c = text[i];
            if (c == '\n' || c == '\r') {
                broken = true;
            } else if (c == '\'' && broken) {
                at = i;
                return true;
            } else if (c == '-' && i + 1 < text.length && text[i + 1] == '-') {
                while (i + 1 < text.length && text[i + 1] != '\n' && text[i + 1] != '\r') {
                    i++;
                }
            } else if (CLASS[c & 0xff] != SPACE) {
                return false;
            }
        }
        return false;
    }

    private void quoted(int start, int quote) {
        at = quote + 1;
        while (at < text.length && (text[at] != '"' || peek(1) == '"')) {
            at += text[at] == '"' ? 2 : 1;
        }
        if (at >= text.length || at == quote + 1) {
            fault("a quoted name without its end, or empty");
            return;
        }
        tokens.add(Kind.QUOTED, start, ++at);
    }

    /** Scans a parameter such as $1 or a dollar-quoted string. */
    private void dollar() {
        int start = at;
        int c = peek(1);
        if (c >= 0 && CLASS[c] == DIGIT) {
            at++;
            digits();
            literal(start);
            return;
        }
        int tag = at + 1;
        while (tag < text.length
                && (CLASS[text[tag] & 0xff] == START || (tag > at + 1 && CLASS[text[tag] & 0xff] == DIGIT))) {
            tag++;
        }
        if (tag >= text.length || text[tag] != '$') {
            fault("a dollar sign that begins nothing");
            return;
        }
        int length = tag + 1 - start;
        for (int i = tag + 1; i + length <= text.length; i++) {
            if (text[i] == '$' && text[i + length - 1] == '$' && same(start, i, length)) {
                at = i + length;
                tokens.add(Kind.LITERAL, start, at);
                return;
            }
        }
        fault("a dollar quote without its end");
    }

    private boolean same(int one, int other, int length) {
        for (int i = 0; i < length; i++) {
            if (text[one + i] != text[other + i]) {
                return false;
            }
        }
        return true;
    }

    private void digits() {
        while (at < text.length && CLASS[text[at] & 0xff] == DIGIT) {
            at++;
        }
    }

    private void number() {
        int start = at;
        digits();
        // Two dots are the range operator of a procedural loop and no part of a number.
        if (peek(0) == '.' && peek(1) != '.') {
            at++;
            digits();
        }
        int c = peek(0);
        if (c == 'e' || c == 'E') {
            int sign = peek(1) == '+' || peek(1) == '-' ? 1 : 0;
            if (peek(1 + sign) >= 0 && CLASS[peek(1 + sign)] == DIGIT) {
                at += 1 + sign;
                digits();
            }
        }
        literal(start);
    }

    /** Adds a number. Rejects one directly followed by letters: PostgreSQL versions differ in where it ends. */
    private void literal(int start) {
        if (at < text.length && inWord(text[at] & 0xff)) {
            fault("a number that runs into a word");
        } else {
            tokens.add(Kind.LITERAL, start, at);
        }
    }

    private void line() {
        while (at < text.length && text[at] != '\n' && text[at] != '\r') {
            at++;
        }
    }

    private void comment() {
        int depth = 0;
        do {
            if (at + 1 >= text.length) {
                fault("a comment without its end");
                return;
            }
            boolean opens = text[at] == '/' && text[at + 1] == '*';
            boolean closes = text[at] == '*' && text[at + 1] == '/';
            depth += opens ? 1 : closes ? -1 : 0;
            at += opens || closes ? 2 : 1;
        } while (depth > 0);
    }

    private void operator() {
        int start = at;
        boolean keeps = false;
        int end = at;
        while (end < text.length && CLASS[text[end] & 0xff] == OPERATOR) {
            int c = text[end];
            int after = end + 1 < text.length ? text[end + 1] : 0;
            if (end > start && ((c == '-' && after == '-') || (c == '/' && after == '*'))) {
                break;
            }
            keeps |= KEEPS_SIGN.indexOf(c) >= 0;
            end++;
        }
        while (!keeps && end - start > 1 && (text[end - 1] == '+' || text[end - 1] == '-')) {
            end--;
        }
        at = end;
        int c = text[start];
        boolean arrow = end - start == 2 && c == '=' && text[start + 1] == '>';
        tokens.add(
                end - start == 1 && c == '='
                        ? Kind.EQ
                        : end - start == 1 && c == '*' ? Kind.STAR : arrow ? Kind.ARROW : Kind.OP,
                start,
                end);
    }

    private void self(int c) {
        int start = at++;
        int second = peek(0);
        if (c == '.' && second >= 0 && CLASS[second] == DIGIT) {
            at = start;
            number();
            return;
        }
        if (c == ':' && (second == ':' || second == '=')) {
            at++;
            tokens.add(second == ':' ? Kind.CAST_TO : Kind.COLON_EQ, start, at);
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
                at);
    }
}
