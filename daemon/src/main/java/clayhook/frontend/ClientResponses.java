package clayhook.frontend;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.SqlState;
import io.netty.buffer.ByteBuf;

/**
 * The responses that the router itself generates for clients. Their codes and texts are part of the client interface
 * and must not change. Stateless; the caller owns the returned buffers.
 */
final class ClientResponses {
    private static final int MILLIS_PER_SECOND = 1000;

    private ClientResponses() {}

    /**
     * Reports that the request was rejected and may safely be retried.
     *
     * @param retryAfter the delay in seconds after which the client should retry; 0 for no advice
     * @param fatal whether the connection is closed after this response
     */
    static ByteBuf rejected(double retryAfter, boolean fatal) {
        String detail = retryAfter > 0 ? Long.toString(Math.round(retryAfter * MILLIS_PER_SECOND)) : null;
        return MessageEncoder.error(fatal, SqlState.TOO_MANY_CONNECTIONS, "throttled", detail);
    }

    static ByteBuf inDoubt(boolean fatal) {
        String text = "it is not known whether the statement has run";
        return MessageEncoder.error(fatal, SqlState.STATEMENT_COMPLETION_UNKNOWN, text, null);
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

    /** Reports that no memory is available for the request, which may safely be retried. */
    static ByteBuf noMemoryLeft(String reason) {
        return error(SqlState.TOO_MANY_CONNECTIONS, reason);
    }

    static ByteBuf settingRejected(String reason) {
        return error(SqlState.FEATURE_NOT_SUPPORTED, reason);
    }

    static ByteBuf functionCallRejected() {
        return error(SqlState.FEATURE_NOT_SUPPORTED, "there are no functions to call");
    }

    /** Rejects an extended query, without ReadyForQuery, which the client receives in response to its Sync. */
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

    /** Refuses a request that is received or in transit while the connection closes; it has not been executed. */
    static ByteBuf connectionClosing(EndCause cause) {
        return fatal(SqlState.CANNOT_CONNECT_NOW, closeReason(cause));
    }

    /** Refuses one of several requests received while the connection closes; further responses follow. */
    static ByteBuf connectionClosingSoon(EndCause cause) {
        return error(SqlState.CANNOT_CONNECT_NOW, closeReason(cause));
    }

    private static String closeReason(EndCause cause) {
        return switch (cause) {
            case SHUTDOWN -> "the router is shutting down";
            case CROWDED -> "too many idle connections";
            default -> "the connection is needed for another client";
        };
    }

    static ByteBuf internalError() {
        return fatal(SqlState.INTERNAL_ERROR, "internal error");
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
