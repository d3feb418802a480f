package clayhook.scattergather;

import java.util.List;

/** The answer on its way out: as much as there is room for, up to its limit. */
final class AnswerWriter {
    private final GatherActions acts;
    private final Limit limit;
    private long room;
    private long rows;
    private long bytes;
    private boolean tooLong;
    private boolean begun;

    AnswerWriter(GatherActions acts, Limit limit) {
        this.acts = acts;
        this.limit = limit;
    }

    void room(long more) {
        room += Math.min(more, Long.MAX_VALUE - room);
    }

    boolean blocked() {
        return room == 0;
    }

    /** Nothing more belongs to the answer. */
    boolean full() {
        return tooLong || rows >= limit.rows();
    }

    /** How many rows still belong to it at the most. */
    long left() {
        return limit.rows() - rows;
    }

    void begin(List<Column> columns) {
        if (!begun) {
            begun = true;
            acts.columns(columns);
        }
    }

    /** Not while it is blocked or full. */
    void emit(byte[] row) {
        tooLong = row.length > limit.bytes() - bytes;
        if (!tooLong) {
            room--;
            rows++;
            bytes += row.length;
            acts.emit(row);
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
