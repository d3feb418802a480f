package clayhook;

import java.util.List;

/**
 * What a router is told at its start of its fleet and of the rules that hold there. Durations are seconds.
 *
 * @param routerCount how many routers share the nodes, this one included
 * @param zone the zone of this router
 * @param endpointListMustBePolled whether the endpoint list comes only to routers that poll or watch it
 * @param goneIsBinding whether a node that is gone from the list must not be sent anything new; otherwise only draining
 *     binds
 * @param replicasRejectStaleReads whether a replica that lags too far for a read rejects it unexecuted
 * @param requestsCarryLastWrite whether a session read carries the position of its session's last write; otherwise the
 *     router remembers it
 * @param hedgingAllowed whether a request may have two attempts outstanding
 * @param clientsHonorRetryAfter whether clients wait as long as a Retry-After says
 * @param maxAttempts the most attempts for one request
 * @param initialCapacityFraction the least fraction of its capacity that a node has when its process starts
 * @param slowStartSeconds how long after its start a node reaches its full capacity
 * @param overloadFactor a node in slow start fails when it is sent more than this multiple of its capacity
 * @param overloadWindowSeconds the time over which that is measured
 * @param connectionConcurrency how many attempts a connection carries at once
 * @param connectionIdleTimeoutSeconds an unused connection is closed after this time
 */
public record RoutingSettings(
        int routerCount,
        String zone,
        List<RequestClass> requestClasses,
        boolean endpointListMustBePolled,
        boolean goneIsBinding,
        boolean replicasRejectStaleReads,
        boolean requestsCarryLastWrite,
        boolean healthChecksAllowed,
        boolean cancellationAllowed,
        boolean hedgingAllowed,
        boolean clientsHonorRetryAfter,
        double maxRetryAfterSeconds,
        int maxAttempts,
        double initialCapacityFraction,
        double slowStartSeconds,
        double overloadFactor,
        double overloadWindowSeconds,
        int connectionConcurrency,
        double connectionIdleTimeoutSeconds) {

    /**
     * Returns the least fraction of its full capacity that a node has now; it grows linearly during slow start.
     *
     * @param startedAt when the node's process started; 0 for long ago
     */
    double capacityFraction(double startedAt, double now) {
        if (startedAt <= 0 || slowStartSeconds <= 0) {
            return 1;
        }
        double progress = Math.max(0, Math.min(1, (now - startedAt) / slowStartSeconds));
        return initialCapacityFraction + (1 - initialCapacityFraction) * progress;
    }
}
