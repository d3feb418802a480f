package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the other routers have seen of nodes, as this one may believe it: on this router's clock, never younger than it
 * was, weighed by age and source, without this router's own words, which come back from others and would count twice.
 */
public final class PeerObservations {
    /** Seconds: what is older weighs nothing; a few turns of a router's own looks. */
    static final double MAX_AGE_SECONDS = 10;
    /** What a word that is quite young weighs beside an own one: of a router that lives, and of one that went. */
    static final double LIVE_MEMBER_WEIGHT = 0.5, DEPARTED_MEMBER_WEIGHT = 0.25;

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
    public record NodeSummary(
            double incarnationStartedAt,
            double appliedPosition,
            double appliedPositionAt,
            double lagSeconds,
            double lagMeasuredAt,
            double primaryClaimedAt,
            double replicaClaimedAt,
            double lastSeenAt,
            double lastFailureAt,
            int failedRouterCount,
            double latencyRatio,
            double latencyRatioWeight,
            double load,
            double loadWeight) {}

    private final ReplicatedStore store;
    private final MembershipView membership;
    private final String selfName;
    /**
     * Those of {@link #cachedPeers}, by their names as sights have them; made anew when the roster's list is another
     * one.
     */
    private final Map<String, Member> membersByName = new HashMap<>();

    private List<Peer> cachedPeers;

    public PeerObservations(ReplicatedStore shared, MembershipView roster) {
        this.store = shared;
        this.membership = roster;
        selfName = ReplicatedKeys.truncateName(roster.self().member().name());
    }

    /** Null where nobody has a word on that life of the node. {@code nodeStart} as this router has it from the list. */
    public NodeSummary summarize(String node, double nodeStart, double now) {
        NodeObservation told = store.get(NodeObservation.TYPE, NodeObservation.key(node));
        // Guards against a dead life's claims; a later life than listed here is news, the list is late.
        if (told == null || told.incarnationStartedAt() < nodeStart) {
            return null;
        }
        refreshMembers();
        List<NodeObservation.FailureStreak> strikes = told.failureStreaks().stream()
                .filter(strike -> now - localTime(strike.source(), now) <= MAX_AGE_SECONDS)
                .toList();
        return new NodeSummary(
                told.incarnationStartedAt(),
                localTime(told.appliedPosition(), now) == NEVER
                        ? 0
                        : told.appliedPosition().value(),
                localTime(told.appliedPosition(), now),
                valueOrZero(told.lag()),
                localTime(told.lag(), now),
                localTime(told.primaryClaim(), now),
                localTime(told.replicaClaim(), now),
                localTime(told.lastSeen(), now),
                strikes.stream()
                        .mapToDouble(strike -> localTime(strike.source(), now))
                        .max()
                        .orElse(NEVER),
                strikes.size(),
                valueOrZero(told.latencyRatio()),
                weight(told.latencyRatio(), now),
                valueOrZero(told.reportedLoad()),
                weight(told.reportedLoad(), now));
    }

    private void refreshMembers() {
        if (cachedPeers != membership.livePeers()) {
            cachedPeers = membership.livePeers();
            membersByName.clear();
            cachedPeers.forEach(peer ->
                    membersByName.put(ReplicatedKeys.truncateName(peer.member().name()), peer.member()));
        }
    }

    private static double valueOrZero(TimedValue seen) {
        return seen == null ? 0 : seen.value();
    }

    private double localTime(TimedValue seen, double now) {
        return seen == null ? NEVER : localTime(seen.source(), now);
    }

    /** Never for an own sight, one of a router whose clock is off, and one of the future. */
    private double localTime(ObservationSource sight, double now) {
        if (sight == null || sight.router().equals(selfName)) {
            return NEVER;
        }
        Member member = membersByName.get(sight.router());
        double ahead = member == null ? 0 : membership.clockOffset(member);
        double at = sight.observedAt() - (Double.isNaN(ahead) ? 0 : ahead);
        boolean heard = (member == null || membership.clockWithinBound(member))
                && at <= now + FieldValidation.MAX_CLOCK_DIFFERENCE;
        return heard ? Math.min(at, now) : NEVER;
    }

    private double weight(TimedValue seen, double now) {
        double at = localTime(seen, now);
        double source = at == NEVER
                ? 0
                : membersByName.containsKey(seen.source().router()) ? LIVE_MEMBER_WEIGHT : DEPARTED_MEMBER_WEIGHT;
        return source * Math.max(0, 1 - (now - at) / MAX_AGE_SECONDS);
    }
}
