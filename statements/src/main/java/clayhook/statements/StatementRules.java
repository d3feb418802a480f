package clayhook.statements;

import java.util.List;
import java.util.Set;

/**
 * The operator's configuration of statement classification.
 *
 * @param standardConformingStrings the standard_conforming_strings setting of the nodes
 * @param harmlessFunctions functions defined by the database that change nothing
 * @param dataChangingFunctions functions defined by the database that change data only: no setting, lock or other state
 *     of the session that runs them
 * @param otherFunctions all other functions defined by the database
 * @param harmlessTypes types defined by the database whose input conversion changes nothing
 * @param relationsThatWrite views and foreign tables that may change something when they are read
 * @param cacheBytes the bound of the shape cache in bytes
 * @param parseBudget the number of tokens of new shapes that are parsed in one tick of the event loop
 * @param refuseOverBudget whether statements over the parse budget are refused; otherwise they are classified as writes
 * @param rules the rules, of which the first that matches applies
 * @param readRequestClass the request class of reads that no rule matches
 * @param writeRequestClass the request class of writes that no rule matches
 * @param replicaSetId the id of the replica set of statements to which no rule assigns one
 */
public record StatementRules(
        boolean standardConformingStrings,
        Set<String> harmlessFunctions,
        Set<String> dataChangingFunctions,
        Set<String> otherFunctions,
        Set<String> harmlessTypes,
        Set<String> relationsThatWrite,
        long cacheBytes,
        int parseBudget,
        boolean refuseOverBudget,
        List<Rule> rules,
        String readRequestClass,
        String writeRequestClass,
        int replicaSetId) {

    /** The default bound of the shape cache; a few megabytes hold some thousand shapes. */
    public static final long CACHE_BYTES = 4 << 20;

    /** The default parse budget in tokens; it takes some milliseconds in one tick. */
    public static final int PARSE_BUDGET = 2000;

    /** The configuration without a file: no rules, and only PostgreSQL's own functions are known. */
    public static final StatementRules DEFAULT = new StatementRules(
            true,
            Set.of(),
            Set.of(),
            Set.of(),
            Set.of(),
            Set.of(),
            CACHE_BYTES,
            PARSE_BUDGET,
            false,
            List.of(),
            "read",
            "write",
            1);
}
