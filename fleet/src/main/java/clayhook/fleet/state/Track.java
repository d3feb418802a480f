package clayhook.fleet.state;

/**
 * How far this copy has what one life of one member put in. The member numbers what it puts in from 1 on. A pair of a
 * count and a time says that it had put in so many as its clock showed that; when all up to the count are here, the
 * copy is certain up to that time. 100 bytes, and 128 more once something came out of order.
 */
final class Track {
    /** Numbers that may come ahead of a missing one; what is further ahead counts as missing. */
    private static final int AHEAD = 1024;

    final long id;
    /** All up to that number are here. */
    private long upTo;
    /** Which of the next ones are here too, a bit each, by the number's last ten bits. */
    private long[] ahead;
    /** The latest pair that holds here. */
    private long sureCount;

    private double sure = Double.NEGATIVE_INFINITY;
    /**
     * The first pair heard that does not hold yet, and the last: to wait for the last alone would never end under news.
     */
    private long waitCount;

    private double wait = Double.NaN;
    private long lastCount;
    private double last;
    /** When each of the two came. */
    private double waitSince;

    private double lastSince;
    /** When anything of it came. */
    double touched;

    Track(long id) {
        this.id = id;
    }

    /** Before that it put nothing in. */
    void began(double boot) {
        sure = Math.max(sure, boot);
    }

    double sure() {
        return sure;
    }

    long sureCount() {
        return sureCount;
    }

    /** Whether something it put in has been missing here for longer than that. */
    boolean lacks(double longer, double now) {
        return sure == Double.NEGATIVE_INFINITY || !Double.isNaN(wait) && now - waitSince > longer;
    }

    /** What it put in under that number is here. Returns whether that is new. */
    boolean holds(long number) {
        if (number <= upTo || number > upTo + AHEAD || ahead != null && bit(number)) {
            return false;
        }
        ahead = ahead == null && number > upTo + 1 ? new long[AHEAD / Long.SIZE] : ahead;
        if (number > upTo + 1) {
            ahead[word(number)] |= 1L << number;
        } else {
            upTo++;
            advance();
        }
        return true;
    }

    private void advance() {
        while (ahead != null && bit(upTo + 1)) {
            upTo++;
            ahead[word(upTo)] &= ~(1L << upTo);
        }
        settle();
    }

    private boolean bit(long number) {
        return (ahead[word(number)] >>> number & 1) != 0;
    }

    private static int word(long number) {
        return (int) (number & AHEAD - 1) / Long.SIZE;
    }

    /** It had put in so many at that time. */
    void told(long count, double asOf, double now) {
        if (count <= upTo) {
            sure(count, asOf);
        } else if (asOf > sure && (Double.isNaN(wait) || asOf > last)) {
            lastCount = count;
            last = asOf;
            lastSince = now;
            if (Double.isNaN(wait)) {
                waitForLast();
            }
        }
    }

    /** All of them are here, since this copy has all that another one had that had them. */
    void has(long count, double asOf) {
        if (count > upTo) {
            for (long number = upTo + 1; ahead != null && number <= Math.min(count, upTo + AHEAD); number++) {
                ahead[word(number)] &= ~(1L << number);
            }
            upTo = count;
            advance();
        }
        sure(count, asOf);
    }

    private void sure(long count, double asOf) {
        if (asOf > sure) {
            sure = asOf;
            sureCount = Math.max(sureCount, count);
        }
    }

    private void settle() {
        if (!Double.isNaN(wait) && waitCount <= upTo) {
            sure(waitCount, wait);
            wait = Double.NaN;
            if (lastCount <= upTo) {
                sure(lastCount, last);
            } else {
                waitForLast();
            }
        }
    }

    private void waitForLast() {
        waitCount = lastCount;
        wait = last;
        waitSince = lastSince;
    }
}
