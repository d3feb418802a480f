package clayhook.statements;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A rule of the operator: the conditions on a statement and the routing of the statements that meet all of them. An
 * empty set or null is no condition.
 *
 * @param verdict the verdict that the rule applies to, read or write; a rule never changes the verdict
 * @param kinds accepted first words in lower case, for example {@code select} or {@code insert}
 * @param relations the statement must name at least one of these; a name without a schema matches in any schema
 * @param onlyRelations the statement must name at least one relation, and none but these
 * @param functions the statement must call at least one of these
 * @param shape the required fingerprint of the shape
 * @param user a pattern for the user name of the client
 * @param database a pattern for the database of the client
 * @param application a pattern for the application_name of the client
 * @param minCost the lower bound of the expected cost in seconds, inclusive
 * @param maxCost the upper bound of the expected cost in seconds, exclusive
 * @param requestClass the request class that the rule assigns
 * @param timeoutSeconds the client timeout in seconds; 0 for the timeout of the request class
 * @param outcomeKeyColumn the column whose literal is the outcome key, by which nodes discard duplicates; the rule then
 *     matches only statements with exactly one such literal; null for none
 * @param placement how the rule selects the replica set; null for the default replica set
 */
public record Rule(
        String name,
        StatementEffect verdict,
        Set<String> kinds,
        Set<String> relations,
        Set<String> onlyRelations,
        Set<String> functions,
        String shape,
        Pattern user,
        Pattern database,
        Pattern application,
        double minCost,
        double maxCost,
        String requestClass,
        double timeoutSeconds,
        String outcomeKeyColumn,
        Placement placement) {

    /**
     * The replica sets that a rule chooses from.
     *
     * @param column the column whose literal selects the replica set by its hash; null if there is only one
     * @param replicaSetIds the ids of the replica sets
     */
    public record Placement(String column, List<Integer> replicaSetIds) {}

    /** Compiles a pattern in which * matches any text. */
    public static Pattern glob(String text) {
        return Pattern.compile(Pattern.quote(text).replace("*", "\\E.*\\Q"), Pattern.DOTALL);
    }

    /** Whether a statement meets all conditions except that for the outcome key. */
    boolean matches(ShapeFacts facts, String fingerprint, double cost, ClientIdentity client) {
        return facts.verdict() == verdict
                && (kinds.isEmpty() || kinds.contains(facts.kind()))
                && (relations.isEmpty()
                        || facts.relations().stream().anyMatch(name -> containsRelation(relations, name)))
                && (onlyRelations.isEmpty()
                        || (!facts.relations().isEmpty()
                                && facts.relations().stream().allMatch(name -> containsRelation(onlyRelations, name))))
                && (functions.isEmpty() || facts.functions().stream().anyMatch(functions::contains))
                && (shape == null || shape.equals(fingerprint))
                && matchesPattern(user, client.user())
                && matchesPattern(database, client.database())
                && matchesPattern(application, client.application())
                && cost >= minCost
                && cost < maxCost;
    }

    private static boolean matchesPattern(Pattern pattern, String text) {
        return pattern == null || pattern.matcher(text).matches();
    }

    private static boolean containsRelation(Set<String> listed, String relation) {
        return listed.contains(relation) || listed.contains(relation.substring(relation.lastIndexOf('.') + 1));
    }
}
