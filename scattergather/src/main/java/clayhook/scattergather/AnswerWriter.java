package clayhook.scattergather;

import java.util.List;

/** Emits the answer up to its limits, as fast as the receiver requests rows. */
final class AnswerWriter {
    private final GatherActions actions;
    private final Limit limit;
    private long requested;
    private long rows;
    private long bytes;
    private boolean tooLong;
    private boolean started;

    AnswerWriter(GatherActions actions, Limit limit) {
        this.actions = actions;
        this.limit = limit;
    }

    void request(long more) {
        requested += Math.min(more, Long.MAX_VALUE - requested);
    }

    boolean isBlocked() {
        return requested == 0;
    }

    /** Whether the answer has reached one of its limits. */
    boolean isFull() {
        return tooLong || rows >= limit.rows();
    }

    /** Maximum number of rows that can still be emitted. */
    long remaining() {
        return limit.rows() - rows;
    }

    void begin(List<Column> columns) {
        if (!started) {
            started = true;
            actions.columns(columns);
        }
    }

    /** Emits a row; must not be called while the writer is blocked or full. */
    void emit(byte[] row) {
        tooLong = row.length > limit.bytes() - bytes;
        if (!tooLong) {
            requested--;
            rows++;
            bytes += row.length;
            actions.emit(row);
        }
    }

    long rows() {
        return rows;
    }

    GatherResult.Truncation.Where where() {
        return tooLong
                ? GatherResult.Truncation.Where.BYTES
                : rows >= limit.rows() ? GatherResult.Truncation.Where.ROWS : GatherResult.Truncation.Where.NONE;
    }
}
