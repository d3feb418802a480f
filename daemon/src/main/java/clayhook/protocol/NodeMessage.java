package clayhook.protocol;

import java.nio.charset.StandardCharsets;

/** A decoded message from a node. Raw messages include the type byte and the length. */
public sealed interface NodeMessage {
    /** The node has accepted the connection without a password. */
    record AuthenticationOk() implements NodeMessage {}

    /** The value of a setting; at the end of a response also the node's role, log position and load. */
    record ParameterStatus(String name, String value) implements NodeMessage {}

    /** A RowDescription, DataRow, CommandComplete or EmptyQueryResponse message, distinguished by its type byte. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record ResultMessage(char type, byte[] message) implements NodeMessage {
        private static final int HEADER_BYTES = 1 + 4;
        /** Offset of the column count in a RowDescription or DataRow. */
        private static final int COLUMN_COUNT_OFFSET = HEADER_BYTES;
        /** Offset of the first value in a DataRow, which follows the column count and the length of the value. */
        private static final int FIRST_VALUE_OFFSET = HEADER_BYTES + 2 + 4;

        /** The number of columns of a RowDescription or DataRow. */
        public int columnCount() {
            return ((message[COLUMN_COUNT_OFFSET] & 0xff) << 8) | (message[COLUMN_COUNT_OFFSET + 1] & 0xff);
        }

        /** The value of a DataRow with a single column, decoded as text. */
        public String firstColumn() {
            return new String(message, FIRST_VALUE_OFFSET, message.length - FIRST_VALUE_OFFSET, StandardCharsets.UTF_8);
        }
    }

    /** An error with its SQLSTATE code, its text and the raw message. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record ErrorResponse(String sqlState, String errorText, byte[] message) implements NodeMessage {}

    /** The response is complete and the node is ready for the next statement. */
    record ReadyForQuery() implements NodeMessage {}

    /** A warning or an informational message, in raw form. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record Notice(byte[] message) implements NodeMessage {}

    /** A notification on a channel; the router subscribes to none. */
    record Notification() implements NodeMessage {}

    /** The key for cancel requests, which the router does not use. */
    record CancelKey() implements NodeMessage {}

    /** A message that cannot be decoded; the decoder discards all input after it. */
    record Malformed(String reason) implements NodeMessage {}
}
