package clayhook.backend;

import clayhook.config.OperatorConfiguration;
import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;

/** The startup parameters and limits of all connections to nodes, from the operator's configuration. Immutable. */
final class ConnectionProfile {
    private final OperatorConfiguration operator;

    ConnectionProfile(OperatorConfiguration operator) {
        this.operator = operator;
    }

    /** Creates the startup message, which is the first message on a connection. */
    ByteBuf startupMessage() {
        return operator.statements() == null
                ? MessageEncoder.startupMessage(operator.user(), operator.database())
                : MessageEncoder.startupMessage(operator.user(), operator.database(), "client_encoding", "UTF8");
    }

    /**
     * Whether a node with this parameter value tokenizes statements in the same way as this router. Otherwise text that
     * the router takes for a string literal could be executed by the node.
     */
    boolean acceptsParameter(String name, String value) {
        if (operator.statements() == null) {
            return true;
        }
        return switch (name) {
            case "client_encoding" -> value.equalsIgnoreCase("UTF8");
            case "standard_conforming_strings" ->
                value.equals(operator.statements().rules().standardConformingStrings() ? "on" : "off");
            default -> true;
        };
    }

    /** The maximum length in bytes of a free-form answer. Valid only if statements of any kind are enabled. */
    int maxAnswerBytes() {
        return operator.statements().maxAnswerBytes();
    }
}
