package clayhook;

import java.util.List;

/**
 * What is due after a tick of the {@link RoutingPolicy}.
 *
 * @param nextTickSeconds the time until all requests that are not completed are routed again
 * @param healthChecks the nodes to health-check now
 * @param pollEndpoints whether to poll the endpoint list now for changes from the known version on
 */
public record TickResult(double nextTickSeconds, List<Node> healthChecks, boolean pollEndpoints) {}
