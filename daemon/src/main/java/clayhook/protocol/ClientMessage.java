package clayhook.protocol;

import java.util.Map;

/** A decoded message from a client. */
public sealed interface ClientMessage {
    /**
     * Starts the session.
     *
     * @param minorVersion the minor version of the protocol, whose major version is 3
     * @param parameters the start-up parameters in the client's order; empty if the decoder accepts only the two fixed
     *     statement forms
     */
    record Startup(int minorVersion, Map<String, String> parameters) implements ClientMessage {}

    /** Requests an encrypted connection, which is not supported. */
    record EncryptionRequest() implements ClientMessage {}

    /**
     * Cancels the current request of another session.
     *
     * @param key the process id and secret of that session as one 64-bit number
     */
    record CancelRequest(long key) implements ClientMessage {}

    /** A query without a statement. */
    record EmptyQuery() implements ClientMessage {}

    /** A query in one of the two fixed forms, if the decoder accepts only those. */
    record Query(KeyValueStatement statement) implements ClientMessage {}

    /**
     * A query with any SQL, if the decoder accepts any statement.
     *
     * @param text the bytes of the query without the terminating zero
     */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record SqlQuery(byte[] text) implements ClientMessage {}

    /**
     * A query that cannot be parsed; the session continues.
     *
     * @param reason the error text for the client
     */
    record UnreadableQuery(String reason) implements ClientMessage {}

    /**
     * A query that was dropped because the memory budget was exhausted; the session continues.
     *
     * @param reason the error text for the client
     */
    record SkippedQuery(String reason) implements ClientMessage {}

    /** A message of the extended query protocol, which is not supported; all up to the next Sync get one error. */
    record Extended() implements ClientMessage {}

    /** Ends a sequence of messages of the extended query protocol. */
    record Sync() implements ClientMessage {}

    /** Calls a function, which is not supported. */
    record FunctionCall() implements ClientMessage {}

    /** A Flush message or a copy message outside a copy operation; servers ignore both. */
    record Ignored() implements ClientMessage {}

    /** Ends the session. */
    record Terminate() implements ClientMessage {}

    /**
     * A message that cannot be decoded; the decoder discards all input after it.
     *
     * @param sqlState the SQLSTATE code for the client
     * @param reason the error text for the client
     */
    record Malformed(String sqlState, String reason) implements ClientMessage {}
}
