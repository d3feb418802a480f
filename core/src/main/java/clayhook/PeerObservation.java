package clayhook;

/**
 * What other routers have seen of one life of a node, as this one may believe it. Times are seconds since 1970 on this
 * router's clock, negative infinity for never; none is younger for having been passed on.
 *
 * @param nodeStart when that life began, as the list told it; 0 for long ago
 * @param position stays valid once told, whatever its age; 0 for never told
 * @param lag seconds that it was behind its primary at {@code lagAt}
 * @param primaryAt when it last said of itself that it is primary, {@code replicaAt} that it is not
 * @param failedAt when it last failed a router without having answered any since
 * @param strikes how many other routers it has failed since then
 * @param slowness time of its answers over the response target
 * @param slownessWeight how much that counts beside an own figure, 0 to 1; so with {@code loadWeight}
 * @param load commands that it reported to hold
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
