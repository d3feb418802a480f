package clayhook.protocol;

import java.nio.charset.StandardCharsets;

/** What a node may send. */
public sealed interface NodeMessage {
    record AuthenticationOk() implements NodeMessage {}

    record ParameterStatus(String name, String value) implements NodeMessage {}

    /** RowDescription, DataRow, CommandComplete or EmptyQueryResponse, whole as it came. */
    record Part(char type, byte[] message) implements NodeMessage {
        /** Where the number of columns stands in a RowDescription or DataRow. */
        private static final int COLUMN_COUNT_OFFSET = 1 + 4;

        /** Where the value of a DataRow stands: after the type, its length, the count and its own length. */
        private static final int FIRST_VALUE_OFFSET = 1 + 4 + 2 + 4;

        /** How many columns a RowDescription or DataRow has. */
        public int columnCount() {
            return (message[COLUMN_COUNT_OFFSET] & 0xff) << 8 | message[COLUMN_COUNT_OFFSET + 1] & 0xff;
        }

        /** The column of a DataRow as text. */
        public String firstColumn() {
            return new String(message, FIRST_VALUE_OFFSET, message.length - FIRST_VALUE_OFFSET, StandardCharsets.UTF_8);
        }
    }

    /** {@code message} is whole as it came. */
    record ErrorResponse(String sqlState, String errorText, byte[] message) implements NodeMessage {}

    record ReadyForQuery() implements NodeMessage {}

    /** Whole as it came. */
    record Notice(byte[] message) implements NodeMessage {}

    /** Of a channel that nobody here listens to. */
    record Notification() implements NodeMessage {}

    /** The key for cancelling, which is not used. */
    record CancelKey() implements NodeMessage {}

    /** Nothing after it can be understood. */
    record Malformed(String reason) implements NodeMessage {}
}
