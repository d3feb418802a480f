package clayhook.statements;

import java.util.List;
import java.util.Map;

/**
 * The facts that hold for all statements of a shape.
 *
 * @param verdict whether the shape is a proven read, a possible write, or refused
 * @param reason the part of the shape that determined the verdict
 * @param kind the first word in lower case
 * @param relations the relations that it reads or writes, as written, without the names defined by its WITH clauses
 * @param functions the functions that it calls, as written
 * @param literalPositions the positions of literals by column, for columns compared with one literal in a conjunction
 *     and for columns to which an INSERT assigns a literal
 * @param insertsRows whether it is an INSERT with rows of values, so that each row has its own literals
 * @param work the estimated work for a node as a multiple of reading one row
 * @param mayChangeSession whether it may change the state of the database session in which a node runs it
 */
record ShapeFacts(
        StatementEffect verdict,
        String reason,
        String kind,
        List<String> relations,
        List<String> functions,
        Map<String, LiteralPosition> literalPositions,
        boolean insertsRows,
        double work,
        boolean mayChangeSession) {

    /**
     * The position of a literal in a shape.
     *
     * @param token the index of the placeholder token in the shape
     * @param element the index within the list behind the placeholder; 0 for a single literal
     * @param width the number of elements that the list must have
     */
    record LiteralPosition(int token, int element, int width) {}

    /** The facts of a shape that was not parsed. */
    static ShapeFacts unanalyzed(StatementEffect verdict, String reason, String kind, boolean mayChangeSession) {
        return new ShapeFacts(verdict, reason, kind, List.of(), List.of(), Map.of(), false, 1, mayChangeSession);
    }

    /** The same facts for a shape that turned out to be a write, with unknown effects on the session. */
    ShapeFacts asWrite(String reason) {
        return new ShapeFacts(
                StatementEffect.WRITE, reason, kind, relations, functions, literalPositions, insertsRows, work, true);
    }

    /** The estimated size in bytes, for the bound of the cache. */
    int weight() {
        int nameLength = relations.stream().mapToInt(String::length).sum()
                + functions.stream().mapToInt(String::length).sum();
        return 200 + nameLength + 64 * (relations.size() + functions.size()) + 120 * literalPositions.size();
    }
}
