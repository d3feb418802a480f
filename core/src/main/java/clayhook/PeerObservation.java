package clayhook;

/**
 * The trusted observations that other routers made of one incarnation of a node. Times are seconds since 1970 on this
 * router's clock, negative infinity for never; forwarding an observation does not change its times.
 *
 * @param incarnationStartedAt when the node's process started according to the endpoint list; 0 for long ago
 * @param appliedPosition the newest log position that the node has applied, valid at any age; 0 for none
 * @param appliedPositionAt when that position was observed
 * @param lagSeconds the lag behind the primary at {@code lagMeasuredAt}
 * @param primaryClaimedAt when the node last reported that it is primary
 * @param replicaClaimedAt when the node last reported that it is a replica
 * @param lastSeenAt when the node last responded to any router
 * @param lastFailureAt the time of the last failure at a router that the node has not answered since
 * @param failedRouterCount the number of other routers at which the node has failed since it last responded to them
 * @param latencyRatio the ratio of response time to latency objective
 * @param latencyRatioWeight the weight of {@code latencyRatio} relative to an own measurement, 0 to 1
 * @param load the number of requests in the node's load report
 * @param loadWeight the weight of {@code load} relative to an own measurement, 0 to 1
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
