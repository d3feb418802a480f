package clayhook.fleet.state;

/**
 * How far this copy has what one life of one member put in. The member numbers what it puts in from 1 on. A pair of a
 * count and a time says that it had put in so many as its clock showed that; when all up to the count are here, the
 * copy is certain up to that time. 100 bytes, and 128 more once something came out of order.
 */
final class OriginProgress {
    /** Numbers that may come ahead of a missing one; what is further ahead counts as missing. */
    private static final int OUT_OF_ORDER_WINDOW = 1024;

    final long originId;
    /** All up to that number are here. */
    private long contiguousSequence;
    /** Which of the next ones are here too, a bit each, by the number's last ten bits. */
    private long[] outOfOrder;
    /** The latest pair that holds here. */
    private long confirmedSequence;

    private double confirmedAsOf = Double.NEGATIVE_INFINITY;
    /**
     * The first pair heard that does not hold yet, and the last: to wait for the last alone would never end under news.
     */
    private long pendingSequence;

    private double pendingAsOf = Double.NaN;
    private long latestSequence;
    private double latestAsOf;
    /** When each of the two came. */
    private double pendingSince;

    private double latestSince;
    /** When anything of it came. */
    double lastActivityAt;

    OriginProgress(long id) {
        this.originId = id;
    }

    /** Before that it put nothing in. */
    void onIncarnationStart(double boot) {
        confirmedAsOf = Math.max(confirmedAsOf, boot);
    }

    double confirmedAsOf() {
        return confirmedAsOf;
    }

    long confirmedSequence() {
        return confirmedSequence;
    }

    /** Whether something it put in has been missing here for longer than that. */
    boolean hasGapLongerThan(double longer, double now) {
        return confirmedAsOf == Double.NEGATIVE_INFINITY || !Double.isNaN(pendingAsOf) && now - pendingSince > longer;
    }

    /** What it put in under that number is here. Returns whether that is new. */
    boolean markReceived(long number) {
        if (number <= contiguousSequence
                || number > contiguousSequence + OUT_OF_ORDER_WINDOW
                || outOfOrder != null && isReceivedOutOfOrder(number)) {
            return false;
        }
        outOfOrder = outOfOrder == null && number > contiguousSequence + 1
                ? new long[OUT_OF_ORDER_WINDOW / Long.SIZE]
                : outOfOrder;
        if (number > contiguousSequence + 1) {
            outOfOrder[wordIndex(number)] |= 1L << number;
        } else {
            contiguousSequence++;
            absorbOutOfOrder();
        }
        return true;
    }

    private void absorbOutOfOrder() {
        while (outOfOrder != null && isReceivedOutOfOrder(contiguousSequence + 1)) {
            contiguousSequence++;
            outOfOrder[wordIndex(contiguousSequence)] &= ~(1L << contiguousSequence);
        }
        confirmPending();
    }

    private boolean isReceivedOutOfOrder(long number) {
        return (outOfOrder[wordIndex(number)] >>> number & 1) != 0;
    }

    private static int wordIndex(long number) {
        return (int) (number & OUT_OF_ORDER_WINDOW - 1) / Long.SIZE;
    }

    /** It had put in so many at that time. */
    void observe(long count, double asOf, double now) {
        if (count <= contiguousSequence) {
            confirmedAsOf(count, asOf);
        } else if (asOf > confirmedAsOf && (Double.isNaN(pendingAsOf) || asOf > latestAsOf)) {
            latestSequence = count;
            latestAsOf = asOf;
            latestSince = now;
            if (Double.isNaN(pendingAsOf)) {
                awaitLatest();
            }
        }
    }

    /** All of them are here, since this copy has all that another one had that had them. */
    void markComplete(long count, double asOf) {
        if (count > contiguousSequence) {
            for (long number = contiguousSequence + 1;
                    outOfOrder != null && number <= Math.min(count, contiguousSequence + OUT_OF_ORDER_WINDOW);
                    number++) {
                outOfOrder[wordIndex(number)] &= ~(1L << number);
            }
            contiguousSequence = count;
            absorbOutOfOrder();
        }
        confirmedAsOf(count, asOf);
    }

    private void confirmedAsOf(long count, double asOf) {
        if (asOf > confirmedAsOf) {
            confirmedAsOf = asOf;
            confirmedSequence = Math.max(confirmedSequence, count);
        }
    }

    private void confirmPending() {
        if (!Double.isNaN(pendingAsOf) && pendingSequence <= contiguousSequence) {
            confirmedAsOf(pendingSequence, pendingAsOf);
            pendingAsOf = Double.NaN;
            if (latestSequence <= contiguousSequence) {
                confirmedAsOf(latestSequence, latestAsOf);
            } else {
                awaitLatest();
            }
        }
    }

    private void awaitLatest() {
        pendingSequence = latestSequence;
        pendingAsOf = latestAsOf;
        pendingSince = latestSince;
    }
}
