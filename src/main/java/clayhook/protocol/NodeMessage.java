package clayhook.protocol;

import java.nio.charset.StandardCharsets;

/** What a node may send. */
public sealed interface NodeMessage {
    record AuthenticationOk() implements NodeMessage {
    }

    record ParameterStatus(String name, String value) implements NodeMessage {
    }

    /** RowDescription, DataRow or CommandComplete, whole as it came. */
    record Part(char type, byte[] message) implements NodeMessage {
        /** The first column of a DataRow as text, or null. */
        public String firstColumn() {
            int length = message.length < 11 ? -1 : (message[7] & 0xff) << 24 | (message[8] & 0xff) << 16
                    | (message[9] & 0xff) << 8 | message[10] & 0xff;
            return length < 0 || 11 + length > message.length ? null
                    : new String(message, 11, length, StandardCharsets.UTF_8);
        }
    }

    record ErrorResponse(String code, String text) implements NodeMessage {
    }

    record ReadyForQuery() implements NodeMessage {
    }

    /** A notice, or the key for cancelling. */
    record Ignored() implements NodeMessage {
    }

    /** Nothing after it can be understood. */
    record Malformed(String why) implements NodeMessage {
    }
}
