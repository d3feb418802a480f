package clayhook.fleet.members;

/** How far this router trusts itself when others seem silent. */
final class Health {
    /**
     * Patience grows to four times. Lifeguard goes to nine times, where a fleet cut in two took half a minute to
     * notice.
     */
    private static final int WORST = 3;
    /** Seconds of doubt after a stand, however long: what waits at the door has been read by then. */
    private static final double LONGEST_DOUBT = 5;

    private final double late;
    private final double leastDoubt;
    private int score;
    private double wanted = Double.POSITIVE_INFINITY;
    private double doubtUntil = Double.NEGATIVE_INFINITY;

    Health(MemberSettings settings) {
        late = settings.late();
        leastDoubt = 2 * settings.period();
    }

    /** A turn is wanted then. */
    double wants(double next) {
        wanted = next;
        return next;
    }

    /** Whether this router has just come out of a stand: a turn is long overdue. */
    boolean stood(double now) {
        double stood = now - wanted;
        if (stood <= late) {
            return false;
        }
        wanted = now;
        doubtUntil = now + Math.min(LONGEST_DOUBT, Math.max(leastDoubt, stood));
        worse();
        return true;
    }

    boolean doubtful(double now) {
        return now < doubtUntil;
    }

    /** Others answer. */
    void better() {
        score = Math.max(0, score - 1);
    }

    /** Others took this router for dead, or neither a member nor any of its helpers answered. */
    void worse() {
        score = Math.min(WORST, score + 1);
    }

    /** By how much its waits are longer. */
    double patience() {
        return 1 + score;
    }
}
