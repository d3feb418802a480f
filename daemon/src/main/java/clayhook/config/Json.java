package clayhook.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A parser of JSON: objects are maps, arrays lists, the rest strings, numbers, truth values and null. */
public final class Json {
    /** Deep enough for any message of ours; it bounds the stack. */
    private static final int MOST_DEPTH = 32;

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Throws IllegalArgumentException with the place of what cannot be understood. */
    public static Object parse(String text) {
        var json = new Json(text);
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.bad("something follows the end");
        }
        return value;
    }

    private Object value(int depth) {
        if (depth > MOST_DEPTH) {
            throw bad("too deep");
        }
        space();
        char c = peek();
        if (c == '{') {
            return object(depth);
        } else if (c == '[') {
            return array(depth);
        } else if (c == '"') {
            return string();
        } else if (c == '-' || c >= '0' && c <= '9') {
            return number();
        } else if (word("true")) {
            return Boolean.TRUE;
        } else if (word("false")) {
            return Boolean.FALSE;
        } else if (word("null")) {
            return null;
        }
        throw bad("no value");
    }

    private Map<String, Object> object(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        space();
        if (peek() == '}') {
            at++;
            return object;
        }
        do {
            space();
            if (peek() != '"') {
                throw bad("no name");
            }
            String name = string();
            space();
            expect(':');
            object.put(name, value(depth + 1));
        } while (another('}'));
        return object;
    }

    private List<Object> array(int depth) {
        List<Object> array = new ArrayList<>();
        at++;
        space();
        if (peek() == ']') {
            at++;
            return array;
        }
        do {
            array.add(value(depth + 1));
        } while (another(']'));
        return array;
    }

    private boolean another(char end) {
        space();
        if (peek() == ',') {
            at++;
            return true;
        }
        expect(end);
        return false;
    }

    private String string() {
        var out = new StringBuilder();
        at++;
        while (peek() != '"') {
            char c = text.charAt(at++);
            if (c < ' ') {
                throw bad("a control character in a string");
            }
            out.append(c == '\\' ? escaped() : c);
        }
        at++;
        return out.toString();
    }

    private char escaped() {
        char c = peek();
        at++;
        return switch (c) {
            case '"', '\\', '/' -> c;
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'u' -> unicode();
            default -> throw bad("an unknown escape");
        };
    }

    private char unicode() {
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(peek(), 16);
            if (digit < 0) {
                throw bad("a faulty escape");
            }
            code = code * 16 + digit;
            at++;
        }
        return (char) code;
    }

    private Double number() {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        try {
            return Double.valueOf(text.substring(from, at));
        } catch (NumberFormatException e) {
            throw bad("no number");
        }
    }

    private boolean word(String word) {
        boolean found = text.startsWith(word, at);
        at += found ? word.length() : 0;
        return found;
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private void expect(char c) {
        if (peek() != c) {
            throw bad("'" + c + "' is missing");
        }
        at++;
    }

    private char peek() {
        if (at >= text.length()) {
            throw bad("the text ends early");
        }
        return text.charAt(at);
    }

    private IllegalArgumentException bad(String why) {
        return new IllegalArgumentException(why + " at character " + at);
    }
}
