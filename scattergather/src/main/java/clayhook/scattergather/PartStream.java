package clayhook.scattergather;

import java.util.ArrayDeque;

/** State of one part in a gather: the credit granted to it, the rows received from it and the way it ended. */
final class PartStream {
    final GatherPart part;
    /** Received rows that have not been merged yet. Bounded by the credit; cleared when the part or the gather ends. */
    final ArrayDeque<Row> buffer = new ArrayDeque<>();
    /** Number of rows that the part may still send. */
    int credit;
    /** Number of rows received. */
    long rows;
    /** Number of rows that have been merged: emitted, or superseded by a duplicate. */
    long usedRows;
    /** Last row received, for the check of the order; null if there is none or order is not checked. */
    Row lastRow;

    boolean described;
    /** Whether no more rows are accepted, for any reason. */
    boolean ended;
    /** Whether rows of the part may be missing. */
    boolean truncated;
    /** Whether the merge needed rows of the part that were not received. */
    boolean missingRows;
    /** Whether the part reached the requested depth and may have more rows. */
    boolean depthReached;
    /** Whether the part is not needed because other parts satisfy the completion policy. */
    boolean spare;
    /**
     * Properties as last counted by the gather: enough is known of the part to start the merge; it counts towards a
     * quorum; its rows are lost for the answer.
     */
    boolean ready;

    boolean countsForQuorum;
    boolean lost;
    double position = Double.NEGATIVE_INFINITY;
    /** Why the part ended early, MISSING or LATE; null if it did not. */
    GatherResult.PartStatus failure;

    String reason = "";
    GatherFault fault;
    private long bufferedBytes;
    private double elapsed;
    private double runningSince = Double.NaN;

    PartStream(GatherPart part) {
        this.part = part;
    }

    /** Resets the stream for another attempt. The time already spent stays counted. */
    void reset() {
        buffer.clear();
        bufferedBytes = 0;
        credit = 0;
        rows = 0;
        lastRow = null;
        described = false;
        position = Double.NEGATIVE_INFINITY;
    }

    /** Ends the part early; its rows that have not been merged are not used. */
    void fail(GatherResult.PartStatus status, String message, GatherFault partFault) {
        ended = true;
        truncated = true;
        failure = status;
        reason = message;
        fault = partFault;
    }

    /** Ends the part after its last row, or at the requested depth. */
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

    /** Bytes of memory of the buffered rows. */
    long bufferedBytes() {
        return bufferedBytes;
    }

    /**
     * Number of additional rows to grant, assuming that each row has the maximum weight. Returns 0 while more than half
     * of the possible credit is outstanding, so that credit is granted in batches.
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
     * Advances the clock of the part, which runs while the part has credit. Events since the previous update count as
     * if they had occurred at that update, in favor of the part.
     */
    void updateClock(double now) {
        if (!Double.isNaN(runningSince)) {
            elapsed += Math.max(0, now - runningSince);
        }
        runningSince = owesRows() ? now : Double.NaN;
    }

    /**
     * Stops the clock if the part has no credit left; the next {@link #updateClock} starts it again if the part has
     * credit.
     */
    void stopClockIfIdle() {
        runningSince = owesRows() ? runningSince : Double.NaN;
    }

    /** Time at which the part becomes late without further events; positive infinity while its clock is stopped. */
    double dueTime(double partTimeout) {
        return Double.isNaN(runningSince) ? Double.POSITIVE_INFINITY : runningSince + partTimeout - elapsed;
    }

    boolean isLate(double partTimeout) {
        return !ended && elapsed >= partTimeout;
    }
}
