package clayhook.protocol;

import java.util.Map;

/** A statement to be sent to a node, with the properties that the node connection needs. Immutable. */
public interface OutboundStatement {
    /**
     * The text to send to a node.
     *
     * @param seconds how long the router waits for the response of the node
     */
    byte[] textWithTimeout(double seconds);

    /** Whether the response may have any number of columns, rows and results, and may be a database error. */
    default boolean hasFreeFormResult() {
        return false;
    }

    /** The settings to apply on the connection before the statement: names and values as SQL text. */
    default Map<String, String> settings() {
        return Map.of();
    }

    /** Whether the statement may change the session state of its node connection, which is then not reused. */
    default boolean mayChangeSession() {
        return false;
    }
}
