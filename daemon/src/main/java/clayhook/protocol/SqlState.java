package clayhook.protocol;

/** SQLSTATE codes of errors that the router itself sends to clients. Part of the wire protocol: must not change. */
public final class SqlState {
    /** A message violates the protocol. */
    public static final String PROTOCOL_VIOLATION = "08P01";
    /** The client requested a server feature that this router does not support. */
    public static final String FEATURE_NOT_SUPPORTED = "0A000";
    /** A write was sent where only reads are allowed. */
    public static final String READ_ONLY_TRANSACTION = "25006";
    /** It is not known whether the statement has run. */
    public static final String STATEMENT_COMPLETION_UNKNOWN = "40003";
    /** The statement or its routing comment cannot be parsed. */
    public static final String SYNTAX_ERROR = "42601";
    /** The statement was rejected because of insufficient capacity and has not run. */
    public static final String TOO_MANY_CONNECTIONS = "53300";
    /** The client sent or requested more than the accepted maximum. */
    public static final String LIMIT_EXCEEDED = "54000";
    /** The client cancelled the statement. */
    public static final String QUERY_CANCELED = "57014";
    /** The server closes the connection; statements that it has not answered have not run. */
    public static final String CANNOT_CONNECT_NOW = "57P03";
    /** The client was idle for too long. */
    public static final String IDLE_SESSION_TIMEOUT = "57P05";

    /** An internal error of the router. */
    public static final String INTERNAL_ERROR = "XX000";

    /** The class of errors after which a transaction has been rolled back and may be repeated as a whole. */
    private static final String TRANSACTION_ROLLBACK_CLASS = "40";

    private SqlState() {}

    /** Whether clients take this error as leave to send the statement again. */
    public static boolean isRefusal(String sqlState) {
        return sqlState.equals(TOO_MANY_CONNECTIONS)
                || sqlState.equals(CANNOT_CONNECT_NOW)
                || sqlState.startsWith(TRANSACTION_ROLLBACK_CLASS);
    }
}
