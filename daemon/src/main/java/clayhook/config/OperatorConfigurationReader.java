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

/** Reads the operator's file, a TOML file. {@code deploy/clayhook.toml} lists every key with its default. */
public final class OperatorConfigurationReader {
    /** The upper bound of timeouts and of the lower cost limit of a rule. */
    private static final double SECONDS_PER_DAY = 86_400;

    private static final int DEFAULT_MAX_ANSWER_BYTES = 1 << 20;

    private OperatorConfigurationReader() {}

    /**
     * Reads and validates a file.
     *
     * @param requestClasses the request classes that the file may name; null to accept any name
     * @throws ConfigurationException if the file is invalid; the message names file, line and key
     */
    public static OperatorConfiguration read(Path file, List<RequestClass> requestClasses)
            throws ConfigurationException {
        return read(TomlSection.read(file), requestClasses);
    }

    /**
     * Reads the settings of statements even if they are disabled, for tools that serve no clients.
     *
     * @throws ConfigurationException if the file is invalid; the message names file, line and key
     */
    public static OperatorConfiguration.StatementSettings readStatements(Path file) throws ConfigurationException {
        TomlSection toml = TomlSection.read(file);
        read(toml, null); // validates the whole file
        return readStatements(toml.getTable("statements"), new RequestClassValidator(null));
    }

    private static OperatorConfiguration read(TomlSection toml, List<RequestClass> requestClasses)
            throws ConfigurationException {
        TomlSection nodes = toml.getTable("nodes");
        String user = nodes.getString("user", OperatorConfiguration.DEFAULTS.user());
        String database = nodes.getString("database", OperatorConfiguration.DEFAULTS.database());
        TomlSection table = toml.getTable("statements");
        boolean statementsEnabled = table.getBoolean("enabled", false);
        OperatorConfiguration.StatementSettings statements =
                readStatements(table, new RequestClassValidator(statementsEnabled ? requestClasses : null));
        TomlSection sharing = toml.getTable("sharing");
        boolean sharingEnabled = sharing.getBoolean("enabled", false);
        SharingSettings sharingSettings = SharingSettings.read(sharing);
        toml.rejectUnknownKeys();
        return new OperatorConfiguration(
                statementsEnabled ? statements : null, user, database, sharingEnabled ? sharingSettings : null);
    }

    private static OperatorConfiguration.StatementSettings readStatements(
            TomlSection table, RequestClassValidator validator) throws ConfigurationException {
        StatementRules defaults = StatementRules.DEFAULT;
        TomlSection database = table.getTable("database");
        String readGroup = table.getString("read_group", defaults.readRequestClass());
        String writeGroup = table.getString("write_group", defaults.writeRequestClass());
        validator.validate(table, "read_group", false, false, readGroup);
        validator.validate(table, "write_group", true, false, writeGroup);
        var rules = new ArrayList<Rule>();
        for (TomlSection rule : table.getTables("rule")) {
            rules.add(readRule(rule, validator, rules.size() + 1));
        }
        var statementRules = new StatementRules(
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
                table.getInt("nodes", defaults.replicaSetId(), 0, Integer.MAX_VALUE));
        return new OperatorConfiguration.StatementSettings(
                statementRules,
                table.getBoolean("trust_comments", false),
                table.getNumber("timeout", 0, 0, SECONDS_PER_DAY),
                table.getInt("answer_bytes", DEFAULT_MAX_ANSWER_BYTES, 1024, 1 << 28));
    }

    private static Rule readRule(TomlSection rule, RequestClassValidator validator, int number)
            throws ConfigurationException {
        rule.getRequiredString("class");
        boolean writes = rule.getChoice("class", null, Set.of("read", "write")).equals("write");
        String outcomeKey = rule.getString("mark", null);
        if (outcomeKey != null && !writes) {
            throw rule.invalid("mark", "is for rules on writes");
        }
        String requestClass = rule.getRequiredString("group");
        validator.validate(rule, "group", writes, outcomeKey != null, requestClass);
        double minCost = rule.getNumber("cost_from", 0, 0, SECONDS_PER_DAY);
        double maxCost = rule.getNumber("cost_to", Double.MAX_VALUE, minCost, Double.MAX_VALUE);
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
                minCost,
                maxCost,
                requestClass,
                rule.getNumber("timeout", 0, 0, SECONDS_PER_DAY),
                outcomeKey,
                readPlacement(rule));
    }

    private static Pattern readPattern(TomlSection rule, String key) throws ConfigurationException {
        String text = rule.getString(key, null);
        return text == null ? null : Rule.glob(text);
    }

    private static Placement readPlacement(TomlSection rule) throws ConfigurationException {
        String column = rule.getString("nodes_by", null);
        List<Integer> replicaSetIds = rule.getIntList("nodes");
        if (column != null && replicaSetIds.isEmpty()) {
            throw rule.invalid("nodes_by", "needs nodes, the list of groups");
        } else if (column == null && replicaSetIds.size() > 1) {
            throw rule.invalid("nodes", "several groups need nodes_by, the column that tells which");
        }
        return replicaSetIds.isEmpty() ? null : new Placement(column, replicaSetIds);
    }
}
