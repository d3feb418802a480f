package clayhook.statements;

import java.util.List;
import java.util.Map;

/**
 * What a shape says of every statement that has it.
 *
 * @param verdict what it may do, as far as that is proven
 * @param why the part that decided
 * @param kind its first word, in lower case
 * @param relations those it reads or writes, as written, without the names that its own WITH gives
 * @param functions those it calls, as written
 * @param keys where the literal of a column stands, for columns compared with one literal in a conjunction, and for
 *     those that an INSERT gives values
 * @param inserts the values stand in rows, each of which has its own
 * @param work how much more it asks of a node than reading one row; without unit
 * @param opaque it may leave something behind in the session of the node that ran it
 */
record ShapeFacts(
        StatementEffect verdict,
        String why,
        String kind,
        List<String> relations,
        List<String> functions,
        Map<String, Place> keys,
        boolean inserts,
        double work,
        boolean opaque) {

    /** An element of the literal, or list of them, that a token of the shape stands for. */
    record Place(int token, int element, int width) {}

    static ShapeFacts unread(StatementEffect verdict, String why, String kind, boolean opaque) {
        return new ShapeFacts(verdict, why, kind, List.of(), List.of(), Map.of(), false, 1, opaque);
    }

    /** The same of what turned out to write, in a way that is not known. */
    ShapeFacts butWrites(String reason) {
        return new ShapeFacts(StatementEffect.WRITE, reason, kind, relations, functions, keys, inserts, work, true);
    }

    /** Bytes that it takes, roughly: for the bound of the cache. */
    int weight() {
        int names = relations.stream().mapToInt(String::length).sum()
                + functions.stream().mapToInt(String::length).sum();
        return 200 + names + 64 * (relations.size() + functions.size()) + 120 * keys.size();
    }
}
