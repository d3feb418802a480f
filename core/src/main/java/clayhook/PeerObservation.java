package clayhook;

/**
 * What other routers observed of one incarnation of a node, as far as this router can trust it. Times are seconds since
 * 1970 on this router's clock, negative infinity for never; an observation does not become younger by being passed on.
 *
 * @param incarnationStartedAt when the node's process started, as the endpoint list says; 0 for long ago
 * @param appliedPosition the newest log position that the node has applied; it stays valid whatever its age; 0 for none
 * @param appliedPositionAt when that position was observed
 * @param lagSeconds how far the node was behind its primary at {@code lagMeasuredAt}
 * @param primaryClaimedAt when the node last said that it is primary
 * @param replicaClaimedAt when the node last said that it is a replica
 * @param lastSeenAt when the node last responded to any router
 * @param lastFailureAt when the node last failed a router that it has not answered since
 * @param failedRouterCount how many other routers the node has failed since it last responded
 * @param latencyRatio response time over latency objective
 * @param latencyRatioWeight how much that counts beside an own measurement, 0 to 1
 * @param load requests that the node reported to hold
 * @param loadWeight how much that counts beside an own measurement, 0 to 1
 */
public record PeerObservation(
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
