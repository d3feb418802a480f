package clayhook.protocol;

import java.nio.charset.StandardCharsets;

/** A message from a node, decoded. Raw messages are complete, with type byte and length. */
public sealed interface NodeMessage {
    /** The node accepts the connection without a password. */
    record AuthenticationOk() implements NodeMessage {}

    /** The value of a setting; before the end of a response also the node's role, log position and load. */
    record ParameterStatus(String name, String value) implements NodeMessage {}

    /** RowDescription, DataRow, CommandComplete or EmptyQueryResponse, by its type byte. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record Part(char type, byte[] message) implements NodeMessage {
        private static final int HEADER_BYTES = 1 + 4;
        /** Of a RowDescription or DataRow. */
        private static final int COLUMN_COUNT_OFFSET = HEADER_BYTES;
        /** Of a DataRow: after the column count and the length of the value. */
        private static final int FIRST_VALUE_OFFSET = HEADER_BYTES + 2 + 4;

        /** The number of columns of a RowDescription or DataRow. */
        public int columnCount() {
            return ((message[COLUMN_COUNT_OFFSET] & 0xff) << 8) | (message[COLUMN_COUNT_OFFSET + 1] & 0xff);
        }

        /** The value of a DataRow with one column, as text. */
        public String firstColumn() {
            return new String(message, FIRST_VALUE_OFFSET, message.length - FIRST_VALUE_OFFSET, StandardCharsets.UTF_8);
        }
    }

    /** An error, with its SQLSTATE, its text and the raw message. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record ErrorResponse(String sqlState, String errorText, byte[] message) implements NodeMessage {}

    /** The response is complete, and the node takes the next statement. */
    record ReadyForQuery() implements NodeMessage {}

    /** A warning or remark, as the raw message. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record Notice(byte[] message) implements NodeMessage {}

    /** A notification of a channel; the router listens to none. */
    record Notification() implements NodeMessage {}

    /** The key for cancel requests, which the router does not use. */
    record CancelKey() implements NodeMessage {}

    /** A message that cannot be read; nothing after it can either. */
    record Malformed(String reason) implements NodeMessage {}
}
