package clayhook.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Routing rules in a canonical text form that does not depend on the layout of the operator's file: TOML with sorted
 * keys and without comments. A rule set contains routes only. The router's safety rules and the lists that distinguish
 * reads from writes cannot be staged.
 *
 * @param text the canonical TOML text
 * @param hash 128-bit hash of the text in hexadecimal digits, which identifies the rule set. It is not cryptographic,
 *     because everyone who can write the operator's file is trusted
 */
public record RuleSet(String text, String hash) {
    /** Maximum length of the text in UTF-8 bytes. */
    public static final int MAX_BYTES = 256 * 1024;
    /** Keys of {@code [statements]} that define the route of statements that no rule matches. */
    private static final Set<String> DEFAULT_KEYS = Set.of("read_group", "write_group", "nodes", "timeout");
    /**
     * Keys of {@code [[statements.rule]]} that may be staged. None of them can turn a statement that may write into a
     * read.
     */
    private static final Set<String> RULE_KEYS = Set.of(
            "name",
            "class",
            "kinds",
            "relations",
            "only",
            "functions",
            "shape",
            "user",
            "database",
            "application",
            "cost_from",
            "cost_to",
            "group",
            "timeout",
            "mark",
            "nodes_by",
            "nodes");

    private static final int FIRST_PRINTABLE = ' ';
    private static final int DELETE = 127;

    /** The rule set with the given canonical text. */
    public static RuleSet of(String text) {
        return new RuleSet(text, TextChunk.contentHash(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * The rule set of tables as a TOML parser returns them. Values are strings, integers, floats, booleans and lists of
     * these.
     *
     * @param defaults the table {@code [statements]}: the route of statements that no rule matches
     * @param rules the tables {@code [[statements.rule]]} in order; the first rule that matches a statement applies
     * @param problems receives a problem for each key or value that cannot be staged
     * @return the rule set; null if problems were added
     */
    public static RuleSet of(
            Map<String, ?> defaults, List<? extends Map<String, ?>> rules, List<RolloutProblem> problems) {
        int problemsBefore = problems.size();
        var out = new StringBuilder("[statements]\n");
        appendTable(defaults, DEFAULT_KEYS, "", out, problems);
        for (int i = 0; i < rules.size(); i++) {
            out.append("[[statements.rule]]\n");
            appendTable(rules.get(i), RULE_KEYS, "rule[" + i + "].", out, problems);
        }
        String text = out.toString();
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            problems.add(new RolloutProblem("rule", "the rules must have at most " + MAX_BYTES + " bytes"));
        }
        return problems.size() > problemsBefore ? null : of(text);
    }

    private static void appendTable(
            Map<String, ?> table,
            Set<String> allowedKeys,
            String prefix,
            StringBuilder out,
            List<RolloutProblem> problems) {
        new TreeMap<>(table).forEach((key, value) -> {
            if (!allowedKeys.contains(key)) {
                problems.add(new RolloutProblem(prefix + key, "can't be staged"));
                return;
            }
            String text = format(value);
            if (text == null) {
                String message = "must be a text, a number, true, false, or a list of these";
                problems.add(new RolloutProblem(prefix + key, message));
            } else {
                out.append(key).append(" = ").append(text).append('\n');
            }
        });
    }

    /** Formats a value in TOML; returns null for types that no key can have. */
    private static String format(Object value) {
        if (value instanceof String text) {
            return quote(text);
        }
        if (value instanceof Integer || value instanceof Long || value instanceof Boolean) {
            return value.toString();
        }
        if (value instanceof Double number && Double.isFinite(number)) {
            return number.toString();
        }
        if (value instanceof List<?> list) {
            var items = new ArrayList<String>();
            list.forEach(item -> items.add(item instanceof List ? null : format(item)));
            return items.contains(null) ? null : "[" + String.join(", ", items) + "]";
        }
        return null;
    }

    private static String quote(String text) {
        var out = new StringBuilder("\"");
        text.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                out.append('\\').append((char) c);
            } else if (c < FIRST_PRINTABLE || c == DELETE) {
                out.append(String.format("\\u%04X", c));
            } else {
                out.append((char) c);
            }
        });
        return out.append('"').toString();
    }
}
