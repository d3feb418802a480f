package clayhook.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Routing rules as one text that is the same however the operator laid them out: TOML that the usual reader
 * understands, keys in order, no comments. Only what routes can be in it: nothing that touches the five rules, nor what
 * tells reads from writes.
 *
 * @param hash 128 bits of the text in hexadecimal; the name of the set. No seal: whoever may write the file is trusted
 */
public record RuleSet(String text, String hash) {
    /** Bytes of a text. */
    public static final int MAX_BYTES = 256 * 1024;
    /** Of {@code [statements]}: where statements go that no rule matches. */
    private static final Set<String> DEFAULT_KEYS = Set.of("read_group", "write_group", "nodes", "timeout");
    /** Of {@code [[statements.rule]]}; none of them makes a read of what may write. */
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

    /** Names that text. */
    public static RuleSet of(String text) {
        return new RuleSet(text, TextChunk.contentHash(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * The canonical form of tables as a TOML reader gives them: texts, whole and real numbers, truths and lists of
     * these.
     *
     * @param defaults the keys of {@code [statements]} that are staged with the rules
     * @param rules in their order, as the first that matches wins
     * @param faults gets whatever cannot be staged, with its key
     * @return null where there are faults
     */
    public static RuleSet of(
            Map<String, ?> defaults, List<? extends Map<String, ?>> rules, List<RolloutProblem> faults) {
        int before = faults.size();
        var out = new StringBuilder("[statements]\n");
        appendTable(defaults, DEFAULT_KEYS, "", out, faults);
        for (int i = 0; i < rules.size(); i++) {
            out.append("[[statements.rule]]\n");
            appendTable(rules.get(i), RULE_KEYS, "rule[" + i + "].", out, faults);
        }
        String text = out.toString();
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            faults.add(new RolloutProblem("rule", "the rules must have at most " + MAX_BYTES + " bytes"));
        }
        return faults.size() > before ? null : of(text);
    }

    private static void appendTable(
            Map<String, ?> table, Set<String> known, String prefix, StringBuilder out, List<RolloutProblem> faults) {
        new TreeMap<>(table).forEach((key, value) -> {
            String text = known.contains(key) ? format(value) : null;
            if (!known.contains(key)) {
                faults.add(new RolloutProblem(prefix + key, "can't be staged"));
            } else if (text == null) {
                faults.add(
                        new RolloutProblem(prefix + key, "must be a text, a number, true, false, or a list of these"));
            } else {
                out.append(key).append(" = ").append(text).append('\n');
            }
        });
    }

    /** Null for what none of the keys can hold. */
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
            } else if (c < ' ' || c == 127) {
                out.append(String.format("\\u%04X", c));
            } else {
                out.append((char) c);
            }
        });
        return out.append('"').toString();
    }
}
