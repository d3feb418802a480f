package clayhook.backend;

import clayhook.AttemptOutcome;
import java.util.List;
import java.util.Set;

/** How an attempt ended. */
sealed interface AttemptCompletion {
    AttemptOutcome outcome();

    /** The node's answer is whole. */
    record Answered() implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /** The node answered with an error; before a connection stands, it turns the connection away. */
    record NodeError(String sqlState) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return switch (sqlState) {
                case "25006", "72000" -> AttemptOutcome.REJECTED;
                case TOO_MANY_CONNECTIONS -> AttemptOutcome.OVERLOADED;
                default -> AttemptOutcome.ERROR;
            };
        }
    }

    /** The router answers in the node's place, which has nothing more to tell: a final answer of these messages. */
    record LocalAnswer(List<byte[]> messages) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return AttemptOutcome.ANSWERED;
        }
    }

    /**
     * How a whole answer ends that holds an error, or none. Where statements of any kind are sent, most errors say what
     * is wrong with the statement, which has had no effect, and are answers; the classes that speak of the node are
     * not. {@code opaque}: it may run transactions of its own, so that no error proves that nothing ran before it.
     */
    static AttemptCompletion ofAnswer(String code, boolean free, boolean opaque) {
        if (opaque && TOO_MANY_CONNECTIONS.equals(code)) {
            return new ProtocolViolation();
        }
        boolean answer = code == null
                || free
                        && !NODE_STATE_ERRORS.contains(code)
                        && (code.equals(QUERY_CANCELED)
                                || !NODE_FAULT_CLASSES.contains(code.substring(0, Math.min(2, code.length()))));
        return answer ? new Answered() : new NodeError(code);
    }

    String TOO_MANY_CONNECTIONS = "53300";
    /** Read-only or behind; these are refusals of this very node. */
    Set<String> NODE_STATE_ERRORS = Set.of("25006", "72000");
    /** Connections, resources, operator intervention, system errors, configuration file, internal errors. */
    Set<String> NODE_FAULT_CLASSES = Set.of("08", "53", "57", "58", "F0", "XX");
    /** The statement was cancelled, by a time limit of the node for one; it has had no effect. */
    String QUERY_CANCELED = "57014";

    /** What came cannot be understood; the node works, and the command may have run. */
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

    /** The time to wait is over. */
    record TimedOut(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECT_FAILED;
        }
    }

    /** It is wanted no longer, or may not go out any more. */
    record Cancelled(AttemptPhase phase) implements AttemptCompletion {
        @Override
        public AttemptOutcome outcome() {
            return phase.mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT;
        }
    }
}
