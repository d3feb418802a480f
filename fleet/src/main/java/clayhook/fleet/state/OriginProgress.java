package clayhook.fleet.state;

/**
 * Which updates of one origin, that is of one incarnation of one member, have arrived here. The origin numbers its
 * updates from 1 on and states from time to time what its last sequence number was at which time. Once all updates up
 * to that number are here, the statement is confirmed: the replica is complete for this origin up to that time.
 *
 * <p>Times are seconds since 1970; those of statements are on the origin's clock, all others on this router's. Takes
 * 100 bytes, and 128 more once an update arrived out of order. Not thread-safe.
 */
final class OriginProgress {
    /** An update that is further ahead of a missing one counts as missing too. */
    private static final int OUT_OF_ORDER_WINDOW = 1024;

    final long originId;
    /** All updates up to this one are here. */
    private long contiguousSequence;
    /** A bit for each update of the window behind it, by the last ten bits of its number; null until one is needed. */
    private long[] outOfOrder;
    /** The latest confirmed statement. */
    private long confirmedSequence;

    private double confirmedAsOf = Double.NEGATIVE_INFINITY;
    /**
     * The first statement that is not confirmed yet, with NaN for none, and the latest one. To wait for the latest
     * alone would never end while new updates keep coming.
     */
    private long pendingSequence;

    private double pendingAsOf = Double.NaN;
    private double pendingSince;
    private long latestSequence;
    private double latestAsOf;
    private double latestSince;
    /** When anything of this origin was asked for or arrived last. */
    double lastActivityAt;

    OriginProgress(long originId) {
        this.originId = originId;
    }

    /** The origin made no update before that time. */
    void onIncarnationStart(double startedAt) {
        confirmedAsOf = Math.max(confirmedAsOf, startedAt);
    }

    /** Up to when all updates of the origin are here; negative infinity while that is unknown. */
    double confirmedAsOf() {
        return confirmedAsOf;
    }

    /** The last sequence number at {@link #confirmedAsOf()}. */
    long confirmedSequence() {
        return confirmedSequence;
    }

    /**
     * Whether a statement has waited for missing updates for longer than that many seconds, or none was ever confirmed.
     */
    boolean hasGapLongerThan(double seconds, double now) {
        return confirmedAsOf == Double.NEGATIVE_INFINITY || (hasPending() && now - pendingSince > seconds);
    }

    private boolean hasPending() {
        return !Double.isNaN(pendingAsOf);
    }

    /** Notes that an update is here. Returns whether it was missing. */
    boolean markReceived(long sequence) {
        if (sequence <= contiguousSequence || sequence > contiguousSequence + OUT_OF_ORDER_WINDOW) {
            return false;
        }
        if (isReceivedOutOfOrder(sequence)) {
            return false;
        }
        if (sequence == contiguousSequence + 1) {
            contiguousSequence = sequence;
            absorbOutOfOrder();
        } else {
            markOutOfOrder(sequence);
        }
        return true;
    }

    /** Notes what the origin states to have been its last sequence number at that time. */
    void observe(long sequence, double asOf, double now) {
        if (sequence <= contiguousSequence) {
            confirm(sequence, asOf);
            return;
        }
        if (asOf > confirmedAsOf && (!hasPending() || asOf > latestAsOf)) {
            latestSequence = sequence;
            latestAsOf = asOf;
            latestSince = now;
            if (!hasPending()) {
                awaitLatest();
            }
        }
    }

    /** Notes that all updates up to that one are here, since this replica now holds all that one with them held. */
    void markComplete(long sequence, double asOf) {
        if (sequence > contiguousSequence) {
            clearOutOfOrderUpTo(sequence);
            contiguousSequence = sequence;
            absorbOutOfOrder();
        }
        confirm(sequence, asOf);
    }

    // ---- statements ----

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
            awaitLatest();
        }
    }

    private void awaitLatest() {
        pendingSequence = latestSequence;
        pendingAsOf = latestAsOf;
        pendingSince = latestSince;
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

    /** Closes the gap as far as the updates behind it are here, and confirms what then can be. */
    private void absorbOutOfOrder() {
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
