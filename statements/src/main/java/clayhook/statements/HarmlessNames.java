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
 * The functions, types, operators and relations whose use has no side effects: those of PostgreSQL, from its public
 * documentation, and those that the operator configures. Functions, types and operators that are not listed may have
 * any side effect; relations have none unless listed.
 */
final class HarmlessNames {
    private static final String CATALOG_PREFIX = "pg_catalog.";
    private static final Set<String> FUNCTIONS = readNames("functions.txt");
    private static final Set<String> TYPES = readNames("types.txt");
    /** Operators from the chapter "Functions and Operators" of the PostgreSQL documentation. */
    private static final Set<String> OPERATORS = Set.of(
            "+", "-", "*", "/", "%", "^", "=", "<", ">", "<=", ">=", "<>", "!=", "||", "|/", "||/", "@", "&", "|", "#",
            "~", "<<", ">>", "~~", "~~*", "!~~", "!~~*", "~*", "!~", "!~*", "^@", "->", "->>", "#>", "#>>", "@>", "<@",
            "?", "?|", "?&", "#-", "@?", "@@", "@@@", "&&", "-|-", "&<", "&>", "<->", "<<|", "|>>", "&<|", "|&>", "<^",
            ">^", "?#", "?-", "?-|", "?||", "@-@", "##", "<<=", ">>=", "!!", "~=", "*<", "*>", "*=", "*<>", "*<=",
            "*>=");
    /** Functions that change the state of the connection on which they run, so that later statements depend on it. */
    static final Set<String> CONNECTION_BOUND_FUNCTIONS = Set.of(
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
    /** Aggregate functions, which read all rows of their group. Used only for the cost estimate. */
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
        functions.addAll(rules.harmlessFunctions());
        types = new HashSet<>(TYPES);
        types.addAll(rules.harmlessTypes());
        this.rules = rules;
    }

    /** Whether the function at most changes data. An unlisted function may also change the session that runs it. */
    boolean leavesSessionUnchanged(String name) {
        return isHarmlessFunction(name) || rules.dataChangingFunctions().contains(name);
    }

    /** Whether the function has no side effects. */
    boolean isHarmlessFunction(String name) {
        String unqualified = name.startsWith(CATALOG_PREFIX) ? name.substring(CATALOG_PREFIX.length()) : name;
        // A qualified name is unambiguous, so a function of the database with the same name is irrelevant.
        return unqualified.equals(name)
                ? functions.contains(name) && !rules.otherFunctions().contains(name)
                : FUNCTIONS.contains(unqualified);
    }

    /** Whether a column reference with this name may call a function that the database defines. */
    boolean mayBeFunction(String column) {
        return rules.otherFunctions().contains(column);
    }

    /** Whether the input conversion of the type has no side effects. */
    boolean isHarmlessType(String name) {
        return types.contains(name.startsWith(CATALOG_PREFIX) ? name.substring(CATALOG_PREFIX.length()) : name);
    }

    boolean isHarmlessOperator(String name) {
        return OPERATORS.contains(name);
    }

    /** Whether reading the relation has no side effects. */
    boolean isHarmlessRelation(String name) {
        return !rules.relationsThatWrite().contains(name)
                && !rules.relationsThatWrite().contains(name.substring(name.lastIndexOf('.') + 1));
    }

    private static Set<String> readNames(String resource) {
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
