package clayhook.statements;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One rule of the operator: which statements it is for, and what they get. An empty set or null asks for nothing.
 *
 * @param verdict reads or writes; a rule never changes which of them a statement is
 * @param kinds first words, as {@code select} or {@code insert}
 * @param relations the statement names one of them at least; with a schema only that one, else in any schema
 * @param only the statement names no others
 * @param functions it calls one of them at least
 * @param shape its fingerprint
 * @param user a pattern for the client's user, with * for any text; as are the next two
 * @param costFrom it is expected to take this long at least, in seconds
 * @param costTo and less than this
 * @param group the command group that it gets
 * @param timeout seconds that its client waits; 0 for the command group's own
 * @param mark the column by whose literal nodes drop repeats; the rule is only for statements that have one, once
 * @param nodes where it goes; null for the default
 */
public record Rule(
        String name,
        StatementEffect verdict,
        Set<String> kinds,
        Set<String> relations,
        Set<String> only,
        Set<String> functions,
        String shape,
        Pattern user,
        Pattern database,
        Pattern application,
        double costFrom,
        double costTo,
        String group,
        double timeout,
        String mark,
        Placement nodes) {

    /**
     * Which group of nodes.
     *
     * @param column its literal decides, by hash; null where there is one group only
     * @param groups the groups of nodes
     */
    public record Placement(String column, List<Integer> groups) {}

    /** A pattern in which * stands for any text. */
    public static Pattern glob(String text) {
        return Pattern.compile(Pattern.quote(text).replace("*", "\\E.*\\Q"), Pattern.DOTALL);
    }

    boolean matches(ShapeFacts facts, String fingerprint, double cost, ClientIdentity client) {
        return facts.verdict() == verdict
                && (kinds.isEmpty() || kinds.contains(facts.kind()))
                && (relations.isEmpty() || facts.relations().stream().anyMatch(name -> names(relations, name)))
                && (only.isEmpty()
                        || (!facts.relations().isEmpty()
                                && facts.relations().stream().allMatch(name -> names(only, name))))
                && (functions.isEmpty() || facts.functions().stream().anyMatch(functions::contains))
                && (shape == null || shape.equals(fingerprint))
                && fits(user, client.user())
                && fits(database, client.database())
                && fits(application, client.application())
                && cost >= costFrom
                && cost < costTo;
    }

    private static boolean fits(Pattern pattern, String text) {
        return pattern == null || pattern.matcher(text).matches();
    }

    private static boolean names(Set<String> listed, String relation) {
        return listed.contains(relation) || listed.contains(relation.substring(relation.lastIndexOf('.') + 1));
    }
}
