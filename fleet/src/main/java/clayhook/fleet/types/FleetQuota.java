package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;

/**
 * Calculates how much of each fleet-wide quota this router may use.
 *
 * <p>The part of a quota that departed routers have not used is divided evenly among the routers that may still serve.
 * Routers that all see each other are therefore never granted more than the quota together, whichever other routers
 * they see. Unused allocations are not lent: with outdated information two routers could use the same one.
 *
 * <p>The usage of a departed router counts in full for one window after its last report and decreases linearly to 0
 * over the next one, as the router may still be running without being seen. A router that sees at most half of the
 * expected routers is partitioned, and never gets more than its configured share.
 *
 * <p>Times are in seconds since 1970 on this router's clock. Not thread-safe.
 */
public final class FleetQuota {
    /**
     * A quota that all routers share.
     *
     * @param name the name in the keys of {@link QuotaUsage}
     * @param amount the units that all routers together may use within any {@code windowSeconds}
     * @param windowSeconds the length of the sliding window; above 0, and at most half the retention of
     *     {@link QuotaUsage#TYPE}
     */
    public record Quota(String name, double amount, double windowSeconds) {
        /** @throws IllegalArgumentException for fields out of range */
        public Quota {
            FieldValidation.requireText(name, QuotaUsage.MAX_QUOTA_NAME_BYTES, "name of a quota");
            boolean windowFits = windowSeconds > 0 && 2 * windowSeconds <= QuotaUsage.TYPE.retentionSeconds();
            FieldValidation.require(amount >= 0 && windowFits, "quota " + name);
        }
    }

    /**
     * Seconds for which a departed router still counts as expected. With a shorter time, it would no longer count in a
     * long partition, and each remaining side would consider itself the whole fleet.
     */
    private static final double MEMBER_RETENTION_SECONDS = 3600;
    /**
     * Bound of the router names that are kept; more than any fleet has within the retention. Further names are ignored.
     */
    private static final int MAX_KNOWN_NAMES = 16_384;
    /**
     * Bound of the quotas; more than the fixed ones and those of nodes in slow start. Further quotas have no
     * allocation.
     */
    private static final int MAX_QUOTAS = 4096;
    /**
     * Updates per second that all routers together publish for each quota; each router receives a few KB per second.
     */
    private static final double UPDATES_PER_SECOND = 50;

    private final ReplicatedStore store;
    private final MembershipView membership;
    private final int configuredRouters;
    private final Member self;
    private final Map<String, LocalQuotaUsage> localUsage = new HashMap<>();
    /** Usage published by other routers, by quota and member; bounded by the entry limit of the replicated type. */
    private final Map<String, Map<Member, QuotaUsage>> remoteUsage = new HashMap<>();
    /** The time at which each other router was last seen live, by name. */
    private final Map<String, Double> lastLiveByName = new HashMap<>();

    /**
     * Loads the usage that the store holds, and subscribes to its changes.
     *
     * @param configuredRouters the number of routers in the operator's configuration, at least 1
     */
    public FleetQuota(ReplicatedStore store, MembershipView membership, int configuredRouters) {
        this.store = store;
        this.membership = membership;
        this.configuredRouters = configuredRouters;
        Member member = membership.self().member();
        self = new Member(ReplicatedKeys.truncateName(member.name()), member.incarnation());
        store.forEach(QuotaUsage.TYPE, this::onUsage);
        store.addListener(QuotaUsage.TYPE, (key, usage, now) -> onUsage(key, usage));
    }

    private void onUsage(String key, QuotaUsage usage) {
        QuotaUsage.UsageKey parsed = QuotaUsage.parseKey(key);
        if (parsed != null && !parsed.member().equals(self)) {
            remoteUsage
                    .computeIfAbsent(parsed.quota(), quota -> new HashMap<>())
                    .put(parsed.member(), usage);
        }
    }

    /** Returns the units that this router may use now; never negative. */
    public double remaining(Quota quota, double now) {
        LocalQuotaUsage usage = localUsage(quota, now);
        return usage == null ? 0 : Math.max(0, allocation(quota, now) - usage.usedInWindow(now));
    }

    /** Returns the units that this router may use within any window of the quota. */
    public double allocation(Quota quota, double now) {
        Map<String, Long> serving = servingIncarnations(now);
        int members = 1 + serving.size();
        if (isPartitioned(now)) {
            return quota.amount / Math.max(configuredRouters, members);
        }
        return Math.max(0, quota.amount - usedByDeparted(quota, serving, now)) / members;
    }

    /**
     * Returns whether this router sees at most half of the expected routers, so that it only gets its configured share.
     * Expected are all routers seen live within the retention, and at least the configured number. Without this check,
     * a router that has just started, or the small side of a partition, would consider itself the whole fleet.
     */
    public boolean isPartitioned(double now) {
        recordLiveMembers(now);
        int expected = Math.max(1 + lastLiveByName.size(), configuredRouters);
        int seen = 1 + membership.livePeers().size();
        return expected > 1 && 2 * seen <= expected;
    }

    private void recordLiveMembers(double now) {
        for (Peer peer : membership.livePeers()) {
            String name = ReplicatedKeys.truncateName(peer.member().name());
            if (lastLiveByName.size() < MAX_KNOWN_NAMES || lastLiveByName.containsKey(name)) {
                lastLiveByName.put(name, now);
            }
        }
        lastLiveByName.values().removeIf(lastLiveAt -> lastLiveAt < now - MEMBER_RETENTION_SECONDS);
    }

    /**
     * Returns the incarnations of the other routers that may use a quota, by name. Includes routers that were declared
     * dead only recently and may still be running.
     */
    private Map<String, Long> servingIncarnations(double now) {
        var incarnations = new HashMap<String, Long>();
        membership.possiblyServing(now).forEach(member -> putNewestIncarnation(incarnations, member));
        membership.livePeers().forEach(peer -> putNewestIncarnation(incarnations, peer.member()));
        incarnations.remove(self.name());
        return incarnations;
    }

    private static void putNewestIncarnation(Map<String, Long> incarnations, Member member) {
        incarnations.merge(ReplicatedKeys.truncateName(member.name()), member.incarnation(), Math::max);
    }

    /**
     * Returns the units that ended incarnations may have used within the window: those of departed routers, and earlier
     * ones of routers that have restarted.
     */
    private double usedByDeparted(Quota quota, Map<String, Long> serving, double now) {
        double sum = 0;
        for (Map.Entry<Member, QuotaUsage> entry :
                remoteUsage.getOrDefault(quota.name, Map.of()).entrySet()) {
            Long servingIncarnation = serving.get(entry.getKey().name());
            boolean departed = servingIncarnation == null || entry.getKey().incarnation() < servingIncarnation;
            if (departed) {
                sum += decayedUsage(quota, entry.getValue(), now);
            }
        }
        return sum;
    }

    private static double decayedUsage(Quota quota, QuotaUsage usage, double now) {
        double windowsAgo = (now - usage.reportedAt()) / quota.windowSeconds;
        return usage.unitsPerSecond() * quota.windowSeconds * Math.max(0, Math.min(1, 2 - windowsAgo));
    }

    /**
     * Returns the usage of a quota, adding the quota if it is new. At the bound of quotas, those unused for longer than
     * the retention are removed; returns null if the bound is still reached.
     */
    private LocalQuotaUsage localUsage(Quota quota, double now) {
        LocalQuotaUsage usage = localUsage.get(quota.name);
        if (usage != null) {
            return usage;
        }
        if (localUsage.size() >= MAX_QUOTAS) {
            double unusedSince = now - QuotaUsage.TYPE.retentionSeconds();
            localUsage.values().removeIf(each -> each.isUnusedSince(unusedSince));
        }
        if (localUsage.size() >= MAX_QUOTAS) {
            return null;
        }
        var added = new LocalQuotaUsage(quota.windowSeconds, now);
        localUsage.put(quota.name, added);
        return added;
    }

    /** Records units that this router has used, whether or not they were within its allocation. */
    public void recordUse(Quota quota, double units, double now) {
        LocalQuotaUsage usage = localUsage(quota, now);
        if (usage != null && units > 0) {
            usage.add(units, now);
        }
    }

    /**
     * Publishes this router's usage of each quota that is due for it, and removes expired usage of others. May be
     * called at any time.
     */
    public void publish(double now) {
        double members = 1 + servingIncarnations(now).size();
        localUsage.forEach((quota, usage) -> {
            if (usage.isPublicationDue(members / UPDATES_PER_SECOND, now)) {
                store.merge(QuotaUsage.TYPE, QuotaUsage.key(quota, self), usage.publish(now), now);
            }
        });
        double expiredBefore = now - QuotaUsage.TYPE.retentionSeconds();
        remoteUsage.values().forEach(usages -> usages.values().removeIf(usage -> usage.reportedAt() < expiredBefore));
        remoteUsage.values().removeIf(Map::isEmpty);
    }
}
