package clayhook.fleet.kinds;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.MembershipView;
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
public final class Shares {
    /**
     * @param name as {@link Use} has it
     * @param amount units that all routers together may use within any {@code window} seconds
     */
    public record Limit(String name, double amount, double window) {
        public Limit {
            Check.text(name, Use.LONGEST_LIMIT, "name of a limit");
            Check.that(amount >= 0 && window > 0 && 2 * window <= Use.KIND.retentionSeconds(), "limit " + name);
        }
    }

    /** Seconds for which one that fell silent should be heard. Guards against taking a long split for a small fleet. */
    private static final double KNOWN_FOR = 3600;
    /** Names remembered; more than any fleet has in that time. At the bound no further ones count. */
    private static final int MOST_KNOWN = 16_384;
    /** Limits in use; nodes that start at once are fewer. At the bound a further one has no share. */
    private static final int MOST_LIMITS = 4096;
    /** Parts of a window in which own use is counted: what the first of them holds counts a little too long. */
    private static final int SLOTS = 16;
    /** News of use a second, over all routers, for each limit; a few KB a second at each. */
    private static final double TOLD_A_SECOND = 50;

    /** This router's use of a limit since its boot. */
    private static final class Own {
        /** One more than make up a window, as the current one is not over. */
        final double[] slots = new double[SLOTS + 1];

        final double window;
        long slot;
        double total, toldTotal, toldAt = Double.NEGATIVE_INFINITY, usedAt;

        Own(double window) {
            this.window = window;
        }

        /** What was used within the last window, at least. */
        double recent(double now) {
            long next = (long) (now * SLOTS / window);
            for (long past = Math.max(slot + 1, next - SLOTS); past <= next; past++) {
                slots[(int) (past % slots.length)] = 0;
            }
            slot = Math.max(slot, next);
            double sum = 0;
            for (double units : slots) {
                sum += units;
            }
            return sum;
        }
    }

    private final ReplicatedStore shared;
    private final MembershipView roster;
    private final int configured;
    private final Member self;
    private final Map<String, Own> own = new HashMap<>();
    /** What others told, by limit; bounded as the kind is, and emptied of what is older than it keeps. */
    private final Map<String, Map<Member, Use>> told = new HashMap<>();
    /** When each other router was last among those that live; emptied by time. */
    private final Map<String, Double> known = new HashMap<>();

    /** {@code configured}: routers as the operator's file counts them, at least 1. */
    public Shares(ReplicatedStore shared, MembershipView roster, int configured) {
        this.shared = shared;
        this.roster = roster;
        this.configured = configured;
        Member member = roster.self().member();
        self = new Member(Keys.name(member.name()), member.incarnation());
        shared.forEach(Use.KIND, this::heard);
        shared.addListener(Use.KIND, (key, use, now) -> heard(key, use));
    }

    private void heard(String key, Use use) {
        Use.Owner owner = Use.owner(key);
        if (owner != null && !owner.member().equals(self)) {
            told.computeIfAbsent(owner.limit(), any -> new HashMap<>()).put(owner.member(), use);
        }
    }

    /** Units that this router may use now; never below 0. */
    public double left(Limit limit, double now) {
        Own used = own(limit, now);
        return used == null ? 0 : Math.max(0, share(limit, now) - used.recent(now));
    }

    /** Units that this router may use within any window of the limit. */
    public double share(Limit limit, double now) {
        Map<String, Long> serve = serving(now);
        int members = 1 + serve.size();
        return cutOff(now)
                ? limit.amount / Math.max(configured, members)
                : Math.max(0, limit.amount - ofVanished(limit, serve, now)) / members;
    }

    /**
     * Whether this router may only take what it was configured for. Those it should hear are as many as it has known
     * lately, and at least as many as are configured. Guards against one that has just started, or a small side of a
     * split, taking itself for the fleet.
     */
    public boolean cutOff(double now) {
        remember(now);
        int should = Math.max(1 + known.size(), configured);
        return should > 1 && 2 * (1 + roster.livePeers().size()) <= should;
    }

    private void remember(double now) {
        for (Peer peer : roster.livePeers()) {
            String name = Keys.name(peer.member().name());
            if (known.size() < MOST_KNOWN || known.containsKey(name)) {
                known.put(name, now);
            }
        }
        known.values().removeIf(at -> at < now - KNOWN_FOR);
    }

    /** The others that may use of the limit, those included that only fell silent: the boot of each by its name. */
    private Map<String, Long> serving(double now) {
        var boots = new HashMap<String, Long>();
        roster.possiblyServing(now).forEach(member -> boots.merge(Keys.name(member.name()), member.incarnation(), Math::max));
        roster.livePeers()
                .forEach(peer -> boots.merge(
                        Keys.name(peer.member().name()), peer.member().incarnation(), Math::max));
        boots.remove(self.name());
        return boots;
    }

    /** What lives that are over may have used within the window: of routers that vanished, and before restarts. */
    private double ofVanished(Limit limit, Map<String, Long> serve, double now) {
        double sum = 0;
        for (Map.Entry<Member, Use> entry :
                told.getOrDefault(limit.name, Map.of()).entrySet()) {
            Long boot = serve.get(entry.getKey().name());
            if (boot == null || entry.getKey().incarnation() < boot) {
                double windows = (now - entry.getValue().at()) / limit.window;
                sum += entry.getValue().rate() * limit.window * Math.max(0, Math.min(1, 2 - windows));
            }
        }
        return sum;
    }

    /** Null at the bound, where limits that were not used for long have gone. */
    private Own own(Limit limit, double now) {
        Own used = own.get(limit.name);
        if (used == null && own.size() >= MOST_LIMITS) {
            own.values().removeIf(unused -> unused.usedAt < now - Use.KIND.retentionSeconds());
        }
        if (used == null && own.size() < MOST_LIMITS) {
            used = new Own(limit.window);
            used.usedAt = now;
            own.put(limit.name, used);
        }
        return used;
    }

    /** This router has used that many units, granted or not. */
    public void used(Limit limit, double units, double now) {
        Own used = own(limit, now);
        if (used != null && units > 0) {
            used.recent(now);
            used.slots[(int) (used.slot % used.slots.length)] += units;
            used.total += units;
            used.usedAt = now;
        }
    }

    /** Tells what this router has used, where it used any and told nothing for a while; may be called at any time. */
    public void tell(double now) {
        double members = 1 + serving(now).size();
        own.forEach((limit, used) -> {
            if (used.total > used.toldTotal
                    && now >= used.toldAt + Math.max(used.window / 2, members / TOLD_A_SECOND)) {
                used.toldTotal = used.total;
                used.toldAt = now;
                shared.merge(
                        Use.KIND, Use.key(limit, self), new Use(used.total, used.recent(now) / used.window, now), now);
            }
        });
        told.values().forEach(uses -> uses.values().removeIf(use -> use.at() < now - Use.KIND.retentionSeconds()));
        told.values().removeIf(Map::isEmpty);
    }
}
