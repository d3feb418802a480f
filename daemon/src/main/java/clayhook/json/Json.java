package clayhook.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON parser. Objects become maps, arrays become lists, and other values become strings, doubles, booleans and null.
 */
public final class Json {
    /** The maximum nesting depth, which bounds the stack; larger than that of any message of the platform. */
    private static final int MAX_DEPTH = 32;

    private static final int HEX_RADIX = 16;

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /**
     * Parses a text that contains a single value.
     *
     * @throws IllegalArgumentException if the syntax is invalid; the message states the position
     */
    public static Object parse(String text) {
        var json = new Json(text);
        Object value = json.parseValue(0);
        json.skipWhitespace();
        if (json.position < text.length()) {
            throw json.syntaxError("unexpected text after the end of the value");
        }
        return value;
    }

    private Object parseValue(int depth) {
        if (depth > MAX_DEPTH) {
            throw syntaxError("nested too deeply");
        }
        skipWhitespace();
        char c = peek();
        if (c == '{') {
            return parseObject(depth);
        } else if (c == '[') {
            return parseArray(depth);
        } else if (c == '"') {
            return parseString();
        } else if (c == '-' || (c >= '0' && c <= '9')) {
            return parseNumber();
        } else if (consumeLiteral("true")) {
            return true;
        } else if (consumeLiteral("false")) {
            return false;
        } else if (consumeLiteral("null")) {
            return null;
        }
        throw syntaxError("a value was expected");
    }

    private Map<String, Object> parseObject(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        position++;
        skipWhitespace();
        if (peek() == '}') {
            position++;
            return object;
        }
        do {
            skipWhitespace();
            if (peek() != '"') {
                throw syntaxError("a name in quotes was expected");
            }
            String name = parseString();
            skipWhitespace();
            expect(':');
            object.put(name, parseValue(depth + 1));
        } while (consumeSeparator('}'));
        return object;
    }

    private List<Object> parseArray(int depth) {
        List<Object> array = new ArrayList<>();
        position++;
        skipWhitespace();
        if (peek() == ']') {
            position++;
            return array;
        }
        do {
            array.add(parseValue(depth + 1));
        } while (consumeSeparator(']'));
        return array;
    }

    /** Consumes a comma and returns true, or consumes the end of the object or array and returns false. */
    private boolean consumeSeparator(char end) {
        skipWhitespace();
        if (peek() == ',') {
            position++;
            return true;
        }
        expect(end);
        return false;
    }

    private String parseString() {
        var out = new StringBuilder();
        position++;
        while (peek() != '"') {
            char c = text.charAt(position++);
            if (c < ' ') {
                throw syntaxError("unescaped control character in a string");
            }
            out.append(c == '\\' ? parseEscape() : c);
        }
        position++;
        return out.toString();
    }

    private char parseEscape() {
        char c = peek();
        position++;
        return switch (c) {
            case '"', '\\', '/' -> c;
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'u' -> parseUnicodeEscape();
            default -> throw syntaxError("unknown escape sequence");
        };
    }

    private char parseUnicodeEscape() {
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(peek(), HEX_RADIX);
            if (digit < 0) {
                throw syntaxError("malformed Unicode escape");
            }
            code = code * HEX_RADIX + digit;
            position++;
        }
        return (char) code;
    }

    private Double parseNumber() {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        try {
            return Double.valueOf(text.substring(start, position));
        } catch (NumberFormatException e) {
            throw syntaxError("no number");
        }
    }

    private boolean consumeLiteral(String literal) {
        boolean found = text.startsWith(literal, position);
        position += found ? literal.length() : 0;
        return found;
    }

    private void skipWhitespace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private void expect(char c) {
        if (peek() != c) {
            throw syntaxError("'" + c + "' is missing");
        }
        position++;
    }

    private char peek() {
        if (position >= text.length()) {
            throw syntaxError("unexpected end of the text");
        }
        return text.charAt(position);
    }

    private IllegalArgumentException syntaxError(String reason) {
        return new IllegalArgumentException(reason + " at character " + position);
    }
}
