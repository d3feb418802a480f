package clayhook.fleet.members;

/**
 * Health of this router itself: the local health multiplier of Lifeguard, and the recovery period after a stall of this
 * process, during which it suspects no member. Not thread-safe.
 */
final class LocalHealth {
    /**
     * Maximum score, which extends timeouts by a factor of four; a healthy router has score 0. Lifeguard allows a
     * factor of nine, with which a partitioned fleet took half a minute to detect the partition.
     */
    private static final int MAX_SCORE = 3;
    /**
     * Maximum recovery period after a stall of any length. The packets that were queued at the socket have been read by
     * then.
     */
    private static final double MAX_RECOVERY_SECONDS = 5;

    private static final int MIN_RECOVERY_INTERVALS = 2;

    private final double stallThreshold;
    private final double minRecoverySeconds;
    private int score;
    private double expectedTickAt = Double.POSITIVE_INFINITY;
    private double recoveringUntil = Double.NEGATIVE_INFINITY;

    LocalHealth(MembershipSettings settings) {
        stallThreshold = settings.stallThreshold();
        minRecoverySeconds = MIN_RECOVERY_INTERVALS * settings.probeInterval();
    }

    /** Records when the next tick is due, and returns that time. */
    double expectTickAt(double next) {
        expectedTickAt = next;
        return next;
    }

    /**
     * Returns whether this process was stalled until now, which is the case if a tick is overdue by more than the
     * threshold. Starts the recovery period if so.
     */
    boolean detectStall(double now) {
        double overdue = now - expectedTickAt;
        if (overdue <= stallThreshold) {
            return false;
        }
        expectedTickAt = now;
        recoveringUntil = now + Math.min(MAX_RECOVERY_SECONDS, Math.max(minRecoverySeconds, overdue));
        degrade();
        return true;
    }

    /** Returns whether a stall ended so recently that missing messages do not indicate failures of other members. */
    boolean recentlyStalled(double now) {
        return now < recoveringUntil;
    }

    /** Decreases the score by one, to no less than 0, after another member has answered. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /**
     * Increases the score by one, up to the maximum, after a stall, after others have suspected this router or claimed
     * it dead, or after neither a probed member nor any member requested to ping it has answered.
     */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Returns the factor by which this router's probe timeouts are extended, at least 1. */
    double timeoutMultiplier() {
        return 1 + score;
    }
}
