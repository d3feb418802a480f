package clayhook.scattergather;

import java.util.ArrayDeque;

/** One part in one gather: what was asked of it, what came, and how it ended. */
final class PartStream {
    final GatherPart part;
    /** What came and was not taken yet; emptied by the merge and at the end, bounded by credit. */
    final ArrayDeque<Row> buffer = new ArrayDeque<>();
    /** Rows that may still be handed in. */
    int owed;
    /** Rows that came. */
    long rows;
    /** Rows that are in the answer, or lost there against their copies. */
    long counted;
    /** The one that came last, for the order; null for none. */
    Row last;

    boolean described;
    /** Nothing more comes, for whatever reason. */
    boolean over;
    /** Not all that it may have came. */
    boolean shortened;
    /** The answer would have gone on with rows that never came. */
    boolean dry;
    /** It may have more than was asked for. */
    boolean deeper;
    /** Others are enough. */
    boolean spare;
    /** As counted in the gather: enough is known of it to begin, it counts for a quorum, it is lost for the answer. */
    boolean ready;

    boolean firm;
    boolean lost;
    double position = Double.NEGATIVE_INFINITY;
    /** Why it did not come to its end. */
    GatherResult.PartStatus fall;

    String why = "";
    GatherFault fault;
    private long held;
    private double spent;
    private double since = Double.NaN;

    PartStream(GatherPart part) {
        this.part = part;
    }

    /** It is asked anew; the time that it took already stays spent. */
    void reset() {
        buffer.clear();
        held = 0;
        owed = 0;
        rows = 0;
        last = null;
        described = false;
        position = Double.NEGATIVE_INFINITY;
    }

    /** It takes no further part, and what is not in the answer yet never will be. */
    void fall(GatherResult.PartStatus standing, String reason, GatherFault wrong) {
        over = true;
        shortened = true;
        fall = standing;
        why = reason;
        fault = wrong;
    }

    /** It ended, or is at the depth that it was asked for. */
    void end(boolean mayHaveMore) {
        over = true;
        shortened = mayHaveMore;
        deeper = mayHaveMore;
    }

    void put(Row row) {
        buffer.add(row);
        held += row.weight();
    }

    Row poll() {
        Row row = buffer.poll();
        counted++;
        held -= row.weight();
        return row;
    }

    void clear() {
        buffer.clear();
        held = 0;
    }

    /** Memory of its buffer. */
    long held() {
        return held;
    }

    /**
     * How many rows more there is room for, if each is as long as any may be; none while half of what could be is out.
     */
    int room(int rowsAhead, long bytesAhead, long heaviest, long useful) {
        if (owed > (rowsAhead >> 1) || owed * heaviest > ((bytesAhead - held) >> 1)) {
            return 0;
        }
        return (int) Math.max(
                0, Math.min(Math.min(rowsAhead, useful) - buffer.size(), (bytesAhead - held) / heaviest) - owed);
    }

    private boolean running() {
        return !over && owed > 0;
    }

    /**
     * Time runs while it owes rows. What came since the clock was told last counts as having come then: in favour of
     * the part.
     */
    void clock(double now) {
        if (!Double.isNaN(since)) {
            spent += Math.max(0, now - since);
        }
        since = running() ? now : Double.NaN;
    }

    /** Its time stops if it owes nothing now; it runs again when the clock is told next. */
    void rest() {
        since = running() ? since : Double.NaN;
    }

    /** When it will be late if nothing comes. */
    double due(double patience) {
        return Double.isNaN(since) ? Double.POSITIVE_INFINITY : since + patience - spent;
    }

    boolean late(double patience) {
        return !over && spent >= patience;
    }
}
