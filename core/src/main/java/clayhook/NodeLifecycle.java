package clayhook;

/**
 * Ends what is known of a node where an entry of the endpoint list has made it void: at the start of a new process
 * under the same id. What a node told about its role is never ended here, except that a process that has started since
 * a node told that it is primary has to tell so anew.
 *
 * <p>Pure: reads no clock and performs no I/O. Times are clock times in seconds.
 */
final class NodeLifecycle {
    private NodeLifecycle() {}

    /**
     * Applies a list entry, other than a removal, to the state of its node.
     *
     * @param healthChecksAllowed whether a health check can find out the role of a restarted node
     */
    static void onListed(NodeState node, Endpoint endpoint, boolean healthChecksAllowed, double now) {
        // A start in the future is an error of a clock; what the node tells from now on has to count all the same.
        double startedAt = Math.min(endpoint.startedAt(), now);
        if (startedAt > node.processStartedAt) {
            node.processStartedAt = startedAt;
            onProcessStarted(node, startedAt, healthChecksAllowed);
        }
        node.endpoint = endpoint;
        node.roles.onListed(endpoint.primary(), now);
    }

    private static void onProcessStarted(NodeState node, double startedAt, boolean healthChecksAllowed) {
        if (healthChecksAllowed) {
            node.roles.endPrimaryClaimBefore(startedAt);
        }
    }
}
