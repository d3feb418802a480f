package clayhook.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * What this router has granted to others: one rollout at a time, so that no two are in force with majorities that meet.
 */
final class LeaseGrants {
    /** By how much two routers' clocks may differ in speed; ours are led by one part in 200. */
    static final double MAX_CLOCK_DRIFT = 1.1;

    /**
     * By rollout, when the last lease granted for it is over for sure. Emptied by time; holds one, as another is
     * refused.
     */
    private final Map<String, Double> expiryByRollout = new HashMap<>();

    private final double notBefore;

    /** Nothing is granted before {@code from}: what an earlier life of this router has granted is not known here. */
    LeaseGrants(double from) {
        this.notBefore = from;
    }

    boolean tryGrant(String round, double now, double lease) {
        expiryByRollout.values().removeIf(end -> end <= now);
        if (now < notBefore || !expiryByRollout.isEmpty() && !expiryByRollout.containsKey(round)) {
            return false;
        }
        expiryByRollout.put(round, now + lease * MAX_CLOCK_DRIFT);
        return true;
    }
}
