package clayhook.config;

import clayhook.RequestClass;
import clayhook.statements.Rule;
import clayhook.statements.Rule.Placement;
import clayhook.statements.StatementEffect;
import clayhook.statements.StatementRules;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the operator's file; {@code deploy/clayhook.toml} holds every key with its default. */
public final class OperatorConfigurationReader {
    /** Seconds; longer than any statement is waited for. */
    private static final double SECONDS_PER_DAY = 86_400;

    private static final int DEFAULT_MAX_ANSWER_BYTES = 1 << 20;

    private OperatorConfigurationReader() {}

    /**
     * {@code groups} are the command groups there are; null where any name will do. Throws BadConfig naming the place.
     */
    public static OperatorConfiguration read(Path file, List<RequestClass> groups) throws ConfigurationException {
        return read(TomlSection.read(file), groups);
    }

    /** What it says of statements, on or not, for tools that do not serve. Throws BadConfig naming the place. */
    public static OperatorConfiguration.StatementSettings readStatements(Path file) throws ConfigurationException {
        TomlSection toml = TomlSection.read(file);
        read(toml, null);
        return readStatements(toml.getTable("statements"), null);
    }

    private static OperatorConfiguration read(TomlSection toml, List<RequestClass> groups)
            throws ConfigurationException {
        TomlSection nodes = toml.getTable("nodes");
        String user = nodes.getString("user", OperatorConfiguration.DEFAULTS.user());
        String database = nodes.getString("database", OperatorConfiguration.DEFAULTS.database());
        TomlSection table = toml.getTable("statements");
        boolean on = table.getBoolean("enabled", false);
        OperatorConfiguration.StatementSettings statements = readStatements(table, on ? groups : null);
        TomlSection sharing = toml.getTable("sharing");
        boolean shares = sharing.getBoolean("enabled", false);
        SharingSettings shared = SharingSettings.read(sharing);
        toml.rejectUnknownKeys();
        return new OperatorConfiguration(on ? statements : null, user, database, shares ? shared : null);
    }

    private static OperatorConfiguration.StatementSettings readStatements(TomlSection table, List<RequestClass> groups)
            throws ConfigurationException {
        StatementRules defaults = StatementRules.DEFAULT;
        TomlSection database = table.getTable("database");
        String readGroup = table.getString("read_group", defaults.readGroup());
        String writeGroup = table.getString("write_group", defaults.writeGroup());
        OperatorConfiguration.RequestClassValidator.forClasses(groups, table)
                .validate("read_group", false, false, readGroup);
        OperatorConfiguration.RequestClassValidator.forClasses(groups, table)
                .validate("write_group", true, false, writeGroup);
        var rules = new ArrayList<Rule>();
        for (TomlSection rule : table.getTables("rule")) {
            rules.add(readRule(rule, groups, rules.size() + 1));
        }
        var read = new StatementRules(
                table.getBoolean("standard_conforming_strings", true),
                database.getStringSet("reads"),
                database.getStringSet("writes"),
                database.getStringSet("functions"),
                database.getStringSet("types"),
                database.getStringSet("relations_that_write"),
                table.getInt("cache_bytes", (int) defaults.cacheBytes(), 1 << 16, 1 << 30),
                table.getInt("parse_budget", defaults.parseBudget(), 100, 1_000_000),
                table.getChoice("past_budget", "write", Set.of("write", "refuse"))
                        .equals("refuse"),
                List.copyOf(rules),
                readGroup,
                writeGroup,
                table.getInt("nodes", defaults.nodes(), 0, Integer.MAX_VALUE));
        return new OperatorConfiguration.StatementSettings(
                read,
                table.getBoolean("trust_comments", false),
                table.getNumber("timeout", 0, 0, SECONDS_PER_DAY),
                table.getInt("answer_bytes", DEFAULT_MAX_ANSWER_BYTES, 1024, 1 << 28));
    }

    private static Rule readRule(TomlSection rule, List<RequestClass> groups, int number)
            throws ConfigurationException {
        rule.getRequiredString("class");
        boolean writes = rule.getChoice("class", null, Set.of("read", "write")).equals("write");
        String mark = rule.getString("mark", null);
        if (mark != null && !writes) {
            throw rule.invalid("mark", "is for rules on writes");
        }
        String group = rule.getRequiredString("group");
        OperatorConfiguration.RequestClassValidator.forClasses(groups, rule)
                .validate("group", writes, mark != null, group);
        double from = rule.getNumber("cost_from", 0, 0, SECONDS_PER_DAY);
        double to = rule.getNumber("cost_to", Double.MAX_VALUE, from, Double.MAX_VALUE);
        return new Rule(
                rule.getString("name", "rule " + number),
                writes ? StatementEffect.WRITE : StatementEffect.READ,
                rule.getStringSet("kinds"),
                rule.getStringSet("relations"),
                rule.getStringSet("only"),
                rule.getStringSet("functions"),
                rule.getString("shape", null),
                readPattern(rule, "user"),
                readPattern(rule, "database"),
                readPattern(rule, "application"),
                from,
                to,
                group,
                rule.getNumber("timeout", 0, 0, SECONDS_PER_DAY),
                mark,
                readPlacement(rule));
    }

    private static Pattern readPattern(TomlSection rule, String key) throws ConfigurationException {
        String text = rule.getString(key, null);
        return text == null ? null : Rule.glob(text);
    }

    private static Placement readPlacement(TomlSection rule) throws ConfigurationException {
        String column = rule.getString("nodes_by", null);
        List<Integer> groups = rule.getIntList("nodes");
        if (column != null && groups.isEmpty()) {
            throw rule.invalid("nodes_by", "needs nodes, the list of groups");
        } else if (column == null && groups.size() > 1) {
            throw rule.invalid("nodes", "several groups need nodes_by, the column that tells which");
        }
        return groups.isEmpty() ? null : new Placement(column, groups);
    }
}
