package clayhook.statements;

import clayhook.statements.Sql.ColumnNameContext;
import clayhook.statements.Sql.FunctionCallContext;
import clayhook.statements.Sql.NameContext;
import clayhook.statements.Sql.QnameContext;
import clayhook.statements.Sql.ReferenceContext;
import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/** Normalizes identifiers as the server does: folded to lower case unless quoted, and truncated to 63 bytes. */
final class IdentifierRules {
    /** The longest identifier in bytes: NAMEDATALEN of the PostgreSQL documentation, minus one. */
    private static final int MAX_BYTES = 63;

    private IdentifierRules() {}

    /** The parts of a qualified name joined by dots; a part that contains a dot is quoted to keep it a single part. */
    static String normalize(QnameContext name) {
        return normalizeParts(name);
    }

    /** The same for a name in an expression, without the star of {@code t.*}. */
    static String normalize(ReferenceContext name) {
        return normalizeParts(name);
    }

    /** The normalized form of the function of a call, whose name ends before the arguments. */
    static String normalize(FunctionCallContext call) {
        return normalizeParts(call);
    }

    /** Joins the names among the children: a name is a rule of a single token, or a token that is no dot or star. */
    private static String normalizeParts(ParserRuleContext name) {
        var joined = new StringJoiner(".");
        for (ParseTree child : name.children) {
            Token token = nameToken(child);
            if (token != null) {
                String part = normalize(token);
                joined.add(part.indexOf('.') < 0 ? part : '"' + part + '"');
            }
        }
        return joined.toString();
    }

    /** The token of a name; null for a child that is none. */
    private static Token nameToken(ParseTree child) {
        if (child instanceof NameContext || child instanceof ColumnNameContext) {
            return ((ParserRuleContext) child).getStart();
        }
        Token token = child instanceof TerminalNode leaf ? leaf.getSymbol() : null;
        return token != null && (token.getType() == Sql.WORD || token.getType() == Sql.QUOTED) ? token : null;
    }

    /** The last name of a reference, normalized: that of the column, or of the row before a star. */
    static String lastName(ReferenceContext reference) {
        for (int i = reference.getChildCount() - 1; i >= 0; i--) {
            Token token = nameToken(reference.getChild(i));
            if (token != null) {
                return normalize(token);
            }
        }
        throw new IllegalArgumentException("a reference without a name");
    }

    /** The normalized form of an unqualified name. */
    static String normalize(NameContext name) {
        return normalize(name.getStart());
    }

    /** The normalized form of the token of a name. */
    static String normalize(Token name) {
        return name.getType() == Sql.QUOTED ? unquote(name.getText()) : truncate(fold(name.getText()));
    }

    /** Folds ASCII letters to lower case. */
    static String fold(String word) {
        StringBuilder folded = null;
        for (int i = 0; i < word.length(); i++) {
            char c = word.charAt(i);
            if (c >= 'A' && c <= 'Z') {
                folded = folded == null ? new StringBuilder(word) : folded;
                folded.setCharAt(i, (char) (c | 0x20));
            }
        }
        return folded == null ? word : folded.toString();
    }

    /** Removes the quotes of a quoted name, and resolves Unicode escapes if it begins with U&amp;. */
    static String unquote(String text) {
        int open = text.indexOf('"');
        String inner = text.substring(open + 1, text.length() - 1).replace("\"\"", "\"");
        return truncate(open == 0 ? inner : unescape(inner));
    }

    /** Returns a name with an invalid escape unchanged: no list contains a name with a backslash. */
    private static String unescape(String name) {
        var out = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c != '\\') {
                out.append(c);
            } else if (i + 1 < name.length() && name.charAt(i + 1) == '\\') {
                out.append(c);
                i++;
            } else {
                boolean sixDigits = i + 1 < name.length() && name.charAt(i + 1) == '+';
                int from = i + (sixDigits ? 2 : 1);
                int to = from + (sixDigits ? 6 : 4);
                int point = to <= name.length() ? parseCodePoint(name.substring(from, to)) : -1;
                if (point < 0) {
                    return name;
                }
                out.appendCodePoint(point);
                i = to - 1;
            }
        }
        return out.toString();
    }

    /** Parses hexadecimal digits as a Unicode code point; -1 if they are invalid. */
    private static int parseCodePoint(String digits) {
        int value = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            int digit = Character.digit(c, 16);
            if (digit < 0 || c > 'f') {
                return -1;
            }
            value = 16 * value + digit;
        }
        return value <= Character.MAX_CODE_POINT ? value : -1;
    }

    private static String truncate(String name) {
        if (3 * name.length() <= MAX_BYTES) {
            return name;
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int end = Math.min(bytes.length, MAX_BYTES);
        while (end < bytes.length && end > 0 && (bytes[end] & 0xc0) == 0x80) {
            end--;
        }
        return end == bytes.length ? name : new String(bytes, 0, end, StandardCharsets.UTF_8);
    }
}
