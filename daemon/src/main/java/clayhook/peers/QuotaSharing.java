package clayhook.peers;

import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.FleetQuota;
import clayhook.fleet.types.QuotaUsage;
import clayhook.sharing.PeerSharing;
import java.util.EnumMap;
import java.util.Map;

/**
 * Publishes this router's use of fleet-wide quotas and computes the units that remain for it. Confined to the gossip
 * thread, except {@link #remaining}.
 */
final class QuotaSharing {
    /** The number of attempts beyond a request's first that all routers together may make within the window. */
    private static final double FLEET_FURTHER_ATTEMPTS = 90;
    /** The number of health checks within the window per configured router. */
    private static final double HEALTH_CHECKS_PER_ROUTER = 15;
    /** The length of the window of the quotas, in seconds. */
    private static final double QUOTA_WINDOW = 10;

    private final FleetQuota fleetQuota;
    private final Map<PeerSharing.SharedQuota, FleetQuota.Quota> quotas = new EnumMap<>(PeerSharing.SharedQuota.class);
    /** Remaining units by quota. The gossip thread replaces the map and never modifies it in place. */
    private volatile Map<PeerSharing.SharedQuota, Double> remaining = Map.of();

    /** {@code configuredRouters}: the configured number of routers in the fleet, at least 1. */
    QuotaSharing(ReplicatedStore store, MembershipView membership, int configuredRouters) {
        fleetQuota = new FleetQuota(store, membership, configuredRouters);
        quotas.put(
                PeerSharing.SharedQuota.FURTHER_ATTEMPTS,
                new FleetQuota.Quota(QuotaUsage.RETRIES, FLEET_FURTHER_ATTEMPTS, QUOTA_WINDOW));
        quotas.put(
                PeerSharing.SharedQuota.HEALTH_CHECKS,
                new FleetQuota.Quota(
                        QuotaUsage.HEALTH_CHECKS, HEALTH_CHECKS_PER_ROUTER * configuredRouters, QUOTA_WINDOW));
    }

    void record(LocalEvent.QuotaUsed event, double now) {
        fleetQuota.recordUse(quotas.get(event.quota()), event.units(), now);
    }

    /** Publishes own use if it is due, and recomputes the remaining units. */
    void tick(double now) {
        fleetQuota.publish(now);
        var updated = new EnumMap<PeerSharing.SharedQuota, Double>(PeerSharing.SharedQuota.class);
        quotas.forEach((key, quota) -> updated.put(key, fleetQuota.remaining(quota, now)));
        remaining = updated;
    }

    /** The units that remained for this router on the last tick; infinite before the first tick. For any thread. */
    double remaining(PeerSharing.SharedQuota quota) {
        return remaining.getOrDefault(quota, Double.POSITIVE_INFINITY);
    }

    /**
     * Whether this router sees at most half of the expected routers and is therefore limited to its configured
     * allocation.
     */
    boolean isPartitioned(double now) {
        return fleetQuota.isPartitioned(now);
    }
}
