package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Summarizes the observations that other routers have made of nodes, as far as this router may rely on them. Times are
 * converted to this router's clock and never made more recent, and observations are weighted by age and source. This
 * router's own observations, which it receives back from others, are omitted, as they would count twice. Not
 * thread-safe.
 */
public final class PeerObservations {
    /** Age in seconds from which an observation has no weight; several health check intervals of a router. */
    static final double MAX_AGE_SECONDS = 10;
    /** Weight of a new observation by a live member; this router's own observations have weight 1. */
    static final double LIVE_MEMBER_WEIGHT = 0.5;
    /** Weight of a new observation by a member that has died or left. */
    static final double DEPARTED_MEMBER_WEIGHT = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /**
     * A summary of the observations that other routers have made of one incarnation of a node. Times are in seconds
     * since 1970 on this router's clock, negative infinity for never.
     *
     * @param incarnationStartedAt the start of the incarnation according to the endpoint list, 0 for a start that is
     *     long past
     * @param appliedPosition the log position in seconds since 1970, valid at any age; 0 if never reported
     * @param appliedPositionAt the time at which the node reported the position
     * @param lagSeconds the seconds by which the node was behind its primary at {@code lagMeasuredAt}
     * @param lagMeasuredAt the time at which the lag was measured
     * @param primaryClaimedAt the time at which the node last reported to be the primary
     * @param replicaClaimedAt the time at which the node last reported to be a replica
     * @param lastSeenAt the time of the node's last response to another router
     * @param lastFailureAt the time of the last failure towards a router that the node has not responded to since; only
     *     failures within the last {@value #MAX_AGE_SECONDS} s
     * @param failedRouterCount the number of other routers with such a failure
     * @param latencyRatio the node's response time divided by the latency objective
     * @param latencyRatioWeight from 0 to {@value #LIVE_MEMBER_WEIGHT}; this router's own observation has weight 1
     * @param load the number of requests that the node reported to hold
     * @param loadWeight the weight of the load, in the range of {@code latencyRatioWeight}
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
    /** The members of {@link #cachedPeers}, by name as truncated in observation sources. */
    private final Map<String, Member> membersByName = new HashMap<>();
    /** The list of live peers that the map was built from; the view returns another list after each change. */
    private List<Peer> cachedPeers;

    /** Creates a reader of a store that takes liveness and clocks of members from a view. */
    public PeerObservations(ReplicatedStore store, MembershipView membership) {
        this.store = store;
        this.membership = membership;
        selfName = ReplicatedKeys.truncateName(membership.self().member().name());
    }

    /**
     * Returns a summary of the observations that other routers have made of a node; null if there are none of the given
     * incarnation or a later one.
     *
     * @param incarnationStartedAt the start of the node's incarnation according to this router's endpoint list
     */
    public NodeSummary summarize(String nodeId, double incarnationStartedAt, double now) {
        NodeObservation observed = store.get(NodeObservation.TYPE, NodeObservation.key(nodeId));
        // An earlier incarnation has ended; a later one is not in this router's endpoint list yet.
        if (observed == null || observed.incarnationStartedAt() < incarnationStartedAt) {
            return null;
        }
        refreshMembers();
        double positionAt = localTime(observed.appliedPosition(), now);
        List<NodeObservation.FailureStreak> recentFailures = observed.failureStreaks().stream()
                .filter(streak -> now - localTime(streak.source(), now) <= MAX_AGE_SECONDS)
                .toList();
        return new NodeSummary(
                observed.incarnationStartedAt(),
                positionAt == NEVER ? 0 : observed.appliedPosition().value(),
                positionAt,
                valueOrZero(observed.lag()),
                localTime(observed.lag(), now),
                localTime(observed.primaryClaim(), now),
                localTime(observed.replicaClaim(), now),
                localTime(observed.lastSeen(), now),
                latestFailureAt(recentFailures, now),
                recentFailures.size(),
                valueOrZero(observed.latencyRatio()),
                weight(observed.latencyRatio(), now),
                valueOrZero(observed.reportedLoad()),
                weight(observed.reportedLoad(), now));
    }

    private void refreshMembers() {
        List<Peer> peers = membership.livePeers();
        if (!isCached(peers)) {
            cachedPeers = peers;
            membersByName.clear();
            peers.forEach(peer ->
                    membersByName.put(ReplicatedKeys.truncateName(peer.member().name()), peer.member()));
        }
    }

    /** Returns whether the list is the cached one. Compares identities, as the list is immutable and may be long. */
    @SuppressWarnings("ReferenceEquality")
    private boolean isCached(List<Peer> peers) {
        return cachedPeers == peers;
    }

    private double latestFailureAt(List<NodeObservation.FailureStreak> failures, double now) {
        return failures.stream()
                .mapToDouble(streak -> localTime(streak.source(), now))
                .max()
                .orElse(NEVER);
    }

    private static double valueOrZero(TimedValue observed) {
        return observed == null ? 0 : observed.value();
    }

    private double localTime(TimedValue observed, double now) {
        return observed == null ? NEVER : localTime(observed.source(), now);
    }

    /**
     * Returns the time of an observation on this router's clock, at most {@code now}; negative infinity if the
     * observation is this router's own, was made by a router whose clock is out of bound, or is in the future.
     */
    private double localTime(ObservationSource source, double now) {
        if (source == null || source.router().equals(selfName)) {
            return NEVER;
        }
        Member member = membersByName.get(source.router());
        if (member != null && !membership.clockWithinBound(member)) {
            return NEVER;
        }
        double offset = member == null ? 0 : membership.clockOffset(member);
        double time = source.observedAt() - (Double.isNaN(offset) ? 0 : offset);
        return time <= now + FieldValidation.MAX_CLOCK_DIFFERENCE ? Math.min(time, now) : NEVER;
    }

    /** Returns the weight of an observation, which decreases linearly with age to 0 at {@value #MAX_AGE_SECONDS} s. */
    private double weight(TimedValue observed, double now) {
        double time = localTime(observed, now);
        if (time == NEVER) {
            return 0;
        }
        boolean live = membersByName.containsKey(observed.source().router());
        double sourceWeight = live ? LIVE_MEMBER_WEIGHT : DEPARTED_MEMBER_WEIGHT;
        return sourceWeight * Math.max(0, 1 - (now - time) / MAX_AGE_SECONDS);
    }
}
