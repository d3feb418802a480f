package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;

/**
 * How much this router may use of quotas that hold for the whole fleet.
 *
 * <p>What routers that have vanished have not used of a quota is divided evenly among the routers that may still serve.
 * So routers that all see each other are never granted more than the quota together, whatever else they see. Unused
 * allocations are not lent, as on outdated information two routers could use the same one.
 *
 * <p>The use of a vanished router counts whole for one window after its last report and fades linearly over the next,
 * as the router may go on unseen. A router that sees at most half of the routers it should is partitioned, and never
 * gets more than its configured part.
 *
 * <p>Times are in seconds since 1970 on this router's clock. Not thread-safe.
 */
public final class FleetQuota {
    /**
     * A quota that all routers share.
     *
     * @param name as in the keys of {@link QuotaUsage}
     * @param amount units that all routers together may use within any {@code windowSeconds}
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
     * For which a router that has vanished is still expected. Forgotten earlier, it would not count against a long
     * partition, and the remaining routers would take themselves for the whole fleet.
     */
    private static final double MEMBER_RETENTION_SECONDS = 3600;
    /** More than any fleet has within the retention; further names do not count. */
    private static final int MAX_KNOWN_NAMES = 16_384;
    /** More than the standing quotas and the nodes in slow start; further quotas have no allocation. */
    private static final int MAX_QUOTAS = 4096;
    /** Updates that all routers together publish for each quota; a few KB a second at each router. */
    private static final double UPDATES_PER_SECOND = 50;

    private final ReplicatedStore store;
    private final MembershipView membership;
    private final int configuredRouters;
    private final Member self;
    private final Map<String, LocalQuotaUsage> localUsage = new HashMap<>();
    /** What others have published, by quota; bounded as the replicated type is. */
    private final Map<String, Map<Member, QuotaUsage>> remoteUsage = new HashMap<>();
    /** When each other router was live last. */
    private final Map<String, Double> lastLiveByName = new HashMap<>();

    /**
     * Starts to follow the use that the store holds and receives.
     *
     * @param configuredRouters the number of routers by the operator's configuration, at least 1
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
            remoteUsage.computeIfAbsent(parsed.quota(), any -> new HashMap<>()).put(parsed.member(), usage);
        }
    }

    /** Returns the units that this router may use now, from 0. */
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
        return Math.max(0, quota.amount - usedByVanished(quota, serving, now)) / members;
    }

    /**
     * Whether this router sees so few others that it only gets its configured part. It should see as many routers as it
     * knew lately, and at least as many as are configured. Otherwise a router that has just started, or the small side
     * of a partition, would take itself for the whole fleet.
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
     * Returns the other routers that may use of a quota, those included that have only fallen silent: incarnation by
     * name.
     */
    private Map<String, Long> servingIncarnations(double now) {
        var incarnations = new HashMap<String, Long>();
        membership.possiblyServing(now).forEach(member -> addYoungest(incarnations, member));
        membership.livePeers().forEach(peer -> addYoungest(incarnations, peer.member()));
        incarnations.remove(self.name());
        return incarnations;
    }

    private static void addYoungest(Map<String, Long> incarnations, Member member) {
        incarnations.merge(ReplicatedKeys.truncateName(member.name()), member.incarnation(), Math::max);
    }

    /**
     * Returns what incarnations that are over may have used within the window: of vanished routers, and before
     * restarts.
     */
    private double usedByVanished(Quota quota, Map<String, Long> serving, double now) {
        double sum = 0;
        for (Map.Entry<Member, QuotaUsage> entry :
                remoteUsage.getOrDefault(quota.name, Map.of()).entrySet()) {
            Long servingIncarnation = serving.get(entry.getKey().name());
            boolean vanished = servingIncarnation == null || entry.getKey().incarnation() < servingIncarnation;
            if (vanished) {
                sum += fadedUse(quota, entry.getValue(), now);
            }
        }
        return sum;
    }

    private static double fadedUse(Quota quota, QuotaUsage usage, double now) {
        double windowsAgo = (now - usage.reportedAt()) / quota.windowSeconds;
        return usage.unitsPerSecond() * quota.windowSeconds * Math.max(0, Math.min(1, 2 - windowsAgo));
    }

    /** Returns null at the bound of quotas. Those that were not used for long are removed then. */
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

    /** Notes that this router has used that many units, whether they were granted or not. */
    public void recordUse(Quota quota, double units, double now) {
        LocalQuotaUsage usage = localUsage(quota, now);
        if (usage != null && units > 0) {
            usage.add(units, now);
        }
    }

    /** Publishes what this router has used where that is due. May be called at any time. */
    public void publish(double now) {
        double members = 1 + servingIncarnations(now).size();
        localUsage.forEach((quota, usage) -> {
            if (usage.isPublicationDue(members / UPDATES_PER_SECOND, now)) {
                store.merge(QuotaUsage.TYPE, QuotaUsage.key(quota, self), usage.publish(now), now);
            }
        });
        double expired = now - QuotaUsage.TYPE.retentionSeconds();
        remoteUsage.values().forEach(usages -> usages.values().removeIf(usage -> usage.reportedAt() < expired));
        remoteUsage.values().removeIf(Map::isEmpty);
    }
}
