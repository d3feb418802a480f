package clayhook.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * What this router has granted to others: one rollout at a time, so that no two are in force with majorities that meet.
 */
final class Grants {
    /** By how much two routers' clocks may differ in speed; ours are led by one part in 200. */
    static final double DRIFT = 1.1;

    /**
     * By rollout, when the last lease granted for it is over for sure. Emptied by time; holds one, as another is
     * refused.
     */
    private final Map<String, Double> until = new HashMap<>();

    private final double from;

    /** Nothing is granted before {@code from}: what an earlier life of this router has granted is not known here. */
    Grants(double from) {
        this.from = from;
    }

    boolean grant(String round, double now, double lease) {
        until.values().removeIf(end -> end <= now);
        if (now < from || !until.isEmpty() && !until.containsKey(round)) {
            return false;
        }
        until.put(round, now + lease * DRIFT);
        return true;
    }
}
