package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What other routers have observed of nodes, as far as this router may rely on it: with times on this router's clock,
 * never more recent than they were, and weighted by age and source. This router's own observations, which come back
 * from others, are left out, as they would count twice. Not thread-safe.
 */
public final class PeerObservations {
    /** Older observations have no weight. Some health check intervals of a router. */
    static final double MAX_AGE_SECONDS = 10;
    /** The weight of a recent observation of a live member, where this router's own has 1. */
    static final double LIVE_MEMBER_WEIGHT = 0.5;
    /** The weight of a recent observation of a member that has died or left. */
    static final double DEPARTED_MEMBER_WEIGHT = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /**
     * A summary of what others have observed of one incarnation of a node. Times are in seconds since 1970 on this
     * router's clock, negative infinity for never.
     *
     * @param incarnationStartedAt by the endpoint list, 0 for long ago
     * @param appliedPosition in seconds since 1970, valid at any age; 0 for never reported
     * @param lagSeconds behind its primary, at {@code lagMeasuredAt}
     * @param primaryClaimedAt when the node last reported to be the primary
     * @param replicaClaimedAt when the node last reported to be a replica
     * @param lastSeenAt when the node last answered another router
     * @param lastFailureAt when it last failed a router without having answered any since; within
     *     {@value #MAX_AGE_SECONDS} s
     * @param failedRouterCount the other routers that it has failed since then
     * @param latencyRatio its response time divided by the latency objective
     * @param latencyRatioWeight from 0 to {@value #LIVE_MEMBER_WEIGHT}, where this router's own observation has 1
     * @param load the number of requests that it reported to hold
     * @param loadWeight as {@code latencyRatioWeight}
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
    /** The members of {@link #cachedPeers} by their names as sources hold them. */
    private final Map<String, Member> membersByName = new HashMap<>();
    /** The list of live peers from which the map was made; the view returns another list when it has changed. */
    private List<Peer> cachedPeers;

    /** Creates a reader of that store, which relies on members as that view has them. */
    public PeerObservations(ReplicatedStore store, MembershipView membership) {
        this.store = store;
        this.membership = membership;
        selfName = ReplicatedKeys.truncateName(membership.self().member().name());
    }

    /**
     * Returns a summary of what others have observed of a node; null if there is nothing of that incarnation or a later
     * one.
     *
     * @param incarnationStartedAt when the node's incarnation started by this router's endpoint list
     */
    public NodeSummary summarize(String nodeId, double incarnationStartedAt, double now) {
        NodeObservation observed = store.get(NodeObservation.TYPE, NodeObservation.key(nodeId));
        // An earlier incarnation is over; of a later one this router's endpoint list does not know yet.
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
                latest(recentFailures, now),
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

    /** Compares identities, as the list is immutable and may be long. */
    @SuppressWarnings("ReferenceEquality")
    private boolean isCached(List<Peer> peers) {
        return cachedPeers == peers;
    }

    private double latest(List<NodeObservation.FailureStreak> failures, double now) {
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
     * Returns the time of an observation on this router's clock, at most now; negative infinity if the observation is
     * this router's own, its router has a skewed clock, or it lies in the future.
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

    /** Returns the weight of an observation, which falls linearly to 0 at the age of {@value #MAX_AGE_SECONDS} s. */
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
