package clayhook.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The leases that this router has granted. It grants leases of one rollout at a time, so that two rollouts never run at
 * once with majorities that have a router in common. Not thread-safe.
 */
final class LeaseGrants {
    /** By how much the speed of two routers' clocks may differ; slewing clocks differ by one part in 200. */
    static final double MAX_CLOCK_DRIFT = 1.1;

    /** By rollout, when the last lease granted for it has certainly ended. Holds one entry at most, removed by time. */
    private final Map<String, Double> expiryByRollout = new HashMap<>();

    private final double notBefore;

    /**
     * Grants nothing before a time, as the grants of an earlier incarnation of this router are not known.
     *
     * @param notBefore seconds since 1970
     */
    LeaseGrants(double notBefore) {
        this.notBefore = notBefore;
    }

    /**
     * Grants a lease, unless one for another rollout may still be held.
     *
     * @param leaseSeconds duration of the lease
     * @return whether it was granted
     */
    boolean tryGrant(String rolloutId, double now, double leaseSeconds) {
        expiryByRollout.values().removeIf(expiry -> expiry <= now);
        if (now < notBefore || (!expiryByRollout.isEmpty() && !expiryByRollout.containsKey(rolloutId))) {
            return false;
        }
        expiryByRollout.put(rolloutId, now + leaseSeconds * MAX_CLOCK_DRIFT);
        return true;
    }
}
