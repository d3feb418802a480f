package clayhook.config;

import clayhook.RequestClass;
import clayhook.statements.Rule;
import clayhook.statements.Rule.Placement;
import clayhook.statements.StatementRules;
import clayhook.statements.Verdict;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the operator's file; {@code deploy/clayhook.toml} holds every key with its default. */
public final class OperatorFile {
    /** Seconds; longer than any statement is waited for. */
    private static final double DAY = 86_400;

    private static final int LONGEST_ANSWER = 1 << 20;

    private OperatorFile() {}

    /**
     * {@code groups} are the command groups there are; null where any name will do. Throws BadConfig naming the place.
     */
    public static Operator read(Path file, List<RequestClass> groups) throws BadConfig {
        return read(Toml.read(file), groups);
    }

    /** What it says of statements, on or not, for tools that do not serve. Throws BadConfig naming the place. */
    public static Operator.Statements statements(Path file) throws BadConfig {
        Toml toml = Toml.read(file);
        read(toml, null);
        return statements(toml.table("statements"), null);
    }

    private static Operator read(Toml toml, List<RequestClass> groups) throws BadConfig {
        Toml nodes = toml.table("nodes");
        String user = nodes.text("user", Operator.OFF.user());
        String database = nodes.text("database", Operator.OFF.database());
        Toml table = toml.table("statements");
        boolean on = table.flag("enabled", false);
        Operator.Statements statements = statements(table, on ? groups : null);
        Toml sharing = toml.table("sharing");
        boolean shares = sharing.flag("enabled", false);
        SharingSettings shared = SharingSettings.read(sharing);
        toml.nothingElse();
        return new Operator(on ? statements : null, user, database, shares ? shared : null);
    }

    private static Operator.Statements statements(Toml table, List<RequestClass> groups) throws BadConfig {
        StatementRules defaults = StatementRules.DEFAULT;
        Toml database = table.table("database");
        String readGroup = table.text("read_group", defaults.readGroup());
        String writeGroup = table.text("write_group", defaults.writeGroup());
        Operator.GroupCheck.of(groups, table).check("read_group", false, false, readGroup);
        Operator.GroupCheck.of(groups, table).check("write_group", true, false, writeGroup);
        var rules = new ArrayList<Rule>();
        for (Toml rule : table.tables("rule")) {
            rules.add(rule(rule, groups, rules.size() + 1));
        }
        var read = new StatementRules(
                table.flag("standard_conforming_strings", true),
                database.texts("reads"),
                database.texts("writes"),
                database.texts("functions"),
                database.texts("types"),
                database.texts("relations_that_write"),
                table.whole("cache_bytes", (int) defaults.cacheBytes(), 1 << 16, 1 << 30),
                table.whole("parse_budget", defaults.parseBudget(), 100, 1_000_000),
                table.word("past_budget", "write", Set.of("write", "refuse")).equals("refuse"),
                List.copyOf(rules),
                readGroup,
                writeGroup,
                table.whole("nodes", defaults.nodes(), 0, Integer.MAX_VALUE));
        return new Operator.Statements(
                read,
                table.flag("trust_comments", false),
                table.number("timeout", 0, 0, DAY),
                table.whole("answer_bytes", LONGEST_ANSWER, 1024, 1 << 28));
    }

    private static Rule rule(Toml rule, List<RequestClass> groups, int number) throws BadConfig {
        rule.needed("class");
        boolean writes = rule.word("class", null, Set.of("read", "write")).equals("write");
        String mark = rule.text("mark", null);
        if (mark != null && !writes) {
            throw rule.fault("mark", "is for rules on writes");
        }
        String group = rule.needed("group");
        Operator.GroupCheck.of(groups, rule).check("group", writes, mark != null, group);
        double from = rule.number("cost_from", 0, 0, DAY);
        double to = rule.number("cost_to", Double.MAX_VALUE, from, Double.MAX_VALUE);
        return new Rule(
                rule.text("name", "rule " + number),
                writes ? Verdict.WRITE : Verdict.READ,
                rule.texts("kinds"),
                rule.texts("relations"),
                rule.texts("only"),
                rule.texts("functions"),
                rule.text("shape", null),
                pattern(rule, "user"),
                pattern(rule, "database"),
                pattern(rule, "application"),
                from,
                to,
                group,
                rule.number("timeout", 0, 0, DAY),
                mark,
                placement(rule));
    }

    private static Pattern pattern(Toml rule, String key) throws BadConfig {
        String text = rule.text(key, null);
        return text == null ? null : Rule.glob(text);
    }

    private static Placement placement(Toml rule) throws BadConfig {
        String column = rule.text("nodes_by", null);
        List<Integer> groups = rule.wholes("nodes");
        if (column != null && groups.isEmpty()) {
            throw rule.fault("nodes_by", "needs nodes, the list of groups");
        } else if (column == null && groups.size() > 1) {
            throw rule.fault("nodes", "several groups need nodes_by, the column that tells which");
        }
        return groups.isEmpty() ? null : new Placement(column, groups);
    }
}
