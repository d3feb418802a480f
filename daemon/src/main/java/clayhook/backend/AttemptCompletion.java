package clayhook.backend;

import clayhook.AttemptOutcome;
import java.util.List;
import java.util.Set;

/** The way in which a request to a node ended. */
sealed interface AttemptCompletion {
    /** SQLSTATE too_many_connections: the node is overloaded. */
    String TOO_MANY_CONNECTIONS = "53300";

    /** SQLSTATE cannot_connect_now: the node accepts no new requests, as it is draining or starting. */
    String CANNOT_CONNECT_NOW = "57P03";

    /** SQLSTATE query_canceled, for example after a statement timeout of the node; the statement had no effect. */
    String QUERY_CANCELED = "57014";

    /** SQLSTATEs of a node that is read-only or lags behind: another node may accept the same statement. */
    Set<String> NODE_STATE_ERRORS = Set.of("25006", "72000");

    /**
     * SQLSTATE classes of errors of the node rather than of the statement: connection, insufficient resources, operator
     * intervention, system, configuration file and internal errors.
     */
    Set<String> NODE_FAULT_CLASSES = Set.of("08", "53", "57", "58", "F0", "XX");

    /** The number of leading characters of an SQLSTATE that identify its class. */
    int CLASS_LENGTH = 2;

    /** The outcome that is reported to the routing policy. */
    AttemptOutcome outcome();

    /** The node sent a complete answer. */
    record Answered() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /**
     * The node answered with an error; an error before the startup is complete means that it rejected the connection.
     */
    record NodeError(String sqlState) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            if (NODE_STATE_ERRORS.contains(sqlState)) {
                return AttemptOutcome.REJECTED;
            }
            return sqlState.equals(TOO_MANY_CONNECTIONS) ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
        }
    }

    /** The node answered a health check that it accepts no new requests. */
    record NodeDraining() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.DRAINING;
        }
    }

    /**
     * The router itself provides the final answer, which consists of {@code messages} and says that the request ran.
     */
    record LocalAnswer(List<byte[]> messages) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /** The node rejected the session settings that the request needs, so that the request was not sent to it. */
    record SettingsRejected(String sqlState, byte[] error) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /** The node sent data that violates the protocol; the node is up, and the statement may have run. */
    record ProtocolViolation() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ERROR;
        }
    }

    /** The connection was refused, reset or closed. */
    record ConnectionLost(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        }
    }

    /** The timeout of the attempt expired. */
    record TimedOut(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED;
        }
    }

    /** The router cancelled the request because its result is no longer needed or it may no longer be sent. */
    record Cancelled(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
        }
    }

    /**
     * Returns the completion for a complete answer with or without an error. Most errors of statements of any kind
     * concern the statement, which had no effect; they count as answers. Errors that concern the node do not.
     *
     * @param sqlState the SQLSTATE of the error in the answer, or null
     * @param freeForm whether the answer belongs to a statement of any kind
     * @param mayChangeSession whether the statement may run transactions of its own, in which case an error does not
     *     prove that nothing ran before it
     */
    static AttemptCompletion ofAnswer(String sqlState, boolean freeForm, boolean mayChangeSession) {
        if (mayChangeSession && TOO_MANY_CONNECTIONS.equals(sqlState)) {
            return new ProtocolViolation();
        }
        boolean isAnswer = sqlState == null || (freeForm && !isNodeError(sqlState));
        return isAnswer ? new Answered() : new NodeError(sqlState);
    }

    /**
     * Returns the completion of a health check that ended as {@code completion}. Only there does an error that the node
     * accepts no new requests count as a report of draining: a statement may raise any error itself.
     */
    static AttemptCompletion ofHealthCheck(AttemptCompletion completion) {
        boolean draining = completion instanceof NodeError error && CANNOT_CONNECT_NOW.equals(error.sqlState());
        return draining ? new NodeDraining() : completion;
    }

    private static boolean isNodeError(String sqlState) {
        if (NODE_STATE_ERRORS.contains(sqlState)) {
            return true;
        }
        String sqlClass = sqlState.substring(0, Math.min(CLASS_LENGTH, sqlState.length()));
        return !sqlState.equals(QUERY_CANCELED) && NODE_FAULT_CLASSES.contains(sqlClass);
    }
}
