package clayhook.backend;

import clayhook.protocol.MemoryBudget;
import clayhook.protocol.NodeMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks the messages of one answer for their order and collects them; no I/O and no clock.
 *
 * <p>A key-value statement and a health check are answered in the fixed form: RowDescription, one DataRow,
 * CommandComplete, ReadyForQuery, or an ErrorResponse before the first of them. A statement of any kind is answered in
 * the free form, whose messages are bounded in bytes and reserve memory. An object serves one connection and is reused
 * for each of its answers; event loop only.
 */
final class AnswerReader {
    /** The column count before a RowDescription and after the end of its rows. */
    private static final int NO_ROW_DESCRIPTION = -1;

    /** State of the answer after a message. */
    enum Progress {
        INCOMPLETE,
        COMPLETE,
        OUT_OF_ORDER,
        /** Longer than the operator forwards; the statement has run. */
        TOO_LONG,
        /** No memory is left to hold it; the statement has run. */
        OUT_OF_MEMORY
    }

    /** What may come next. */
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
    /** Reserved in {@link #memory} for the messages held here. */
    private int reservedBytes;
    /** Columns of the rows that may come now. */
    private int columnCount;
    /** At least one result has ended. */
    private boolean resultComplete;
    /** The one row of the fixed form, or null. */
    private NodeMessage.ResultMessage dataRow;
    /** Code of the error in this answer, or null. */
    private String sqlState;

    AnswerReader(MemoryBudget memory, ConnectionProfile profile) {
        this.memory = memory;
        this.profile = profile;
    }

    /** Starts a new answer. */
    void begin(boolean freeForm) {
        expected = freeForm ? Expected.FREE_FORM_RESULT : Expected.ROW_DESCRIPTION;
        messages = new ArrayList<>();
        columnCount = NO_ROW_DESCRIPTION;
        resultComplete = false;
        dataRow = null;
        sqlState = null;
    }

    /** Takes the next message; ParameterStatus messages are no part of an answer and are not passed here. */
    Progress read(Object message) {
        return expected == Expected.FREE_FORM_RESULT ? readFreeForm(message) : readFixedForm(message);
    }

    private Progress readFixedForm(Object message) {
        if (message instanceof NodeMessage.ResultMessage part && isExpected(part)) {
            messages.add(part.message());
            dataRow = part.type() == 'D' ? part : dataRow;
            expected = afterPart();
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

    private Expected afterPart() {
        return switch (expected) {
            case ROW_DESCRIPTION -> Expected.DATA_ROW;
            case DATA_ROW -> Expected.COMMAND_COMPLETE;
            default -> Expected.READY_FOR_QUERY;
        };
    }

    private Progress readFreeForm(Object message) {
        if (message instanceof NodeMessage.ResultMessage part && fitsResult(part)) {
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
        } else if (message instanceof NodeMessage.ReadyForQuery && resultComplete && !inRows()) {
            return Progress.COMPLETE;
        }
        return message instanceof NodeMessage.Notification ? Progress.INCOMPLETE : Progress.OUT_OF_ORDER;
    }

    /** A DataRow has the columns that were described; what begins a result comes between two results only. */
    private boolean fitsResult(NodeMessage.ResultMessage part) {
        return switch (part.type()) {
            case 'D' -> part.columnCount() == columnCount;
            case 'C' -> true;
            default -> !inRows();
        };
    }

    private boolean inRows() {
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

    /** Releases the memory reserved for this answer; the messages stay until the next one begins. */
    void releaseMemory() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    /** The messages for the client, as they came. */
    List<byte[]> messages() {
        return messages;
    }

    /** The value of the one row of the fixed form, or null where none has come. */
    String rowValue() {
        return dataRow == null ? null : dataRow.firstColumn();
    }

    /** Code of the error in this answer, or null. */
    String sqlState() {
        return sqlState;
    }
}
