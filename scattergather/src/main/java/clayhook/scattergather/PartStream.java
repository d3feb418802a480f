package clayhook.scattergather;

import java.util.ArrayDeque;

/** One part in one gather: what was asked of it, what came, and how it ended. */
final class PartStream {
    final GatherPart part;
    /** What came and was not taken yet; emptied by the merge and at the end, bounded by credit. */
    final ArrayDeque<Row> buffer = new ArrayDeque<>();
    /** Rows that may still be handed in. */
    int credit;
    /** Rows that came. */
    long rows;
    /** Rows that are in the answer, or lost there against their copies. */
    long usedRows;
    /** The one that came last, for the order; null for none. */
    Row lastRow;

    boolean described;
    /** Nothing more comes, for whatever reason. */
    boolean ended;
    /** Not all that it may have came. */
    boolean truncated;
    /** The answer would have gone on with rows that never came. */
    boolean missingRows;
    /** It may have more than was asked for. */
    boolean depthReached;
    /** Others are enough. */
    boolean spare;
    /** As counted in the gather: enough is known of it to begin, it counts for a quorum, it is lost for the answer. */
    boolean ready;

    boolean countsForQuorum;
    boolean lost;
    double position = Double.NEGATIVE_INFINITY;
    /** Why it did not come to its end. */
    GatherResult.PartStatus failure;

    String reason = "";
    GatherFault fault;
    private long bufferedBytes;
    private double elapsed;
    private double runningSince = Double.NaN;

    PartStream(GatherPart part) {
        this.part = part;
    }

    /** It is asked anew; the time that it took already stays spent. */
    void reset() {
        buffer.clear();
        bufferedBytes = 0;
        credit = 0;
        rows = 0;
        lastRow = null;
        described = false;
        position = Double.NEGATIVE_INFINITY;
    }

    /** It takes no further part, and what is not in the answer yet never will be. */
    void fail(GatherResult.PartStatus status, String message, GatherFault partFault) {
        ended = true;
        truncated = true;
        failure = status;
        reason = message;
        fault = partFault;
    }

    /** It ended, or is at the depth that it was asked for. */
    void end(boolean mayHaveMore) {
        ended = true;
        truncated = mayHaveMore;
        depthReached = mayHaveMore;
    }

    void put(Row row) {
        buffer.add(row);
        bufferedBytes += row.weight();
    }

    Row poll() {
        Row row = buffer.poll();
        usedRows++;
        bufferedBytes -= row.weight();
        return row;
    }

    void clear() {
        buffer.clear();
        bufferedBytes = 0;
    }

    /** Memory of its buffer. */
    long bufferedBytes() {
        return bufferedBytes;
    }

    /**
     * How many rows more there is room for, if each is as long as any may be; none while half of what could be is out.
     */
    int creditToGrant(int rowsAhead, long bytesAhead, long maxRowWeight, long usefulRows) {
        if (credit > (rowsAhead >> 1) || credit * maxRowWeight > ((bytesAhead - bufferedBytes) >> 1)) {
            return 0;
        }
        return (int) Math.max(
                0,
                Math.min(Math.min(rowsAhead, usefulRows) - buffer.size(), (bytesAhead - bufferedBytes) / maxRowWeight)
                        - credit);
    }

    private boolean owesRows() {
        return !ended && credit > 0;
    }

    /**
     * Time runs while it owes rows. What came since the clock was told last counts as having come then: in favour of
     * the part.
     */
    void updateClock(double now) {
        if (!Double.isNaN(runningSince)) {
            elapsed += Math.max(0, now - runningSince);
        }
        runningSince = owesRows() ? now : Double.NaN;
    }

    /** Its time stops if it owes nothing now; it runs again when the clock is told next. */
    void stopClockIfIdle() {
        runningSince = owesRows() ? runningSince : Double.NaN;
    }

    /** When it will be late if nothing comes. */
    double due(double partTimeout) {
        return Double.isNaN(runningSince) ? Double.POSITIVE_INFINITY : runningSince + partTimeout - elapsed;
    }

    boolean late(double partTimeout) {
        return !ended && elapsed >= partTimeout;
    }
}
