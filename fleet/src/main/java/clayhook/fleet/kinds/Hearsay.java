package clayhook.fleet.kinds;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the other routers have seen of nodes, as this one may believe it: on this router's clock, never younger than it
 * was, weighed by age and source, without this router's own words, which come back from others and would count twice.
 */
public final class Hearsay {
    /** Seconds: what is older weighs nothing; a few turns of a router's own looks. */
    static final double LASTS = 10;
    /** What a word that is quite young weighs beside an own one: of a router that lives, and of one that went. */
    static final double OF_LIVING = 0.5, OF_GONE = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /**
     * Of one life of a node; times are seconds since 1970 on this router's clock, negative infinity for never.
     *
     * @param position stays valid once told, whatever its age; 0 for never told
     * @param failed when it last failed a router since it was last heard by any; within {@value #LASTS} s
     * @param strikes the routers other than this that it failed since then
     * @param slownessWeight how much to believe the slowness beside an own figure, 0 to {@value #OF_LIVING}; so with
     *     the load
     */
    public record Word(
            double nodeStart,
            double position,
            double positionAt,
            double lag,
            double lagAt,
            double primaryAt,
            double replicaAt,
            double heardAt,
            double failedAt,
            int strikes,
            double slowness,
            double slownessWeight,
            double load,
            double loadWeight) {}

    private final ReplicatedStore shared;
    private final MembershipView roster;
    private final String self;
    /**
     * Those of {@link #listed}, by their names as sights have them; made anew when the roster's list is another one.
     */
    private final Map<String, Member> members = new HashMap<>();

    private List<Peer> listed;

    public Hearsay(ReplicatedStore shared, MembershipView roster) {
        this.shared = shared;
        this.roster = roster;
        self = Keys.name(roster.self().member().name());
    }

    /** Null where nobody has a word on that life of the node. {@code nodeStart} as this router has it from the list. */
    public Word on(String node, double nodeStart, double now) {
        Evidence told = shared.get(Evidence.KIND, Evidence.key(node));
        // Guards against a dead life's claims; a later life than listed here is news, the list is late.
        if (told == null || told.nodeStart() < nodeStart) {
            return null;
        }
        knowMembers();
        List<Evidence.Strike> strikes = told.strikes().stream()
                .filter(strike -> now - at(strike.sight(), now) <= LASTS)
                .toList();
        return new Word(
                told.nodeStart(),
                at(told.position(), now) == NEVER ? 0 : told.position().value(),
                at(told.position(), now),
                value(told.lag()),
                at(told.lag(), now),
                at(told.primary(), now),
                at(told.replica(), now),
                at(told.heard(), now),
                strikes.stream()
                        .mapToDouble(strike -> at(strike.sight(), now))
                        .max()
                        .orElse(NEVER),
                strikes.size(),
                value(told.slowness()),
                weight(told.slowness(), now),
                value(told.load()),
                weight(told.load(), now));
    }

    private void knowMembers() {
        if (listed != roster.livePeers()) {
            listed = roster.livePeers();
            members.clear();
            listed.forEach(peer -> members.put(Keys.name(peer.member().name()), peer.member()));
        }
    }

    private static double value(Seen seen) {
        return seen == null ? 0 : seen.value();
    }

    private double at(Seen seen, double now) {
        return seen == null ? NEVER : at(seen.sight(), now);
    }

    /** Never for an own sight, one of a router whose clock is off, and one of the future. */
    private double at(Sight sight, double now) {
        if (sight == null || sight.by().equals(self)) {
            return NEVER;
        }
        Member member = members.get(sight.by());
        double ahead = member == null ? 0 : roster.clockOffset(member);
        double at = sight.at() - (Double.isNaN(ahead) ? 0 : ahead);
        boolean heard = (member == null || roster.clockWithinBound(member)) && at <= now + Check.CLOCKS;
        return heard ? Math.min(at, now) : NEVER;
    }

    private double weight(Seen seen, double now) {
        double at = at(seen, now);
        double source = at == NEVER ? 0 : members.containsKey(seen.sight().by()) ? OF_LIVING : OF_GONE;
        return source * Math.max(0, 1 - (now - at) / LASTS);
    }
}
