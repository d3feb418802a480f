package clayhook.fleet.state;

/**
 * Tracks which updates of one origin this replica has received. An origin is one incarnation of a member. It numbers
 * its updates from 1 and regularly announces its last sequence number together with the time. An announcement is
 * confirmed once all updates up to its sequence number were received: the replica is then complete for this origin up
 * to the announced time.
 *
 * <p>Times are in seconds since 1970: those of announcements on the origin's clock, all others on this router's clock.
 * Takes 100 bytes, and 128 more after the first update that arrives out of order. Not thread-safe.
 */
final class OriginProgress {
    /**
     * Maximum distance of an update from the last contiguous one at which it is recorded. An update further ahead
     * counts as missing.
     */
    private static final int OUT_OF_ORDER_WINDOW = 1024;

    final long originId;
    /** The sequence number up to which all updates were received. */
    private long contiguousSequence;
    /**
     * A bit for each received update after {@link #contiguousSequence}, indexed by the last ten bits of its sequence
     * number; null before the first update that arrives out of order.
     */
    private long[] outOfOrder;
    /** The sequence number of the latest confirmed announcement. */
    private long confirmedSequence;

    private double confirmedAsOf = Double.NEGATIVE_INFINITY;
    /**
     * The sequence number of the first unconfirmed announcement; {@link #pendingAsOf} is NaN if there is none. It is
     * kept in addition to the latest announcement, since waiting only for the latest one would not end while new
     * updates are announced.
     */
    private long pendingSequence;

    private double pendingAsOf = Double.NaN;
    private double pendingReceivedAt;
    private long latestSequence;
    private double latestAsOf;
    private double latestReceivedAt;
    /** The time at which information about this origin was last received or the membership began to list it. */
    double lastActivityAt;

    OriginProgress(long originId) {
        this.originId = originId;
    }

    /** Records that the origin made no update before the start of its incarnation. */
    void onIncarnationStart(double startedAt) {
        confirmedAsOf = Math.max(confirmedAsOf, startedAt);
    }

    /** The time up to which all updates of the origin were received; negative infinity if unknown. */
    double confirmedAsOf() {
        return confirmedAsOf;
    }

    /** The origin's last sequence number at {@link #confirmedAsOf()}. */
    long confirmedSequence() {
        return confirmedSequence;
    }

    /**
     * Whether an announcement has been unconfirmed for longer than the given number of seconds, or none was ever
     * confirmed.
     */
    boolean hasGapLongerThan(double seconds, double now) {
        return confirmedAsOf == Double.NEGATIVE_INFINITY || (hasPending() && now - pendingReceivedAt > seconds);
    }

    private boolean hasPending() {
        return !Double.isNaN(pendingAsOf);
    }

    /** Records that an update was received. Returns whether it was missing before. */
    boolean markReceived(long sequence) {
        if (sequence <= contiguousSequence || sequence > contiguousSequence + OUT_OF_ORDER_WINDOW) {
            return false;
        }
        if (isReceivedOutOfOrder(sequence)) {
            return false;
        }
        if (sequence == contiguousSequence + 1) {
            contiguousSequence = sequence;
            advanceOverOutOfOrder();
        } else {
            markOutOfOrder(sequence);
        }
        return true;
    }

    /** Processes an announcement: {@code sequence} was the origin's last sequence number at {@code asOf}. */
    void observe(long sequence, double asOf, double now) {
        if (sequence <= contiguousSequence) {
            confirm(sequence, asOf);
            return;
        }
        if (asOf > confirmedAsOf && (!hasPending() || asOf > latestAsOf)) {
            latestSequence = sequence;
            latestAsOf = asOf;
            latestReceivedAt = now;
            if (!hasPending()) {
                makeLatestPending();
            }
        }
    }

    /**
     * Records that all updates up to a sequence number were received, since this replica now has all entries of a
     * replica that had these updates.
     */
    void markComplete(long sequence, double asOf) {
        if (sequence > contiguousSequence) {
            clearOutOfOrderUpTo(sequence);
            contiguousSequence = sequence;
            advanceOverOutOfOrder();
        }
        confirm(sequence, asOf);
    }

    // ---- announcements ----

    private void confirm(long sequence, double asOf) {
        if (asOf > confirmedAsOf) {
            confirmedAsOf = asOf;
            confirmedSequence = Math.max(confirmedSequence, sequence);
        }
    }

    private void confirmPending() {
        if (!hasPending() || pendingSequence > contiguousSequence) {
            return;
        }
        confirm(pendingSequence, pendingAsOf);
        pendingAsOf = Double.NaN;
        if (latestSequence <= contiguousSequence) {
            confirm(latestSequence, latestAsOf);
        } else {
            makeLatestPending();
        }
    }

    private void makeLatestPending() {
        pendingSequence = latestSequence;
        pendingAsOf = latestAsOf;
        pendingReceivedAt = latestReceivedAt;
    }

    // ---- updates that arrived out of order ----

    private boolean isReceivedOutOfOrder(long sequence) {
        return outOfOrder != null && (outOfOrder[wordIndex(sequence)] & bit(sequence)) != 0;
    }

    private void markOutOfOrder(long sequence) {
        if (outOfOrder == null) {
            outOfOrder = new long[OUT_OF_ORDER_WINDOW / Long.SIZE];
        }
        outOfOrder[wordIndex(sequence)] |= bit(sequence);
    }

    private void clearOutOfOrder(long sequence) {
        outOfOrder[wordIndex(sequence)] &= ~bit(sequence);
    }

    private void clearOutOfOrderUpTo(long lastSequence) {
        if (outOfOrder == null) {
            return;
        }
        long last = Math.min(lastSequence, contiguousSequence + OUT_OF_ORDER_WINDOW);
        for (long sequence = contiguousSequence + 1; sequence <= last; sequence++) {
            clearOutOfOrder(sequence);
        }
    }

    /**
     * Advances the contiguous sequence number over updates that arrived out of order, and confirms announcements that
     * it reaches.
     */
    private void advanceOverOutOfOrder() {
        while (isReceivedOutOfOrder(contiguousSequence + 1)) {
            contiguousSequence++;
            clearOutOfOrder(contiguousSequence);
        }
        confirmPending();
    }

    private static int wordIndex(long sequence) {
        return (int) (sequence & OUT_OF_ORDER_WINDOW - 1) / Long.SIZE;
    }

    private static long bit(long sequence) {
        return 1L << sequence;
    }
}
