package clayhook.backend;

import clayhook.protocol.MemoryBudget;
import clayhook.protocol.NodeMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * Validates the message order of a node's answer and collects its messages. Uses neither I/O nor a clock.
 *
 * <p>A key-value statement and a health check are answered in the fixed form: RowDescription, one DataRow,
 * CommandComplete and ReadyForQuery; or ErrorResponse and ReadyForQuery. A statement of any kind is answered in the
 * free form: any number of results, limited in total bytes, whose messages reserve memory. Each connection has one
 * instance and reuses it for all answers. Event loop only.
 */
final class AnswerReader {
    /** The column count while no RowDescription is in effect: before the first one and after each CommandComplete. */
    private static final int NO_ROW_DESCRIPTION = -1;

    /** The state of the answer after a message was read. */
    enum Progress {
        INCOMPLETE,
        COMPLETE,
        OUT_OF_ORDER,
        /** The answer exceeds the configured maximum length; the statement has run. */
        TOO_LONG,
        /** The memory budget cannot hold the answer; the statement has run. */
        OUT_OF_MEMORY
    }

    /** The messages that are valid next. */
    private enum Expected {
        FREE_FORM_RESULT,
        ROW_DESCRIPTION,
        DATA_ROW,
        COMMAND_COMPLETE,
        READY_FOR_QUERY
    }

    private final MemoryBudget memory;
    private final ConnectionProfile profile;
    private Expected expected = Expected.READY_FOR_QUERY;
    private List<byte[]> messages = List.of();
    /** Bytes reserved in {@link #memory} for {@link #messages}. */
    private int reservedBytes;
    /** The column count of the current RowDescription, or {@link #NO_ROW_DESCRIPTION}. */
    private int columnCount;
    /** Whether at least one result of this answer is complete. */
    private boolean resultComplete;
    /** The single row of a fixed-form answer, or null. */
    private NodeMessage.ResultMessage dataRow;
    /** The SQLSTATE of the error in this answer, or null. */
    private String sqlState;

    AnswerReader(MemoryBudget memory, ConnectionProfile profile) {
        this.memory = memory;
        this.profile = profile;
    }

    /** Discards the messages of the previous answer and starts a new one. */
    void begin(boolean freeForm) {
        expected = freeForm ? Expected.FREE_FORM_RESULT : Expected.ROW_DESCRIPTION;
        messages = new ArrayList<>();
        columnCount = NO_ROW_DESCRIPTION;
        resultComplete = false;
        dataRow = null;
        sqlState = null;
    }

    /** Reads the next message of the answer. The caller handles ParameterStatus, which is not part of an answer. */
    Progress read(Object message) {
        return expected == Expected.FREE_FORM_RESULT ? readFreeForm(message) : readFixedForm(message);
    }

    private Progress readFixedForm(Object message) {
        if (message instanceof NodeMessage.ResultMessage part && isExpected(part)) {
            messages.add(part.message());
            dataRow = part.type() == 'D' ? part : dataRow;
            expected = expectedAfterPart();
            return Progress.INCOMPLETE;
        } else if (message instanceof NodeMessage.ErrorResponse error && expected == Expected.ROW_DESCRIPTION) {
            expected = Expected.READY_FOR_QUERY;
            sqlState = error.sqlState();
            return Progress.INCOMPLETE;
        } else if (message instanceof NodeMessage.ReadyForQuery && expected == Expected.READY_FOR_QUERY) {
            return Progress.COMPLETE;
        }
        return message instanceof NodeMessage.Notice ? Progress.INCOMPLETE : Progress.OUT_OF_ORDER;
    }

    private boolean isExpected(NodeMessage.ResultMessage part) {
        return switch (expected) {
            case ROW_DESCRIPTION -> part.type() == 'T';
            case DATA_ROW -> part.type() == 'D';
            case COMMAND_COMPLETE -> part.type() == 'C';
            default -> false;
        };
    }

    private Expected expectedAfterPart() {
        return switch (expected) {
            case ROW_DESCRIPTION -> Expected.DATA_ROW;
            case DATA_ROW -> Expected.COMMAND_COMPLETE;
            default -> Expected.READY_FOR_QUERY;
        };
    }

    private Progress readFreeForm(Object message) {
        if (message instanceof NodeMessage.ResultMessage part && isValidInResult(part)) {
            boolean describesColumns = part.type() == 'T' || part.type() == 'D';
            columnCount = describesColumns ? part.columnCount() : NO_ROW_DESCRIPTION;
            resultComplete |= !describesColumns;
            return append(part.message());
        } else if (message instanceof NodeMessage.Notice notice) {
            return append(notice.message());
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            expected = Expected.READY_FOR_QUERY;
            sqlState = error.sqlState();
            return append(error.message());
        } else if (message instanceof NodeMessage.ReadyForQuery && resultComplete && !isReadingRows()) {
            return Progress.COMPLETE;
        }
        return message instanceof NodeMessage.Notification ? Progress.INCOMPLETE : Progress.OUT_OF_ORDER;
    }

    /**
     * Whether a message is valid at this point of a free-form answer: a DataRow must have the column count of its
     * RowDescription, and a new result must not start before the rows of the previous one are complete.
     */
    private boolean isValidInResult(NodeMessage.ResultMessage part) {
        return switch (part.type()) {
            case 'D' -> part.columnCount() == columnCount;
            case 'C' -> true;
            default -> !isReadingRows();
        };
    }

    private boolean isReadingRows() {
        return columnCount != NO_ROW_DESCRIPTION;
    }

    private Progress append(byte[] message) {
        if (reservedBytes + message.length > profile.maxAnswerBytes()) {
            return Progress.TOO_LONG;
        } else if (!memory.tryReserve(message.length)) {
            return Progress.OUT_OF_MEMORY;
        }
        reservedBytes += message.length;
        messages.add(message);
        return Progress.INCOMPLETE;
    }

    /** Releases the memory reserved for this answer. Its messages remain available until {@link #begin}. */
    void releaseMemory() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    /** The messages to forward to the client, in the order in which the node sent them. */
    List<byte[]> messages() {
        return messages;
    }

    /** The first column of the single row of a fixed-form answer, or null if no row was received. */
    String rowValue() {
        return dataRow == null ? null : dataRow.firstColumn();
    }

    /** The SQLSTATE of the error in this answer, or null. */
    String sqlState() {
        return sqlState;
    }
}
