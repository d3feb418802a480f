package clayhook.backend;

import clayhook.config.OperatorConfiguration;
import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;

/** What every connection to a node asks for and accepts, as the operator's file says. Immutable. */
final class ConnectionProfile {
    private final OperatorConfiguration operator;

    ConnectionProfile(OperatorConfiguration operator) {
        this.operator = operator;
    }

    /** The first message of a connection. */
    ByteBuf startupMessage() {
        return operator.statements() == null
                ? MessageEncoder.startupMessage(operator.user(), operator.database())
                : MessageEncoder.startupMessage(operator.user(), operator.database(), "client_encoding", "UTF8");
    }

    /**
     * Whether a node that reports this parameter tokenizes statements as this router does. Text that is a string
     * literal here could be executed there otherwise.
     */
    boolean acceptsParameter(String name, String value) {
        if (operator.statements() == null) {
            return true;
        }
        return switch (name) {
            case "client_encoding" -> value.equalsIgnoreCase("UTF8");
            case "standard_conforming_strings" ->
                value.equals(operator.statements().rules().conforming() ? "on" : "off");
            default -> true;
        };
    }

    /** The most bytes of a free-form answer that are forwarded; only where statements of any kind are accepted. */
    int maxAnswerBytes() {
        return operator.statements().maxAnswerBytes();
    }
}
