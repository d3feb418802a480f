package clayhook.fleet.members;

/** How far this router trusts itself when others seem silent. */
final class LocalHealth {
    /**
     * Patience grows to four times. Lifeguard goes to nine times, where a fleet cut in two took half a minute to
     * notice.
     */
    private static final int MAX_SCORE = 3;
    /** Seconds of doubt after a stand, however long: what waits at the door has been read by then. */
    private static final double MAX_RECOVERY_SECONDS = 5;

    private final double stallThreshold;
    private final double minRecoverySeconds;
    private int score;
    private double expectedTickAt = Double.POSITIVE_INFINITY;
    private double recoveringUntil = Double.NEGATIVE_INFINITY;

    LocalHealth(MembershipSettings settings) {
        stallThreshold = settings.stallThreshold();
        minRecoverySeconds = 2 * settings.probeInterval();
    }

    /** A turn is wanted then. */
    double expectTickAt(double next) {
        expectedTickAt = next;
        return next;
    }

    /** Whether this router has just come out of a stand: a turn is long overdue. */
    boolean detectStall(double now) {
        double stood = now - expectedTickAt;
        if (stood <= stallThreshold) {
            return false;
        }
        expectedTickAt = now;
        recoveringUntil = now + Math.min(MAX_RECOVERY_SECONDS, Math.max(minRecoverySeconds, stood));
        degrade();
        return true;
    }

    boolean recentlyStalled(double now) {
        return now < recoveringUntil;
    }

    /** Others answer. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Others took this router for dead, or neither a member nor any of its helpers answered. */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** By how much its waits are longer. */
    double timeoutMultiplier() {
        return 1 + score;
    }
}
