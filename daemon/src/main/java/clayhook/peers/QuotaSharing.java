package clayhook.peers;

import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.FleetQuota;
import clayhook.fleet.types.QuotaUsage;
import clayhook.sharing.PeerSharing;
import java.util.EnumMap;
import java.util.Map;

/**
 * Publishes this router's use of fleet-wide quotas and keeps what remains for it. Confined to the gossip thread, except
 * {@link #remaining}.
 */
final class QuotaSharing {
    /** Further attempts that all routers together may make within the window. */
    private static final double FLEET_FURTHER_ATTEMPTS = 90;
    /** Health checks within the window, for each configured router. */
    private static final double HEALTH_CHECKS_PER_ROUTER = 15;
    /** Seconds. */
    private static final double QUOTA_WINDOW = 10;

    private final FleetQuota fleetQuota;
    private final Map<PeerSharing.SharedQuota, FleetQuota.Quota> quotas = new EnumMap<>(PeerSharing.SharedQuota.class);
    /** Replaced whole by the gossip thread, never changed in place. */
    private volatile Map<PeerSharing.SharedQuota, Double> remaining = Map.of();

    /** {@code configuredRouters}: routers that the operator's file counts, at least 1. */
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
        fleetQuota.recordUse(quotas.get(event.limit()), event.units(), now);
    }

    /** Publishes own use where it is due and computes anew what remains. */
    void tick(double now) {
        fleetQuota.publish(now);
        var fresh = new EnumMap<PeerSharing.SharedQuota, Double>(PeerSharing.SharedQuota.class);
        quotas.forEach((key, quota) -> fresh.put(key, fleetQuota.remaining(quota, now)));
        remaining = fresh;
    }

    /** Units that remained for this router on the last tick; infinite before the first one. For any thread. */
    double remaining(PeerSharing.SharedQuota quota) {
        return remaining.getOrDefault(quota, Double.POSITIVE_INFINITY);
    }

    /** Whether this router sees half of the expected routers or fewer and is held to its configured allocation. */
    boolean isPartitioned(double now) {
        return fleetQuota.isPartitioned(now);
    }
}
