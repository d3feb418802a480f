package clayhook.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The leases that this router has granted to others. Grants leases for one rollout at a time: any two majorities have a
 * router in common, so two rollouts never run at the same time. Not thread-safe.
 */
final class LeaseGrants {
    /**
     * Maximum ratio between the rates of two routers' clocks. Clocks that are being slewed differ by one part in 200.
     */
    static final double MAX_CLOCK_DRIFT = 1.1;

    /**
     * By rollout, the time at which the last lease granted for it has certainly ended, in seconds since 1970. Has at
     * most one entry, which is removed after that time.
     */
    private final Map<String, Double> expiryByRollout = new HashMap<>();

    private final double notBefore;

    /**
     * Creates an instance that grants nothing before a time, because grants made by an earlier incarnation of this
     * router may still be valid and are unknown to this one.
     *
     * @param notBefore time of the first possible grant, in seconds since 1970
     */
    LeaseGrants(double notBefore) {
        this.notBefore = notBefore;
    }

    /**
     * Grants a lease unless a lease for another rollout may still be valid.
     *
     * @param leaseSeconds duration of the lease
     * @return whether the lease was granted
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
