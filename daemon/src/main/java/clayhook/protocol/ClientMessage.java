package clayhook.protocol;

import java.util.Map;

/** A message from a client, decoded. */
public sealed interface ClientMessage {
    /**
     * Starts the session.
     *
     * @param minorVersion of the protocol, whose major version is 3
     * @param parameters in the client's order; empty where only the two fixed forms of statement are accepted
     */
    record Startup(int minorVersion, Map<String, String> parameters) implements ClientMessage {}

    /** Asks for an encrypted connection, which is not supported. */
    record EncryptionRequest() implements ClientMessage {}

    /**
     * Cancels the current request of another session.
     *
     * @param key that session's process id and secret, as one number
     */
    record CancelRequest(long key) implements ClientMessage {}

    /** A query without a statement. */
    record EmptyQuery() implements ClientMessage {}

    /** A query in one of the two fixed forms; where only those are accepted. */
    record Query(KeyValueStatement statement) implements ClientMessage {}

    /** A query of any kind; where all are accepted. {@code text} has the bytes without the closing zero. */
    @SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
    record SqlQuery(byte[] text) implements ClientMessage {}

    /** A query that cannot be parsed; the session continues. {@code reason} is for the client. */
    record UnreadableQuery(String reason) implements ClientMessage {}

    /**
     * A query for which no memory was left: it was not kept, and the session continues. {@code reason} is for the
     * client.
     */
    record SkippedQuery(String reason) implements ClientMessage {}

    /** A message of the extended query protocol: all up to the next Sync get one error. */
    record Extended() implements ClientMessage {}

    /** Ends a series of messages of the extended query protocol. */
    record Sync() implements ClientMessage {}

    /** Calls a function, which is not supported. */
    record FunctionCall() implements ClientMessage {}

    /** Flush, and copy messages outside a copy: servers ignore them. */
    record Ignored() implements ClientMessage {}

    /** Ends the session. */
    record Terminate() implements ClientMessage {}

    /** A message that cannot be read; nothing after it can either. Code and reason are for the client. */
    record Malformed(String sqlState, String reason) implements ClientMessage {}
}
