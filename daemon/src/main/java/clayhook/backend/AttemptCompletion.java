package clayhook.backend;

import clayhook.AttemptOutcome;
import java.util.List;
import java.util.Set;

/** How a request to a node ended. */
sealed interface AttemptCompletion {
    /** SQLSTATE too_many_connections: the node is overloaded. */
    String TOO_MANY_CONNECTIONS = "53300";

    /** SQLSTATE query_canceled, by a time limit of the node for one; the statement has had no effect. */
    String QUERY_CANCELED = "57014";

    /** The node is read-only or behind; these are refusals of this very node. */
    Set<String> NODE_STATE_ERRORS = Set.of("25006", "72000");

    /** Connections, resources, operator intervention, system errors, configuration file, internal errors. */
    Set<String> NODE_FAULT_CLASSES = Set.of("08", "53", "57", "58", "F0", "XX");

    /** Characters of an SQLSTATE that name its class. */
    int CLASS_LENGTH = 2;

    /** The outcome as the routing policy sees it. */
    AttemptOutcome outcome();

    /** The node's answer is complete. */
    record Answered() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /** The node answered with an error; before the startup is complete, it rejects the connection. */
    record NodeError(String sqlState) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            if (NODE_STATE_ERRORS.contains(sqlState)) {
                return AttemptOutcome.REJECTED;
            }
            return sqlState.equals(TOO_MANY_CONNECTIONS) ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
        }
    }

    /** The router answers in the node's place, which has nothing more to tell: a final answer of these messages. */
    record LocalAnswer(List<byte[]> messages) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /** What came cannot be understood; the node works, and the statement may have run. */
    record ProtocolViolation() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ERROR;
        }
    }

    /** The connection was refused, broke or ended. */
    record ConnectionLost(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        }
    }

    /** The attempt's timeout has passed. */
    record TimedOut(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED;
        }
    }

    /** The router needs it no longer, or may not send it any more. */
    record Cancelled(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
        }
    }

    /**
     * How a complete answer ends that holds an error, or none. Most errors of statements of any kind say what is wrong
     * with the statement, which has had no effect, and are answers; those that speak of the node are not.
     *
     * @param sqlState code of the error in the answer, or null
     * @param freeForm the answer is to a statement of any kind
     * @param mayChangeSession the statement may run transactions of its own, so that no error proves that nothing ran
     *     before it
     */
    static AttemptCompletion ofAnswer(String sqlState, boolean freeForm, boolean mayChangeSession) {
        if (mayChangeSession && TOO_MANY_CONNECTIONS.equals(sqlState)) {
            return new ProtocolViolation();
        }
        boolean isAnswer = sqlState == null || (freeForm && !isNodeError(sqlState));
        return isAnswer ? new Answered() : new NodeError(sqlState);
    }

    private static boolean isNodeError(String sqlState) {
        if (NODE_STATE_ERRORS.contains(sqlState)) {
            return true;
        }
        String sqlClass = sqlState.substring(0, Math.min(CLASS_LENGTH, sqlState.length()));
        return !sqlState.equals(QUERY_CANCELED) && NODE_FAULT_CLASSES.contains(sqlClass);
    }
}
