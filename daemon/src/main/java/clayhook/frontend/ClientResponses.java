package clayhook.frontend;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.SqlState;
import io.netty.buffer.ByteBuf;

/**
 * The responses to clients that the router gives itself. Codes and texts are part of its interface to clients and must
 * not change. Stateless; the caller owns the returned buffers.
 */
final class ClientResponses {
    private static final int MILLIS_PER_SECOND = 1000;

    private ClientResponses() {}

    /** The request was rejected and may safely be sent again; {@code retryAfter} in seconds, 0 for no advice. */
    static ByteBuf rejected(double retryAfter) {
        String detail = retryAfter > 0 ? Long.toString(Math.round(retryAfter * MILLIS_PER_SECOND)) : null;
        return MessageEncoder.error(false, SqlState.TOO_MANY_CONNECTIONS, "throttled", detail);
    }

    static ByteBuf inDoubt() {
        return error(SqlState.STATEMENT_COMPLETION_UNKNOWN, "it is not known whether the statement has run");
    }

    static ByteBuf cancelled(boolean mayHaveRun) {
        return error(
                SqlState.QUERY_CANCELED,
                mayHaveRun
                        ? "cancelled; it is not known whether the statement has run"
                        : "cancelled; the statement has not run");
    }

    static ByteBuf invalidStatement(String reason) {
        return error(SqlState.SYNTAX_ERROR, reason);
    }

    static ByteBuf settingRejected(String reason) {
        return error(SqlState.FEATURE_NOT_SUPPORTED, reason);
    }

    static ByteBuf functionCallRejected() {
        return error(SqlState.FEATURE_NOT_SUPPORTED, "there are no functions to call");
    }

    /** No readiness follows: the client gets that in response to its Sync. */
    static ByteBuf extendedQueryRejected() {
        return MessageEncoder.errorWithoutReadiness(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are taken");
    }

    static ByteBuf error(String sqlState, String reason) {
        return MessageEncoder.error(false, sqlState, reason, null);
    }

    // ---- errors after which the connection is closed ----

    static ByteBuf startupRejected(String reason) {
        return fatal(SqlState.FEATURE_NOT_SUPPORTED, reason);
    }

    static ByteBuf malformedMessage(ClientMessage.Malformed malformed) {
        return fatal(malformed.sqlState(), malformed.reason());
    }

    static ByteBuf idleTimeout() {
        return fatal(SqlState.IDLE_SESSION_TIMEOUT, "no whole command came in time");
    }

    static ByteBuf noDescriptorLeft() {
        return fatal(SqlState.TOO_MANY_CONNECTIONS, "no descriptors are left for more clients");
    }

    private static ByteBuf fatal(String sqlState, String reason) {
        return MessageEncoder.error(true, sqlState, reason, null);
    }
}
