package clayhook;

import java.util.List;

/**
 * The actions that are due after a tick of the {@link RoutingPolicy}.
 *
 * @param nextTickSeconds the time until all unfinished requests are to be routed again
 * @param healthChecks the nodes to health-check now
 * @param pollEndpoints whether to poll the endpoint list now for changes since the known version
 */
public record TickResult(double nextTickSeconds, List<Node> healthChecks, boolean pollEndpoints) {}
