package clayhook.statements;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Names that are known to change nothing: PostgreSQL's own, from its public documentation, and what the operator adds.
 * A name that is in no list is one that may do anything.
 */
final class HarmlessNames {
    private static final String CATALOG = "pg_catalog.";
    private static final Set<String> FUNCTIONS = lines("functions.txt");
    private static final Set<String> TYPES = lines("types.txt");
    /** Operators of the chapter "Functions and Operators". */
    private static final Set<String> OPERATORS = Set.of(
            "+", "-", "*", "/", "%", "^", "=", "<", ">", "<=", ">=", "<>", "!=", "||", "|/", "||/", "@", "&", "|", "#",
            "~", "<<", ">>", "~~", "~~*", "!~~", "!~~*", "~*", "!~", "!~*", "^@", "->", "->>", "#>", "#>>", "@>", "<@",
            "?", "?|", "?&", "#-", "@?", "@@", "@@@", "&&", "-|-", "&<", "&>", "<->", "<<|", "|>>", "&<|", "|&>", "<^",
            ">^", "?#", "?-", "?-|", "?||", "@-@", "##", "<<=", ">>=", "!!", "~=", "*<", "*>", "*=", "*<>", "*<=",
            "*>=");
    /** They bind what follows to the connection that ran them. */
    static final Set<String> BINDING = Set.of(
            "pg_advisory_lock",
            "pg_advisory_lock_shared",
            "pg_try_advisory_lock",
            "pg_try_advisory_lock_shared",
            "pg_advisory_unlock",
            "pg_advisory_unlock_shared",
            "pg_advisory_unlock_all",
            "set_config",
            "setseed",
            "lo_open",
            "dblink_connect",
            "dblink_connect_u");
    /** They read all rows of their group; for the cost alone. */
    static final Set<String> AGGREGATES = Set.of(
            "count",
            "sum",
            "avg",
            "min",
            "max",
            "array_agg",
            "string_agg",
            "json_agg",
            "jsonb_agg",
            "bool_and",
            "bool_or",
            "every",
            "stddev",
            "variance",
            "percentile_cont",
            "percentile_disc",
            "mode",
            "corr",
            "regr_slope");

    private final Set<String> functions;
    private final Set<String> types;
    private final StatementRules rules;

    HarmlessNames(StatementRules rules) {
        functions = new HashSet<>(FUNCTIONS);
        functions.addAll(rules.reads());
        types = new HashSet<>(TYPES);
        types.addAll(rules.types());
        this.rules = rules;
    }

    /** It changes data at the most; what is known of no function may change the session that runs it, too. */
    boolean leavesNothingBehind(String name) {
        return function(name) || rules.writes().contains(name);
    }

    boolean function(String name) {
        String plain = name.startsWith(CATALOG) ? name.substring(CATALOG.length()) : name;
        // A name with its schema says which one is meant, so that another of the same name does no harm.
        return plain.equals(name) ? functions.contains(name) && !rules.own().contains(name) : FUNCTIONS.contains(plain);
    }

    /** A column in this place may be a function of that name. */
    boolean mayBeFunction(String column) {
        return rules.own().contains(column);
    }

    boolean type(String name) {
        return types.contains(name.startsWith(CATALOG) ? name.substring(CATALOG.length()) : name);
    }

    boolean operator(String name) {
        return OPERATORS.contains(name);
    }

    boolean relation(String name) {
        return !rules.relationsThatWrite().contains(name)
                && !rules.relationsThatWrite().contains(name.substring(name.lastIndexOf('.') + 1));
    }

    private static Set<String> lines(String resource) {
        try (var in = new BufferedReader(
                new InputStreamReader(HarmlessNames.class.getResourceAsStream(resource), StandardCharsets.UTF_8))) {
            return in.lines()
                    .filter(line -> !line.startsWith("#"))
                    .flatMap(line -> Arrays.stream(line.split(" ")))
                    .filter(name -> !name.isEmpty())
                    .collect(Collectors.toUnmodifiableSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
