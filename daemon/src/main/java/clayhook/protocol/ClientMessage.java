package clayhook.protocol;

import java.util.Map;

/** What a client may send. */
public sealed interface ClientMessage {
    /**
     * Asks for the session; {@code minor} is the version of the protocol after 3, the parameters only where they count.
     */
    record Startup(int minorVersion, Map<String, String> parameters) implements ClientMessage {}

    /** Asks for an encrypted connection, which there is none of. */
    record EncryptionRequest() implements ClientMessage {}

    /** Cancels the command in hand of the session that was given this key: its process id, then its secret. */
    record CancelRequest(long key) implements ClientMessage {}

    record EmptyQuery() implements ClientMessage {}

    record Query(KeyValueStatement statement) implements ClientMessage {}

    /** A query of any kind, where all are taken. */
    record SqlQuery(byte[] text) implements ClientMessage {}

    /** A query that cannot be read; the session goes on. */
    record UnreadableQuery(String reason) implements ClientMessage {}

    /** A message of the extended query protocol: all up to the next Sync get one error. */
    record Extended() implements ClientMessage {}

    record Sync() implements ClientMessage {}

    /** Calls a function, which there is none of. */
    record FunctionCall() implements ClientMessage {}

    /** Flush, and the copy messages outside a copy: the specification passes them over. */
    record Ignored() implements ClientMessage {}

    record Terminate() implements ClientMessage {}

    /** Nothing after it can be understood. */
    record Malformed(String sqlState, String reason) implements ClientMessage {}
}
