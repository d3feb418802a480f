package clayhook;

import java.util.List;

/**
 * How long to wait until every command in hand is asked about again, and what else is due now.
 *
 * @param watchList ask the node list for its changes from now on
 */
public record TickResult(double nextTickSeconds, List<Node> healthChecks, boolean pollEndpoints) {}
