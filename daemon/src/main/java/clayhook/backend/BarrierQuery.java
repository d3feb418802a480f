package clayhook.backend;

import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import io.netty.buffer.ByteBuf;

/**
 * An empty query that separates the answer to one request from the answer to the next on the same connection. It has no
 * effect and is answered at once. A node answers in order, so all that it sent in excess of the earlier answer arrives
 * before the answer to this query, however long its system held it back. Event loop only.
 */
final class BarrierQuery {
    /** The state of the answer after a message was read. */
    enum Progress {
        INCOMPLETE,
        /** The node has answered the query, and has sent nothing else before. */
        PASSED,
        /** The node sent something that is not part of the answer to this query. */
        SURPLUS
    }

    /** SQLSTATE protocol_violation, the answer of nodes that accept no statement but those of the two fixed forms. */
    private static final String UNKNOWN_STATEMENT = "08P01";

    private static final byte[] NO_TEXT = {};
    private static final char EMPTY_QUERY_RESPONSE = 'I';

    private boolean answered;

    /** The message to send. */
    static ByteBuf message() {
        return MessageEncoder.query(NO_TEXT);
    }

    /**
     * Whether the answer to this query can be told from a second copy of the answer before it.
     *
     * @param sqlState the SQLSTATE of the error in the answer before it, or null if it has none
     */
    static boolean separates(String sqlState) {
        return !UNKNOWN_STATEMENT.equals(sqlState);
    }

    /** Expects the answer to a query that is being sent. */
    void begin() {
        answered = false;
    }

    /** Reads the next message from the node. */
    Progress read(Object message) {
        if (message instanceof NodeMessage.ReadyForQuery) {
            return answered ? Progress.PASSED : Progress.SURPLUS;
        } else if (message instanceof NodeMessage.Notice || message instanceof NodeMessage.ParameterStatus) {
            return Progress.INCOMPLETE;
        }
        boolean answers = !answered && isAnswer(message);
        answered |= answers;
        return answers ? Progress.INCOMPLETE : Progress.SURPLUS;
    }

    private static boolean isAnswer(Object message) {
        return (message instanceof NodeMessage.ResultMessage part && part.type() == EMPTY_QUERY_RESPONSE)
                || (message instanceof NodeMessage.ErrorResponse error
                        && error.sqlState().equals(UNKNOWN_STATEMENT));
    }
}
