package clayhook;

import java.util.List;

/**
 * What a router is told at its start. Times are seconds.
 *
 * @param listMustBeAsked the node list speaks only to routers that watch it or fetch it
 * @param goneBinds a node that is gone from the list may get nothing new; otherwise only one listed as draining
 * @param replicasCheck a replica too far behind for a read turns it away untouched
 * @param marksCarried a session read tells when its session last wrote; otherwise the router remembers
 * @param coldShare the least part of its capacity that a node has when it starts
 * @param warmAfter a node has its full capacity this long after its start
 * @param overloadFactor a cold node falls over when it is sent more than this multiple of its capacity
 * @param overloadFor the window over which that is reckoned
 * @param commandsAConnection how many dispatches a connection carries at once
 * @param connectionIdle an unused connection closes after this long
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
        double connectionIdleTimeoutSeconds) {}
