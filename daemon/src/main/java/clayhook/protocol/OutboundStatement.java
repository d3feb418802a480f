package clayhook.protocol;

import java.util.Map;

/** A statement on its way to a node, as the connection that carries it must know it. Immutable. */
public interface OutboundStatement {
    /** The text to send to a node whose response will be awaited for so long, in seconds. */
    byte[] textWithTimeout(double seconds);

    /** Whether the response may have any columns, rows and results, and may be an error of the database. */
    default boolean hasFreeFormResult() {
        return false;
    }

    /** The settings that must be made on the connection first: names, and values as SQL text. */
    default Map<String, String> settings() {
        return Map.of();
    }

    /** Whether it may change the session of the node that runs it, whose connection is then not used again. */
    default boolean mayChangeSession() {
        return false;
    }
}
