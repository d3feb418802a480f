package clayhook.statements;

import java.util.List;
import java.util.Set;

/**
 * What the operator says of statements.
 *
 * @param conforming the nodes' standard_conforming_strings
 * @param reads functions of the database that are known to change nothing
 * @param writes those that change data and nothing else: no setting, lock or other trace in the session that runs them
 * @param own the other functions that the database defines
 * @param types types of the database whose input changes nothing
 * @param relationsThatWrite views and foreign tables whose reading may change something
 * @param cacheBytes bound of the shapes kept
 * @param parseBudget tokens of new shapes that are read in one turn of the loop
 * @param refusePast past the budget a statement is turned away; else it is sent on as a write
 * @param rules the first that matches wins
 * @param readGroup command group of reads that no rule matches
 * @param writeGroup the same of writes
 * @param nodes the group of nodes where no rule says otherwise
 */
public record StatementRules(
        boolean conforming,
        Set<String> reads,
        Set<String> writes,
        Set<String> own,
        Set<String> types,
        Set<String> relationsThatWrite,
        long cacheBytes,
        int parseBudget,
        boolean refusePast,
        List<Rule> rules,
        String readGroup,
        String writeGroup,
        int nodes) {

    /** A few megabytes hold some thousand shapes; a turn's budget is some milliseconds of reading. */
    public static final long CACHE_BYTES = 4 << 20;

    public static final int PARSE_BUDGET = 2000;

    /** Without a file: no rules, PostgreSQL's own functions alone. */
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
