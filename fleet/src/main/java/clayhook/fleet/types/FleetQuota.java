package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;

/**
 * How much of limits that hold over all routers is left for this one. The pot is what routers that vanished have not
 * used, and is divided evenly among those that may still serve. So whatever else they see, routers that all see each
 * other are never granted more than the limit between them. Unused shares are not lent: what one lends on old news, two
 * may use.
 *
 * <p>A vanished router's use counts whole for one window after its last word and fades evenly over the next, as it may
 * go on out of sight. A router that hears half of those it should, or fewer, is cut off and has its configured share,
 * never more.
 */
public final class FleetQuota {
    /**
     * @param name as {@link QuotaUsage} has it
     * @param amount units that all routers together may use within any {@code window} seconds
     */
    public record Quota(String name, double amount, double windowSeconds) {
        public Quota {
            FieldValidation.requireText(name, QuotaUsage.MAX_QUOTA_NAME_BYTES, "name of a limit");
            FieldValidation.require(
                    amount >= 0 && windowSeconds > 0 && 2 * windowSeconds <= QuotaUsage.TYPE.retentionSeconds(),
                    "limit " + name);
        }
    }

    /** Seconds for which one that fell silent should be heard. Guards against taking a long split for a small fleet. */
    private static final double MEMBER_RETENTION_SECONDS = 3600;
    /** Names remembered; more than any fleet has in that time. At the bound no further ones count. */
    private static final int MAX_KNOWN_NAMES = 16_384;
    /** Limits in use; nodes that start at once are fewer. At the bound a further one has no share. */
    private static final int MAX_QUOTAS = 4096;
    /** Parts of a window in which own use is counted: what the first of them holds counts a little too long. */
    private static final int SLOTS_PER_WINDOW = 16;
    /** News of use a second, over all routers, for each limit; a few KB a second at each. */
    private static final double UPDATES_PER_SECOND = 50;

    /** This router's use of a limit since its boot. */
    private static final class LocalUsage {
        /** One more than make up a window, as the current one is not over. */
        final double[] slots = new double[SLOTS_PER_WINDOW + 1];

        final double windowSeconds;
        long currentSlot;
        double totalUnits, publishedUnits, publishedAt = Double.NEGATIVE_INFINITY, lastUsedAt;

        LocalUsage(double window) {
            this.windowSeconds = window;
        }

        /** What was used within the last window, at least. */
        double usedInWindow(double now) {
            long next = (long) (now * SLOTS_PER_WINDOW / windowSeconds);
            for (long past = Math.max(currentSlot + 1, next - SLOTS_PER_WINDOW); past <= next; past++) {
                slots[(int) (past % slots.length)] = 0;
            }
            currentSlot = Math.max(currentSlot, next);
            double sum = 0;
            for (double units : slots) {
                sum += units;
            }
            return sum;
        }
    }

    private final ReplicatedStore store;
    private final MembershipView membership;
    private final int configuredRouters;
    private final Member self;
    private final Map<String, LocalUsage> localUsage = new HashMap<>();
    /** What others told, by limit; bounded as the kind is, and emptied of what is older than it keeps. */
    private final Map<String, Map<Member, QuotaUsage>> remoteUsage = new HashMap<>();
    /** When each other router was last among those that live; emptied by time. */
    private final Map<String, Double> lastLiveByName = new HashMap<>();

    /** {@code configured}: routers as the operator's file counts them, at least 1. */
    public FleetQuota(ReplicatedStore shared, MembershipView roster, int configured) {
        this.store = shared;
        this.membership = roster;
        this.configuredRouters = configured;
        Member member = roster.self().member();
        self = new Member(ReplicatedKeys.truncateName(member.name()), member.incarnation());
        shared.forEach(QuotaUsage.TYPE, this::onUsage);
        shared.addListener(QuotaUsage.TYPE, (key, use, now) -> onUsage(key, use));
    }

    private void onUsage(String key, QuotaUsage use) {
        QuotaUsage.UsageKey owner = QuotaUsage.parseKey(key);
        if (owner != null && !owner.member().equals(self)) {
            remoteUsage.computeIfAbsent(owner.quota(), any -> new HashMap<>()).put(owner.member(), use);
        }
    }

    /** Units that this router may use now; never below 0. */
    public double remaining(Quota limit, double now) {
        LocalUsage used = localUsage(limit, now);
        return used == null ? 0 : Math.max(0, allocation(limit, now) - used.usedInWindow(now));
    }

    /** Units that this router may use within any window of the limit. */
    public double allocation(Quota limit, double now) {
        Map<String, Long> serve = servingIncarnations(now);
        int members = 1 + serve.size();
        return isPartitioned(now)
                ? limit.amount / Math.max(configuredRouters, members)
                : Math.max(0, limit.amount - usedByVanished(limit, serve, now)) / members;
    }

    /**
     * Whether this router may only take what it was configured for. Those it should hear are as many as it has known
     * lately, and at least as many as are configured. Guards against one that has just started, or a small side of a
     * split, taking itself for the fleet.
     */
    public boolean isPartitioned(double now) {
        recordLiveMembers(now);
        int should = Math.max(1 + lastLiveByName.size(), configuredRouters);
        return should > 1 && 2 * (1 + membership.livePeers().size()) <= should;
    }

    private void recordLiveMembers(double now) {
        for (Peer peer : membership.livePeers()) {
            String name = ReplicatedKeys.truncateName(peer.member().name());
            if (lastLiveByName.size() < MAX_KNOWN_NAMES || lastLiveByName.containsKey(name)) {
                lastLiveByName.put(name, now);
            }
        }
        lastLiveByName.values().removeIf(at -> at < now - MEMBER_RETENTION_SECONDS);
    }

    /** The others that may use of the limit, those included that only fell silent: the boot of each by its name. */
    private Map<String, Long> servingIncarnations(double now) {
        var boots = new HashMap<String, Long>();
        membership
                .possiblyServing(now)
                .forEach(member ->
                        boots.merge(ReplicatedKeys.truncateName(member.name()), member.incarnation(), Math::max));
        membership
                .livePeers()
                .forEach(peer -> boots.merge(
                        ReplicatedKeys.truncateName(peer.member().name()),
                        peer.member().incarnation(),
                        Math::max));
        boots.remove(self.name());
        return boots;
    }

    /** What lives that are over may have used within the window: of routers that vanished, and before restarts. */
    private double usedByVanished(Quota limit, Map<String, Long> serve, double now) {
        double sum = 0;
        for (Map.Entry<Member, QuotaUsage> entry :
                remoteUsage.getOrDefault(limit.name, Map.of()).entrySet()) {
            Long boot = serve.get(entry.getKey().name());
            if (boot == null || entry.getKey().incarnation() < boot) {
                double windows = (now - entry.getValue().reportedAt()) / limit.windowSeconds;
                sum += entry.getValue().unitsPerSecond() * limit.windowSeconds * Math.max(0, Math.min(1, 2 - windows));
            }
        }
        return sum;
    }

    /** Null at the bound, where limits that were not used for long have gone. */
    private LocalUsage localUsage(Quota limit, double now) {
        LocalUsage used = localUsage.get(limit.name);
        if (used == null && localUsage.size() >= MAX_QUOTAS) {
            localUsage.values().removeIf(unused -> unused.lastUsedAt < now - QuotaUsage.TYPE.retentionSeconds());
        }
        if (used == null && localUsage.size() < MAX_QUOTAS) {
            used = new LocalUsage(limit.windowSeconds);
            used.lastUsedAt = now;
            localUsage.put(limit.name, used);
        }
        return used;
    }

    /** This router has used that many units, granted or not. */
    public void recordUse(Quota limit, double units, double now) {
        LocalUsage used = localUsage(limit, now);
        if (used != null && units > 0) {
            used.usedInWindow(now);
            used.slots[(int) (used.currentSlot % used.slots.length)] += units;
            used.totalUnits += units;
            used.lastUsedAt = now;
        }
    }

    /** Tells what this router has used, where it used any and told nothing for a while; may be called at any time. */
    public void publish(double now) {
        double members = 1 + servingIncarnations(now).size();
        localUsage.forEach((limit, used) -> {
            if (used.totalUnits > used.publishedUnits
                    && now >= used.publishedAt + Math.max(used.windowSeconds / 2, members / UPDATES_PER_SECOND)) {
                used.publishedUnits = used.totalUnits;
                used.publishedAt = now;
                store.merge(
                        QuotaUsage.TYPE,
                        QuotaUsage.key(limit, self),
                        new QuotaUsage(used.totalUnits, used.usedInWindow(now) / used.windowSeconds, now),
                        now);
            }
        });
        remoteUsage.values().forEach(uses -> uses.values()
                .removeIf(use -> use.reportedAt() < now - QuotaUsage.TYPE.retentionSeconds()));
        remoteUsage.values().removeIf(Map::isEmpty);
    }
}
