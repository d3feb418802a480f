package clayhook;

import java.util.List;

/**
 * The settings of a router: its fleet and the rules that apply in the fleet. Fixed at startup. Durations are in
 * seconds.
 *
 * @param routerCount the number of routers that share the nodes, including this one
 * @param zone the zone of this router
 * @param endpointListMustBePolled whether a router receives the endpoint list only by polling or watching it
 * @param goneIsBinding whether a node that is gone from the list must not get new attempts; otherwise only a draining
 *     node must not
 * @param replicasRejectStaleReads whether a replica that lags too far for a read rejects the read without executing it
 * @param requestsCarryLastWrite whether a session read carries the last-write position of its session; otherwise the
 *     router records it
 * @param hedgingAllowed whether a request may have two attempts outstanding
 * @param clientsHonorRetryAfter whether clients wait for the time given by Retry-After
 * @param maxAttempts the maximum number of attempts for one request
 * @param initialCapacityFraction the least fraction of its full capacity that a node has when its process starts
 * @param slowStartSeconds the time from the start of a node's process until it reaches full capacity
 * @param overloadFactor a node in slow start fails if it gets more work than this multiple of its capacity
 * @param overloadWindowSeconds the time window over which that work is measured
 * @param connectionConcurrency the number of attempts that a connection carries concurrently
 * @param connectionIdleTimeoutSeconds the time after which an unused connection is closed
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
     * Returns the least fraction of its full capacity that a node has; it grows linearly during slow start.
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
