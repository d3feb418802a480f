package clayhook.fleet.members;

/**
 * How far this router can trust its own view of others: the local health multiplier of Lifeguard, and the time after a
 * stall of this process in which it accuses nobody. Not thread-safe.
 */
final class LocalHealth {
    /**
     * Timeouts grow to four times. Lifeguard allows nine times, with which a partitioned fleet took half a minute to
     * notice the partition.
     */
    private static final int MAX_SCORE = 3;
    /** Bound of the recovery after a stall of any length: what queued up at the socket has been read by then. */
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

    /** Notes when the next tick is due, and returns that time. */
    double expectTickAt(double next) {
        expectedTickAt = next;
        return next;
    }

    /** Returns whether this process was stalled until now: a tick is overdue by more than the threshold. */
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

    /** Whether a stall ended so recently that silence of others proves nothing. */
    boolean recentlyStalled(double now) {
        return now < recoveringUntil;
    }

    /** Another member has answered. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Others suspected this router, or neither a member nor any of those asked to ping it have answered. */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Returns the factor by which this router's probe timeouts are extended, from 1. */
    double timeoutMultiplier() {
        return 1 + score;
    }
}
