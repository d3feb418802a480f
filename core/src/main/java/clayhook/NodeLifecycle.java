package clayhook;

/**
 * Decides what remains true of a node when the endpoint list shows it: after it was gone from the list, and after its
 * process has started anew under the same id. Everything else that is known of a node ends with its removal from the
 * list.
 *
 * <ul>
 *   <li>The role that it reported remains in any case; only a new process has to report anew that it is primary.
 *   <li>Failures, backoff, its own report that it drains, the concurrency limit and the budget of its slow start remain
 *       if it returns with the process that it had: a node that flaps in the list is not tried afresh each time.
 *   <li>That it accepts new requests has to be confirmed anew.
 * </ul>
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
        boolean newProcess = endpoint.startedAt() > node.processStartedAt;
        // A start in the future is an error of a clock; what the node reports from now on has to count all the same.
        double startedAt = Math.min(endpoint.startedAt(), now);
        if (newProcess && healthChecksAllowed) {
            node.roles.endPrimaryClaimBefore(startedAt);
        }
        if (newProcess) {
            node.endDrainingReportBefore(startedAt);
        }
        if (newProcess || node.isDrainingOrGone()) {
            node.endConfirmations(now);
        }
        node.processStartedAt = Math.max(node.processStartedAt, endpoint.startedAt());
        node.endpoint = endpoint;
        node.roles.onListed(endpoint.primary(), now);
    }

    /**
     * Copies what remains true of a node that was gone from the list to its new state.
     *
     * @param departed the state of the node when it was removed from the list
     * @param endpoint the entry with which the node returns
     */
    static void onReturned(NodeState departed, NodeState returned, Endpoint endpoint) {
        returned.processStartedAt = departed.processStartedAt;
        // The list may show a start late, so that the new process may have reported already: onListed ends older
        // reports.
        returned.keepDrainingReport(departed);
        if (endpoint.startedAt() > departed.processStartedAt) {
            return;
        }
        returned.slowStartBudget = departed.slowStartBudget;
        returned.consecutiveFailures = departed.consecutiveFailures;
        returned.backoffUntil = departed.backoffUntil;
        returned.backoffCount = departed.backoffCount;
        returned.readRejectedAt = departed.readRejectedAt;
        returned.concurrencyLimit = departed.concurrencyLimit;
        returned.latencyRatio = departed.latencyRatio;
    }
}
