package clayhook.protocol;

import java.util.Map;

/** A statement on its way to a node, as the connection that carries it must know it. */
public interface OutboundStatement {
    /** The text to send to a node that will be waited for so long, in seconds. */
    byte[] textWithTimeout(double seconds);

    /** Its answer may have any columns, rows and results, and an error of the database is an answer too. */
    default boolean hasFreeFormResult() {
        return false;
    }

    /** Settings that the connection must have been given: names and values as text of SQL. */
    default Map<String, String> settings() {
        return Map.of();
    }

    /** It may leave something behind in the session that runs it, which then serves no other. */
    default boolean mayChangeSession() {
        return false;
    }
}
